#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Carawaymill {

struct PromptBacklogOptions
{
    /// A long prompt waits for this fraction of its latency objective at most until targets have read other prompts.
    double waitShare = 0.25;
    /// Minimum time between two log lines on long prompts.
    Duration logInterval = 100ms;
};

/// Requests with long prompts that wait until targets have read the prompts that they have, so that the requests that
/// are already there do not miss their objectives. The wait is short: a long prompt is sent after it whatever the
/// targets have to read, so that it is served by a fleet of any size.
class PromptBacklog
{
public:
    explicit PromptBacklog(PromptBacklogOptions options)
        : m_options(options)
    {
    }

    /// Whether a request that has waited since `since` may wait still.
    [[nodiscard]] bool mayWait(TimePoint since, Duration latencyObjective, TimePoint now) const;

    /// How long a request with this objective may wait.
    [[nodiscard]] Duration longestWait(Duration latencyObjective) const
    {
        return std::chrono::duration_cast<Duration>(latencyObjective * m_options.waitShare);
    }

    /// Adds a request that waits. Does nothing if it waits already.
    void add(RequestId id, TimePoint now) { m_waiting.try_emplace(id, now); }

    /// Records that the request was sent, and how long it waited here. Does nothing if it did not wait.
    void sent(RequestId id, const std::string &attempt, std::uint64_t promptTokens, TimePoint now);

    void remove(RequestId id) { m_waiting.erase(id); }

    /// The requests that wait, longest first.
    [[nodiscard]] std::vector<RequestId> waiting() const;

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

    /// Log lines since the last call.
    [[nodiscard]] std::vector<std::string> takeLog() { return std::exchange(m_log, {}); }

private:
    PromptBacklogOptions m_options;
    std::map<RequestId, TimePoint> m_waiting;
    std::optional<TimePoint> m_loggedAt;
    std::vector<std::string> m_log;
};

} // namespace Carawaymill

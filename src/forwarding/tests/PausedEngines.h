#pragma once

#include "forwarding/tests/ForwarderFixture.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

struct PausedEnginesOptions
{
    std::size_t hosts = 4;
    std::size_t streamsPerHost = 8;
    std::uint64_t seed = 1;
};

/// A fleet of forwarders on engines that can be paused, in virtual time. A paused engine sends nothing, and its kernel
/// keeps what is sent to it; the engine reads that when it goes on. The retry budget of each host is large enough to
/// repeat all of its streams.
class PausedEngines
{
public:
    explicit PausedEngines(PausedEnginesOptions options);

    /// Starts all streams, spread over the period, and lets it pass.
    void start(Duration period);
    void runFor(Duration period);

    /// Pauses the engines of these failure domains until `runFor` has let the duration pass.
    void pause(const std::string &failureDomains, Duration duration);

    /// A repeat of a stream that an engine has read.
    struct Repeat
    {
        /// How long it had waited at the engine.
        Duration waited;
        /// How much later than the caller's deadline the time left ends that the engine was given.
        Duration beyondDeadline;
    };

    [[nodiscard]] const std::vector<Repeat> &repeats() const { return m_repeats; }

    /// Number of streams that were refused or broken off, and that have ended with all of their events.
    [[nodiscard]] std::size_t failed() const { return m_failed; }

    [[nodiscard]] std::size_t whole() const { return m_whole; }

    /// Longest time between two events of any stream at its caller.
    [[nodiscard]] Duration longestGap() const { return m_longestGap; }

    /// Number of queries and probes of engines that the hosts sent.
    [[nodiscard]] std::size_t queries() const { return m_queries; }

private:
    struct Run
    {
        std::size_t host = 0;
        ForwardToTarget dispatch;
        TimePoint sentAt;
        bool read = false;
        std::uint64_t next = 1;
        TimePoint nextAt;
    };

    struct Stream
    {
        TimePoint deadline;
        std::size_t dispatches = 0;
        std::uint64_t events = 0;
        std::optional<TimePoint> lastEventAt;
    };

    /// An answer that reaches its host later.
    struct Answer
    {
        std::size_t host = 0;
        TimePoint at;
        ForwarderEvent event;
    };

    using AttemptKey = std::tuple<std::size_t, RequestId, AttemptNumber>;

    [[nodiscard]] bool isPaused(const std::string &address) const;
    /// The address of the first paused engine on the path.
    [[nodiscard]] std::optional<std::string> pausedStage(const ForwardToTarget &dispatch) const;
    void deliver(std::size_t host, const ForwarderEvent &event);
    void perform(std::size_t host, const std::vector<ForwarderAction> &actions);
    void query(std::size_t host, const QueryProgress &query);
    void probe(std::size_t host, const ProbeTarget &probe);
    void recordEvents(std::size_t host, const WriteStream &written);
    void step();
    void advance(const AttemptKey &key);

    PausedEnginesOptions m_options;
    Random m_random;
    std::vector<std::unique_ptr<ForwarderFixture>> m_hosts;
    TimePoint m_now{1h};
    std::string m_pausedDomains;
    TimePoint m_pausedUntil{};
    std::map<AttemptKey, Run> m_runs;
    std::map<std::pair<std::size_t, RequestId>, Stream> m_streams;
    std::vector<Answer> m_answers;
    std::vector<Repeat> m_repeats;
    std::size_t m_failed = 0;
    std::size_t m_whole = 0;
    std::size_t m_queries = 0;
    Duration m_longestGap{};
};

} // namespace Carawaymill

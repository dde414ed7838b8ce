#pragma once

#include "forwarding/RelayedWatchMessages.h"
#include "support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Carawaymill {

struct RelayedWatchClientOptions
{
    /// How long another host may hold a question without news. For the configuration it adds to the age of what this
    /// host vouches for.
    Duration configurationWait = 250ms;
    Duration otherWait = 1s;
    /// On top of the wait. Some round trips between hosts of one failure domain.
    Duration answerTimeout = 200ms;
    /// A host that does not answer, or does not know a range, is not asked for that range again for so long.
    Duration muteTime = 2s;
};

/// A watch of this host that another host has answered.
struct RelayedWatchAnswered
{
    RelayedRange range = RelayedRange::Configuration;
    KeyValueReply reply;
};

/// A watch that goes to the service after all.
struct RelayedWatchFailed
{
    /// The host that was asked, and is passed over for a while.
    HostId host;
    /// Whether it gave no answer at all, rather than that it does not know the range.
    bool timedOut = false;
    RelayedRange range = RelayedRange::Configuration;
    KeyValueCall call;
};

/// For the log.
[[nodiscard]] std::string describe(const RelayedWatchFailed &unanswered);

/// Sends this host's watches to another host that watches the same ranges at the service.
class RelayedWatchClient
{
public:
    explicit RelayedWatchClient(RelayedWatchClientOptions options)
        : m_options(options)
    {
    }

    /// The question in place of the call; nothing when the call is to go to the service.
    [[nodiscard]] std::optional<SendRangeWatchMessage>
    relay(RelayedRange range, const KeyValueCall &call, const std::optional<HostId> &host, TimePoint now);

    /// Nothing when the message answers no open question.
    [[nodiscard]] std::optional<RelayedWatchAnswered> handleResponse(const HostId &from, RangeWatchResponse told);
    [[nodiscard]] std::optional<RelayedWatchFailed>
    handleUnavailable(const HostId &from, const RangeWatchUnavailable &notKnown, TimePoint now);

    [[nodiscard]] std::vector<RelayedWatchFailed> takeTimedOut(TimePoint now);

private:
    struct Question
    {
        HostId host;
        RelayedRange range = RelayedRange::Configuration;
        KeyValueCall call;
        TimePoint deadline;
    };

    RelayedWatchClientOptions m_options;
    std::map<std::uint64_t, Question> m_open;
    std::map<std::pair<HostId, RelayedRange>, TimePoint> m_mutedUntil;
    std::uint64_t m_last = 0;
};

} // namespace Carawaymill

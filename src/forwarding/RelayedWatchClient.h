#pragma once

#include "forwarding/RelayedRangeAges.h"
#include "forwarding/RelayedWatchServer.h"
#include "support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

struct RelayedWatchClientOptions
{
    /// Longest time that another host may hold a request if there is no change. For the configuration it adds to the
    /// age that this host reports in its own confirmations.
    Duration configurationWait = 250ms;
    Duration defaultWait = 1s;
    /// Shorter waits are not requested; the service is asked instead.
    Duration minimumWait = 50ms;
    /// Response timeout in addition to the wait: some round trips between hosts of one failure domain.
    Duration responseTimeout = 200ms;
    /// The same if another host has failed to answer the watch and the view is too old for a longer one.
    Duration lastResponseTimeout = 100ms;
    /// Time that a request leaves for a further host if the asked one stays silent: its response timeout, and a wait
    /// for its own call to the service.
    Duration successorReserve = 500ms;
    /// The reserve does not make the wait shorter than this. Shorter waits would multiply the messages between hosts
    /// where the maximum ages are small.
    Duration waitBeforeSuccessor = 200ms;
    /// A range must be confirmed again before its last confirmation is older, by the other host or by the service.
    RelayedRangeAges maximumAges;
};

/// Under which conditions a watch is relayed.
struct RelayTerms
{
    /// Number of hosts that have failed to answer this watch.
    std::size_t failures = 0;
    /// Whether another host is asked if this one fails.
    bool hasSuccessor = false;
    /// When the watch was first sent to a host; std::nullopt if it is sent now.
    std::optional<TimePoint> firstSentAt = std::nullopt;
    /// Host whose last response has left the view nearly too old. It is not asked for this watch.
    std::optional<HostId> excluded = std::nullopt;
};

/// Reply to a watch of this host that another host has answered.
struct RelayedWatchAnswered
{
    RelayedRange range = RelayedRange::Configuration;
    KeyValueReply reply;
    /// The answered call. `sentAt` is the latest time at which the service is known to have confirmed the response.
    RangeCall answered = {};
};

/// A relayed watch that failed and has to be sent to another host or the service.
struct RelayedWatchFailed
{
    HostId host;
    /// Whether the host did not respond; false if it responded that it cannot serve the range.
    bool timedOut = false;
    RelayedRange range = RelayedRange::Configuration;
    KeyValueCall call;
    /// Number of hosts that have failed to answer this watch.
    std::size_t failures = 0;
    /// When the watch was first sent to a host.
    TimePoint firstSentAt{};

    /// Whether the replica that made the call is about to give it up: a later reply would be ignored, although it
    /// would count as a confirmation of the view.
    [[nodiscard]] bool isObsolete(TimePoint now) const;
};

/// Log line of the failure.
[[nodiscard]] std::string describe(const RelayedWatchFailed &failed);

/// Sends this host's watches to another host that watches the same ranges at the service.
class RelayedWatchClient
{
public:
    explicit RelayedWatchClient(RelayedWatchClientOptions options)
        : m_options(options)
    {
    }

    /// Records that the service's reply to a call of this host confirmed the range at `at`.
    void recordConfirmed(RelayedRange range, TimePoint at);

    /// The request to send to `host` instead of the call; std::nullopt if the call has to be sent to the service.
    [[nodiscard]] std::optional<SendRangeWatchMessage> relay(
        RelayedRange range, const KeyValueCall &call, const HostId &host, TimePoint now, const RelayTerms &terms = {});

    /// Whether the last confirmation of the range, if there is one, is recent enough to rely on another host.
    [[nodiscard]] bool isConfirmed(RelayedRange range, TimePoint now) const;

    /// Forgets the pending requests for the range, since its replica has made a new call.
    void dropPending(RelayedRange range);

    void storeEraChanged(const StoreEraChanged &change);

    /// Both return std::nullopt if the message belongs to no pending request.
    [[nodiscard]] std::optional<RelayedWatchAnswered> handleResponse(const HostId &from, RangeWatchResponse response);
    [[nodiscard]] std::optional<RelayedWatchFailed> handleUnavailable(const HostId &from,
                                                                      const RangeWatchUnavailable &unavailable);

    /// Removes and returns all requests to hosts that did not respond to one of them before its timeout.
    [[nodiscard]] std::vector<RelayedWatchFailed> takeTimedOut(TimePoint now);

private:
    struct PendingRequest
    {
        HostId host;
        RelayedRange range = RelayedRange::Configuration;
        KeyValueCall call;
        std::size_t failures = 0;
        TimePoint firstSentAt;
        TimePoint sentAt;
        TimePoint deadline;
    };

    RelayedWatchClientOptions m_options;
    /// By the number of the request.
    std::map<std::uint64_t, PendingRequest> m_pending;
    /// When the service last confirmed each range, as far as this host knows.
    std::map<RelayedRange, TimePoint> m_confirmedAt;
    /// Number of the last request.
    std::uint64_t m_last = 0;
    std::optional<StoreEra> m_era;
};

} // namespace Carawaymill

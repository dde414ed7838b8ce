#pragma once

#include "forwarding/RelayedRangeAges.h"
#include "support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
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
    /// Delay until a host that did not respond, or could not serve a range, gets requests for that range again.
    Duration retryDelay = 2s;
    /// A range must be confirmed again before its last confirmation is older, by the other host or by the service.
    RelayedRangeAges maximumAges;
};

/// Reply to a watch of this host that another host has answered.
struct RelayedWatchAnswered
{
    RelayedRange range = RelayedRange::Configuration;
    KeyValueReply reply;
};

/// A relayed watch that failed and has to be sent to the service.
struct RelayedWatchFailed
{
    /// The host that failed; it gets no requests for this range during `retryDelay`.
    HostId host;
    /// Whether the host did not respond; false if it responded that it cannot serve the range.
    bool timedOut = false;
    RelayedRange range = RelayedRange::Configuration;
    KeyValueCall call;
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
    [[nodiscard]] std::optional<SendRangeWatchMessage>
    relay(RelayedRange range, const KeyValueCall &call, const std::optional<HostId> &host, TimePoint now);

    void storeEraChanged(const StoreEraChanged &change);

    /// Both return std::nullopt if the message belongs to no pending request.
    [[nodiscard]] std::optional<RelayedWatchAnswered> handleResponse(const HostId &from, RangeWatchResponse response);
    [[nodiscard]] std::optional<RelayedWatchFailed>
    handleUnavailable(const HostId &from, const RangeWatchUnavailable &unavailable, TimePoint now);

    /// Removes and returns the requests whose timeout has passed.
    [[nodiscard]] std::vector<RelayedWatchFailed> takeTimedOut(TimePoint now);

private:
    struct PendingRequest
    {
        HostId host;
        RelayedRange range = RelayedRange::Configuration;
        KeyValueCall call;
        TimePoint sentAt;
        TimePoint deadline;
    };

    RelayedWatchClientOptions m_options;
    /// By the number of the request.
    std::map<std::uint64_t, PendingRequest> m_pending;
    /// When the service last confirmed each range, as far as this host knows.
    std::map<RelayedRange, TimePoint> m_confirmedAt;
    /// End of the retry delay of a host that failed to serve a range.
    std::map<std::pair<HostId, RelayedRange>, TimePoint> m_retryAt;
    /// Number of the last request.
    std::uint64_t m_last = 0;
    std::optional<StoreEra> m_era;
};

} // namespace Carawaymill

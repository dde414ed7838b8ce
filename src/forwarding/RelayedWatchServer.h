#pragma once

#include "forwarding/RelayedRangeAges.h"
#include "support/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Carawaymill {

struct RelayedWatchServerOptions
{
    /// Ranges whose last confirmation is older are not served, since the requesting host may reach the service although
    /// this one does not.
    RelayedRangeAges maximumAges;
    /// Changes are kept for this time, for hosts that have not received them yet.
    Duration changeRetention = 20s;
    /// Larger responses would congest this host's link when many hosts request them at once; each host reads such
    /// changes from the service.
    std::size_t maximumResponseBytes = 131'072;
};

/// A read or watch that this host has sent to the key-value service.
struct RangeCall
{
    RelayedRange range = RelayedRange::Configuration;
    CallId id;
    /// Revision after which changes were requested; std::nullopt for a read of the complete range.
    std::optional<Revision> after;
    TimePoint sentAt;
};

/// Answers the watches of other hosts from the results of this host's own watches, so that one host's watches serve a
/// whole failure domain. Requests that it cannot answer wait while its own call for the range is in progress.
class RelayedWatchServer
{
public:
    explicit RelayedWatchServer(RelayedWatchServerOptions options)
        : m_options(options)
    {
    }

    /// Records that this host has sent a call for the range to the service, or to another host `via`.
    void setCallInProgress(RelayedRange range, std::optional<HostId> via)
    {
        m_inProgress.insert_or_assign(range, std::move(via));
    }

    /// Records that the call failed; returns responses to the requests that waited for its result.
    [[nodiscard]] std::vector<SendRangeWatchMessage> recordFailure(RelayedRange range, TimePoint now);

    /// Records another host's response to this host's own call. `call.sentAt` is when the service confirmed it.
    [[nodiscard]] std::vector<SendRangeWatchMessage>
    recordRelayedReply(const RangeCall &call, const RangeChanged &changed, TimePoint now);

    /// Records the service's reply to this host's own call; returns responses to waiting requests. After a reply that
    /// is a failure, requests for the range are refused at once until a call succeeds.
    [[nodiscard]] std::vector<SendRangeWatchMessage>
    recordServiceReply(const RangeCall &call, const KeyValueResult &result, TimePoint now);

    [[nodiscard]] std::vector<SendRangeWatchMessage>
    handleRequest(const HostId &from, const RangeWatchRequest &request, TimePoint now);

    /// Returns responses to the requests that this host can no longer serve.
    [[nodiscard]] std::vector<SendRangeWatchMessage> storeEraChanged(const StoreEraChanged &change, TimePoint now);

    /// Returns responses to requests whose wait is over.
    [[nodiscard]] std::vector<SendRangeWatchMessage> tick(TimePoint now);

private:
    /// The changes between two revisions.
    struct Changes
    {
        Revision through;
        std::vector<KeyValueRecord> written;
        std::vector<std::string> deletedKeys;
        TimePoint at;
    };

    struct CachedRange
    {
        /// Changes up to this revision are not available.
        Revision begin;
        Revision revision;
        TimePoint confirmedAt;
        std::deque<Changes> changes;
    };

    struct PendingRequest
    {
        HostId from;
        RangeWatchRequest request;
        TimePoint arrivedAt;
    };

    /// Whether a request that cannot be answered yet waits for the call in progress.
    [[nodiscard]] bool waitsForCall(const PendingRequest &pending, TimePoint now) const;
    void apply(const RangeCall &call, const RangeChanged &changed, TimePoint now);
    /// The same unless newer changes are known, which older ones must not replace.
    void applyUnlessOlder(const RangeCall &call, const RangeChanged &changed, TimePoint now);
    [[nodiscard]] std::vector<SendRangeWatchMessage> respondDue(TimePoint now);
    /// Returns std::nullopt while the request has to wait for a change.
    [[nodiscard]] std::optional<RangeWatchMessage> respond(const PendingRequest &pending, TimePoint now) const;

    RelayedWatchServerOptions m_options;
    std::map<RelayedRange, CachedRange> m_ranges;
    /// The ranges for which a call of this host is in progress: the host that was asked, std::nullopt for the service.
    std::map<RelayedRange, std::optional<HostId>> m_inProgress;
    /// The ranges for which the last call to the service failed.
    std::set<RelayedRange> m_failing;
    std::vector<PendingRequest> m_pending;
    std::optional<StoreEra> m_era;
};

} // namespace Carawaymill

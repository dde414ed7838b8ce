#pragma once

#include "forwarding/RangeWatch.h"
#include "hostlist/HostListMessages.h"

#include <map>
#include <variant>
#include <vector>

namespace Carawaymill {

struct HostRegistryOptions
{
    ListedHost self;
    std::uint64_t seed = 0;
    /// The record of a host that does not renew its lease for this time is deleted.
    Duration timeToLive = 3s;
    /// Time between two renewals; two may be lost before the record expires.
    Duration renewInterval = 1s;
    Duration callTimeout = 800ms;
    /// Longest time that a watch waits for a change. Bounds how long an unresponsive connection to the service hides a
    /// new host.
    Duration watchWait = 3s;
    Duration minimumWatchInterval = 1s;
    /// After the service returned from an older copy, hosts whose records are missing stay listed for this time. They
    /// notice at their next renewal and register again.
    Duration restoreGracePeriod = 3s;
};

/// Action: the hosts that are registered now.
struct RegisteredHostsChanged
{
    std::vector<ListedHost> hosts;
};

using HostRegistryAction = std::variant<KeyValueCall, RegisteredHostsChanged>;

using HostRegistryEvent = std::variant<Tick, KeyValueReply, StoreEraChanged>;

/// Registers this host under a lease at the key-value service, and lists all hosts that have registered there.
class HostRegistry
{
public:
    explicit HostRegistry(HostRegistryOptions options);

    [[nodiscard]] std::vector<HostRegistryAction> handle(const HostRegistryEvent &event, TimePoint now);

    /// Makes a call that a failure has delayed due at the next tick: the service has answered another call.
    void endDelay(TimePoint now) { m_watch.endDelay(now); }

    /// Whether the host was registered when the registry was last read.
    [[nodiscard]] bool contains(const HostId &host) const { return m_hosts.contains(host); }

    /// Makes the next call, which is due within `renewInterval`, revoke this host's lease, which deletes the record.
    void deregister() { m_deregistering = true; }

private:
    using Actions = std::vector<HostRegistryAction>;

    struct InFlight
    {
        CallId id;
        TimePoint deadline;
    };

    /// Makes the next call that grants or renews the lease, writes the record or revokes the lease, once it is due.
    void maintainRegistration(TimePoint now, Actions &actions);
    /// Handles the reply to a call of maintainRegistration().
    void handleReply(const KeyValueReply &reply, TimePoint now);
    void call(KeyValueRequest request, TimePoint now, Actions &actions);
    /// Starts over after the service returned from an older copy: the lease id may have been given out again.
    void restart(TimePoint now);
    /// Applies changes of the registry's records.
    void applyUpdate(const RangeUpdate &update, TimePoint now);
    /// Removes hosts whose records are missing and whose grace period is over.
    void removeMissing(TimePoint now);

    HostRegistryOptions m_options;
    RangeWatch m_watch;
    Random m_random;
    Backoff m_backoff;
    /// Ids of the calls that register this host are odd, those of the watch are even.
    std::uint64_t m_lastCall = 0;
    std::optional<InFlight> m_inFlight;
    std::optional<LeaseId> m_lease;
    /// Revision of the existing record of this host; 0 if there is none.
    Revision m_recordRevision;
    /// Whether the record is bound to `m_lease`.
    bool m_recorded = false;
    bool m_deregistering = false;
    TimePoint m_nextAt{};
    std::map<HostId, ListedHost> m_hosts;
    /// Hosts whose records are missing, and when they are removed.
    std::map<HostId, TimePoint> m_missing;
    /// Records that are found missing before then may be written again.
    TimePoint m_graceUntil{};
};

} // namespace Carawaymill

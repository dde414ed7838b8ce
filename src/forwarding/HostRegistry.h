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
    /// A host whose record is not renewed for so long is taken off the list.
    Duration timeToLive = 3s;
    /// Time between two renewals: two may be lost before the record lapses.
    Duration renewInterval = 1s;
    Duration callTimeout = 800ms;
    /// Newcomers may stay unknown for so long.
    Duration watchWait = 3s;
    Duration leastWatchInterval = 1s;
};

/// Action: the hosts that are registered now.
struct RegisteredHostsChanged
{
    std::vector<ListedHost> hosts;
};

using HostRegistryAction = std::variant<KeyValueCall, RegisteredHostsChanged>;

/// Our own hosts find each other here: each keeps a record at the key-value service for as long as it lives.
class HostRegistry
{
public:
    explicit HostRegistry(HostRegistryOptions options);

    [[nodiscard]] std::vector<HostRegistryAction> handle(const std::variant<Tick, KeyValueReply> &event, TimePoint now);

    /// Whether the host was registered when the register was last read.
    [[nodiscard]] bool contains(const HostId &host) const { return m_hosts.contains(host); }

    /// Takes this host's record off, at once if the service can be reached.
    void deregister() { m_deregistering = true; }

private:
    using Actions = std::vector<HostRegistryAction>;

    struct InFlight
    {
        CallId id;
        TimePoint deadline;
    };

    void keepRegistered(TimePoint now, Actions &actions);
    void answered(const KeyValueReply &reply, TimePoint now);
    void call(KeyValueRequest request, TimePoint now, Actions &actions);
    void take(const RangeUpdate &update, Actions &actions);

    HostRegistryOptions m_options;
    RangeWatch m_watch;
    Random m_random;
    Backoff m_backoff;
    /// Ids of this host's own calls are odd, those of the watch are even.
    std::uint64_t m_lastCall = 0;
    std::optional<InFlight> m_inFlight;
    std::optional<LeaseId> m_lease;
    /// Revision of the record that is there; 0 when there is none.
    Revision m_recordRevision;
    /// Whether the record is bound to `m_lease`.
    bool m_recorded = false;
    bool m_deregistering = false;
    TimePoint m_nextAt{};
    std::map<HostId, ListedHost> m_hosts;
};

} // namespace Carawaymill

#pragma once

#include "forwarding/ForwardMessages.h"
#include "forwarding/ForwardTargets.h"
#include "forwarding/RelayHosts.h"
#include "forwarding/TargetReach.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Carawaymill {

struct TargetLinksOptions
{
    TargetReachOptions reach;
    RelayHostsOptions relays;
    std::uint64_t seed = 0;
    /// Timeout of a probe, for the connection and again for the response.
    Duration probeTimeout = 300ms;
    /// Suspicion period of a target that could not be reached.
    Duration suspicionPeriod = 4s;
};

/// This host's links to the targets: whether requests go directly or through another host, and whether a target that
/// cannot be reached is to blame for that. Also decides which requests of other hosts this one passes on.
class TargetLinks
{
public:
    explicit TargetLinks(TargetLinksOptions options);

    /// Replaces the other hosts that pass on requests.
    void setRelayHosts(std::vector<RelayHost> hosts) { m_relays.setHosts(std::move(hosts)); }

    [[nodiscard]] const TargetReach &reach() const { return m_reach; }

    /// Whether probes are about to show if this host reaches targets.
    [[nodiscard]] bool awaitsProbes(TimePoint now) const { return m_reach.isDoubtful(now) && !m_reach.isSeparated(); }

    /// Whether requests can be sent, directly or through another host.
    [[nodiscard]] bool hasWay(TimePoint now) const;

    /// The host through which a request goes; std::nullopt if it goes directly.
    [[nodiscard]] std::optional<RelayHost> chooseRelay(TimePoint now);

    void recordRelayUnavailable(const RelayHost &relay, TimePoint now) { m_relays.recordUnavailable(relay.host, now); }

    /// Records a response on a new direct connection, of an attempt that was sent at `sentAt`.
    void recordReached(TimePoint sentAt) { m_reach.recordReached(sentAt); }

    /// Records that this host could not reach the target. Returns whether the target may be at fault; otherwise this
    /// host has lost its links, and targets that it blamed for that are usable again.
    bool recordOutOfReach(const TargetId &target, ForwardTargets &targets, ChainRouter &router, TimePoint now);

    /// Marks a target as unresponsive.
    void suspect(const TargetId &target,
                 UnresponsiveCause cause,
                 ForwardTargets &targets,
                 ChainRouter &router,
                 TimePoint now) const;

    /// A probe, if this host doubts its links and one is due.
    [[nodiscard]] std::optional<ProbeTarget> nextProbe(const ForwardTargets &targets, TimePoint now);
    /// Records the end of a probe. An accepted connection shows that the links work, whether the target replies or not.
    void recordProbe(const TargetProbed &probed, ForwardTargets &targets, ChainRouter &router, TimePoint now);

    /// Whether this host passes on a request of another one.
    [[nodiscard]] std::variant<PassOnRequest, RefuseRelay>
    decide(const RelayRequested &request, bool draining, const ForwardTargets &targets) const;

    /// Log lines on decisions since the last call.
    [[nodiscard]] std::vector<std::string> takeLog() { return std::exchange(m_log, {}); }

private:
    /// Makes targets usable again that were blamed for the links that this host has lost.
    void clearBlame(ForwardTargets &targets, ChainRouter &router);

    TargetLinksOptions m_options;
    Random m_random;
    TargetReach m_reach;
    RelayHosts m_relays;
    std::vector<std::string> m_log;
};

} // namespace Carawaymill

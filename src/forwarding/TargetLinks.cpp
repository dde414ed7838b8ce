#include "forwarding/TargetLinks.h"

#include <iterator>

namespace Carawaymill {

TargetLinks::TargetLinks(TargetLinksOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_reach(m_options.reach)
    , m_relays(m_options.relays)
{
}

bool TargetLinks::hasWay(TimePoint now) const
{
    return !m_reach.isSeparated() || m_relays.hasAvailable(now);
}

std::optional<RelayHost> TargetLinks::chooseRelay(TimePoint now)
{
    return m_reach.isSeparated() ? m_relays.choose(m_random, now) : std::nullopt;
}

bool TargetLinks::recordOutOfReach(const TargetId &target, ForwardTargets &targets, ChainRouter &router, TimePoint now)
{
    if (m_reach.recordFailure(target, targets.targets().size(), now)) {
        clearBlame(targets, router);
    }
    return !m_reach.isSeparated();
}

void TargetLinks::suspect(
    const TargetId &target, UnresponsiveCause cause, ForwardTargets &targets, ChainRouter &router, TimePoint now) const
{
    targets.markUnresponsive(target, cause, m_options.suspicionPeriod, router, now);
}

void TargetLinks::clearBlame(ForwardTargets &targets, ChainRouter &router)
{
    const std::vector<TargetId> unreached = m_reach.unreached();
    for (const TargetId &blamed : unreached) {
        targets.clearUnresponsive(blamed, router);
    }
    m_log.push_back("Forward: event=separated unreached_targets=" + std::to_string(unreached.size()));
}

std::optional<ProbeTarget> TargetLinks::nextProbe(const ForwardTargets &targets, TimePoint now)
{
    const std::map<TargetId, DirectoryTarget> &listed = targets.targets();
    if (listed.empty() || !m_reach.takeProbeDue(now)) {
        return std::nullopt;
    }
    const auto probed = std::next(listed.begin(), static_cast<std::ptrdiff_t>(m_random.below(listed.size())));
    return ProbeTarget{.target = probed->first, .address = probed->second.address, .timeout = m_options.probeTimeout};
}

void TargetLinks::recordProbe(const TargetProbed &probed, ForwardTargets &targets, ChainRouter &router, TimePoint now)
{
    if (!probed.connected) {
        if (m_reach.recordProbeFailed(probed.target, targets.targets().size(), now)) {
            clearBlame(targets, router);
        }
    } else if (m_reach.recordProbeConnected()) {
        m_log.push_back("Forward: event=rejoined target=" + probed.target.value());
    }
}

std::variant<PassOnRequest, RefuseRelay>
TargetLinks::decide(const RelayRequested &request, bool draining, const ForwardTargets &targets) const
{
    if (draining || m_reach.isSeparated()) {
        return RefuseRelay{.id = request.id, .reason = RelayFailure::HostUnavailable};
    }
    const auto listed = targets.targets().find(request.target);
    if (listed == targets.targets().end() || !targets.isUsable(request.target)) {
        return RefuseRelay{.id = request.id, .reason = RelayFailure::TargetUnavailable};
    }
    return PassOnRequest{.id = request.id, .target = request.target, .address = listed->second.address};
}

} // namespace Carawaymill

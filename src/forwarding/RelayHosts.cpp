#include "forwarding/RelayHosts.h"

namespace Carawaymill {

std::optional<RelayHost> RelayHosts::choose(Random &random, TimePoint now) const
{
    std::vector<const RelayHost *> own;
    std::vector<const RelayHost *> others;
    for (const RelayHost &host : m_hosts) {
        const auto unavailable = m_unavailableUntil.find(host.host);
        if (unavailable == m_unavailableUntil.end() || now >= unavailable->second) {
            (host.failureDomain == m_options.ownFailureDomain ? own : others).push_back(&host);
        }
    }
    const std::vector<const RelayHost *> &hosts = own.empty() ? others : own;
    if (hosts.empty()) {
        return std::nullopt;
    }
    return *hosts[random.below(hosts.size())];
}

} // namespace Carawaymill

#include "forwarding/RelayHosts.h"

#include <algorithm>

namespace Carawaymill {

bool RelayHosts::isAvailable(const RelayHost &host, TimePoint now) const
{
    const auto unavailable = m_unavailableUntil.find(host.host);
    return unavailable == m_unavailableUntil.end() || now >= unavailable->second;
}

bool RelayHosts::hasAvailable(TimePoint now) const
{
    return std::ranges::any_of(m_hosts, [&](const RelayHost &host) { return isAvailable(host, now); });
}

std::optional<RelayHost> RelayHosts::choose(Random &random, TimePoint now) const
{
    std::vector<const RelayHost *> own;
    std::vector<const RelayHost *> others;
    for (const RelayHost &host : m_hosts) {
        if (isAvailable(host, now)) {
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

#include "forwarding/RouteTable.h"

#include "support/Hash.h"

#include <algorithm>
#include <set>

namespace Carawaymill {

ServiceId selectService(const Route &route, const std::string &attempt)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    std::uint64_t position = total > 0 ? stableHash(attempt) % total : 0;
    for (const ServiceShare &share : route.services) {
        if (position < share.weight) {
            return share.service;
        }
        position -= share.weight;
    }
    return route.services.empty() ? ServiceId() : route.services.front().service;
}

std::uint32_t rankOf(const Route &route, const OrganisationKeys *organisation)
{
    return organisation != nullptr ? organisation->priority.value_or(route.priority) : route.priority;
}

unsigned urgencyOf(std::uint32_t rank, bool resumes)
{
    static constexpr unsigned firstRank = 3;
    static constexpr unsigned secondRank = 5;
    static constexpr unsigned last = 9;
    const unsigned urgency = rank == 0 ? firstRank : std::min<std::uint32_t>(rank, last) - 1 + secondRank;
    return std::min(urgency, last) - (resumes ? 1 : 0);
}

RouteTable::RouteTable(SharedConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration->routes) {
        m_routes[route.host].push_back(&route);
    }
    for (auto &[host, routes] : m_routes) {
        std::ranges::stable_sort(routes, std::greater<>(), [](const Route *route) { return route->prefix.size(); });
    }
    if (m_configuration->organisations) {
        for (const OrganisationKeys &organisation : *m_configuration->organisations) {
            for (const std::string &key : organisation.keys) {
                m_organisations.emplace(key, &organisation);
            }
        }
    }
    std::set<std::uint32_t> ranks;
    for (const Route &route : m_configuration->routes) {
        ranks.insert(route.priority);
    }
    if (m_configuration->organisations) {
        for (const OrganisationKeys &organisation : *m_configuration->organisations) {
            if (organisation.priority) {
                ranks.insert(*organisation.priority);
            }
        }
    }
    m_hasSeveralRanks = ranks.size() > 1;
}

const Route *RouteTable::route(std::string_view host, std::string_view path) const
{
    const auto found = m_routes.find(host);
    if (found == m_routes.end()) {
        return nullptr;
    }
    const auto match =
        std::ranges::find_if(found->second, [&](const Route *route) { return path.starts_with(route->prefix); });
    return match == found->second.end() ? nullptr : *match;
}

const OrganisationKeys *RouteTable::organisation(const std::string &key) const
{
    const auto found = m_organisations.find(key);
    return found == m_organisations.end() ? nullptr : found->second;
}

} // namespace Carawaymill

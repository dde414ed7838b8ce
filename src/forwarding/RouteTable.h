#pragma once

#include "forwarding/RoutingConfiguration.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Carawaymill {

/// Selects one of the route's services by the hash of the attempt id, so that a repeated attempt goes to the same one.
[[nodiscard]] ServiceId selectService(const Route &route, const std::string &attempt);

/// How urgent the organisation's requests to the route are, 0 first: the organisation's own priority goes before the
/// route's. `organisation` is null for callers without a key.
[[nodiscard]] std::uint32_t rankOf(const Route &route, const OrganisationKeys *organisation);

/// The urgency for engines of a request of this rank, from 0 (first) to 9. Engines take 5 for requests without one: the
/// most urgent rank goes before these, the others not.
[[nodiscard]] unsigned urgencyOf(std::uint32_t rank, bool resumes);

/// Finds the route and the organisation of a request in one version of the configuration.
class RouteTable
{
public:
    explicit RouteTable(SharedConfiguration configuration);

    [[nodiscard]] const RoutingConfiguration &configuration() const { return *m_configuration; }

    [[nodiscard]] const SharedConfiguration &sharedConfiguration() const { return m_configuration; }

    /// The route of `host` with the longest prefix of `path`; null if there is none.
    [[nodiscard]] const Route *route(std::string_view host, std::string_view path) const;

    /// Whether requests differ in rank.
    [[nodiscard]] bool hasSeveralRanks() const { return m_hasSeveralRanks; }

    /// Null if no organisation has the key.
    [[nodiscard]] const OrganisationKeys *organisation(const std::string &key) const;

private:
    SharedConfiguration m_configuration;
    /// By host, sorted by descending prefix length.
    std::map<std::string, std::vector<const Route *>, std::less<>> m_routes;
    std::unordered_map<std::string, const OrganisationKeys *> m_organisations;
    bool m_hasSeveralRanks = false;
};

} // namespace Carawaymill

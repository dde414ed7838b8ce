#pragma once

#include "support/Identifiers.h"
#include "support/Random.h"
#include "support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// Another host that passes on requests to targets.
struct RelayHost
{
    HostId host;
    FailureDomainId failureDomain;
    /// IP address and port at which it takes such requests.
    std::string address;

    friend bool operator==(const RelayHost &, const RelayHost &) = default;
};

struct RelayHostsOptions
{
    FailureDomainId ownFailureDomain;
    /// A host that could not pass on a request is left out for this time.
    Duration unavailablePeriod = 1s;
};

/// Chooses the hosts through which this host reaches targets while it has lost its own links to them.
class RelayHosts
{
public:
    explicit RelayHosts(RelayHostsOptions options)
        : m_options(std::move(options))
    {
    }

    /// Replaces the hosts to choose from; this host is not among them.
    void setHosts(std::vector<RelayHost> hosts) { m_hosts = std::move(hosts); }

    void recordUnavailable(const HostId &host, TimePoint now)
    {
        m_unavailableUntil[host] = now + m_options.unavailablePeriod;
    }

    [[nodiscard]] bool hasAvailable(TimePoint now) const;

    /// A random host, of the own failure domain if one is available; std::nullopt if none is available.
    [[nodiscard]] std::optional<RelayHost> choose(Random &random, TimePoint now) const;

private:
    [[nodiscard]] bool isAvailable(const RelayHost &host, TimePoint now) const;

    RelayHostsOptions m_options;
    std::vector<RelayHost> m_hosts;
    std::map<HostId, TimePoint> m_unavailableUntil;
};

} // namespace Carawaymill

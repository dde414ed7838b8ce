#pragma once

#include "support/Identifiers.h"

#include <string>
#include <vector>

namespace Carawaymill {

/// What the platform's host list says of a host. The list lags behind the truth.
enum class HostListState {
    Live,
    Leaving,
};

/// One of the system's own hosts as the host list shows it.
struct ListedHost
{
    HostId host;
    HostListState state = HostListState::Live;
    /// Peer address, for example `tcp://10.0.0.4:7400`.
    std::string peerAddress;
    FailureDomainId failureDomain;
    RegionId region;
    /// IP address and port at which the host passes on requests to targets; empty if it does not.
    std::string relayAddress = {};

    friend bool operator==(const ListedHost &, const ListedHost &) = default;
};

/// One target as the host list shows it.
struct ListedTarget
{
    TargetId target;
    HostListState state = HostListState::Live;

    friend bool operator==(const ListedTarget &, const ListedTarget &) = default;
};

/// Event: a new reading of the platform's host list.
struct HostListRead
{
    std::vector<ListedHost> hosts;
    std::vector<ListedTarget> targets;
};

} // namespace Carawaymill

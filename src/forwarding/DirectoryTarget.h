#pragma once

#include "forwarding/RoutingConfiguration.h"
#include "placement/EngineOrders.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Carawaymill {

/// One target as it registers itself in the platform's directory.
struct DirectoryTarget
{
    TargetId id;
    ServiceId service;
    /// IP address and port.
    std::string address;
    FailureDomainId failureDomain;
    /// The target finishes its requests in progress and gets no new ones.
    bool leaving = false;
    /// Number of requests that it runs concurrently.
    std::uint32_t concurrency = 1;
    /// Key of `EngineProfile::kinds`; empty for a plain service.
    std::string acceleratorKind;
    /// Increases with each start of its process.
    IncarnationNumber incarnation;
    /// Model layers that an engine has loaded.
    std::vector<ModelLayers> held;

    friend bool operator==(const DirectoryTarget &, const DirectoryTarget &) = default;
};

} // namespace Carawaymill

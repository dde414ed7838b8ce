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
    /// IP number and port.
    std::string address;
    FailureDomainId failureDomain;
    /// It finishes what it has and gets no new work.
    bool leaving = false;
    /// Requests that it runs at once.
    std::uint32_t concurrency = 1;
    /// Key of `EngineProfile::kinds`; empty for a plain service.
    std::string acceleratorKind;
    /// Changes with each start of its process.
    IncarnationNumber incarnation;
    /// Layers that an engine holds.
    std::vector<ModelLayers> held;

    friend bool operator==(const DirectoryTarget &, const DirectoryTarget &) = default;
};

} // namespace Carawaymill

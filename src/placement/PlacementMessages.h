#pragma once

#include "placement/EngineOrders.h"
#include "support/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Carawaymill {

/// An engine that placement may use.
struct PlacementTarget
{
    TargetId id;
    /// Memory for layers; what the KV cache needs at least is already taken off.
    ByteCount layerMemory;
    /// Memory for layers and KV cache together; 0 when it is not known.
    ByteCount memory = {};
    double layerTokensPerSecond = 0;
    double linkBytesPerSecond = 0;
    FailureDomainId failureDomain;
    bool checksFencingNumber = false;

    friend bool operator==(const PlacementTarget &, const PlacementTarget &) = default;
};

/// One model, version and adapter that is wanted, and how much of it.
struct PlacementDemand
{
    ModelId model;
    std::string version;
    /// Empty: the base model.
    std::string adapter;
    std::uint32_t layers = 0;
    ByteCount bytesPerLayer;
    ByteCount activationBytes;
    /// Expected load. Only its proportion to that of other models matters; must be positive.
    double tokensPerSecond = 1;

    friend bool operator==(const PlacementDemand &, const PlacementDemand &) = default;
};

/// Which layers each target is to hold. Targets that are not in it hold nothing.
using PlacementPlan = std::map<TargetId, ModelLayers>;

/// Tokens a second of one wanted model that the target's link can carry, in and out.
[[nodiscard]] double linkTokensPerSecond(const PlacementTarget &target, const PlacementDemand &demand);

/// How many layers of the wanted model fit into the target, at most all.
[[nodiscard]] std::uint32_t layersThatFit(const PlacementTarget &target, const PlacementDemand &demand);

/// Whether the layers are of the wanted model, version and adapter.
[[nodiscard]] bool matches(const PlacementDemand &demand, const ModelLayers &layers);

} // namespace Carawaymill

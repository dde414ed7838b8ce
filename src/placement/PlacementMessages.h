#pragma once

#include "placement/EngineOrders.h"
#include "support/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Carawaymill {

/// An engine to which layers can be assigned.
struct PlacementTarget
{
    TargetId id;
    /// Memory for layers, without the minimum that is reserved for the KV cache.
    ByteCount layerMemory;
    /// Memory for layers and KV cache together; 0 when it is not known.
    ByteCount memory = {};
    /// Tokens per second times layers that the target runs.
    double layerTokensPerSecond = 0;
    double linkBytesPerSecond = 0;
    FailureDomainId failureDomain;
    bool checksFencingNumber = false;

    friend bool operator==(const PlacementTarget &, const PlacementTarget &) = default;
};

/// Demand for one model, version and adapter.
struct PlacementDemand
{
    ModelId model;
    std::string version;
    /// Empty: the base model.
    std::string adapter;
    std::uint32_t layers = 0;
    ByteCount bytesPerLayer;
    ByteCount activationBytes;
    /// KV cache of one request of mean length for one layer, on average while it runs; 0 if it is not known.
    ByteCount cacheBytesPerLayer = {};
    /// Number of requests that a target runs at once.
    std::uint32_t concurrency = 0;
    /// Expected load. Must be positive; only its ratio to that of other models matters.
    double tokensPerSecond = 1;

    friend bool operator==(const PlacementDemand &, const PlacementDemand &) = default;
};

/// The layers that each target is to hold. Targets that are not in the plan hold none.
using PlacementPlan = std::map<TargetId, ModelLayers>;

/// Tokens per second of the model whose activations the target's link can carry, in and out. Infinite if the speed of
/// the link or the size of an activation is not known.
[[nodiscard]] double linkTokensPerSecond(const PlacementTarget &target, const PlacementDemand &demand);

/// Number of layers of the model that fit into the target's memory, at most all of them.
[[nodiscard]] std::uint32_t layersThatFit(const PlacementTarget &target, const PlacementDemand &demand);

/// Whether the layers belong to the model, version and adapter of the demand.
[[nodiscard]] bool matches(const PlacementDemand &demand, const ModelLayers &layers);

} // namespace Carawaymill

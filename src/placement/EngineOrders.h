#pragma once

#include "lease/LeaseMessages.h"
#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Units.h"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Messages between a placement lease holder and an engine, and their JSON.
namespace Carawaymill {

/// The unit of placement with a lease of its own: all targets of one region. No target is in two scopes.
using PlacementScope = LeaseScopeId;

/// For example `region/kyushu`.
[[nodiscard]] PlacementScope placementScope(const RegionId &region);

/// Sequence number of an order among those with the same fencing number; the first is 1.
using OrderNumber = StrongCount<struct OrderNumberTag, std::uint64_t>;

/// Layers of one model, version and adapter. JSON: `{"model", "version", "adapter", "layers": [first, end]}`.
struct ModelLayers
{
    ModelId model;
    std::string version;
    /// Empty: the base model.
    std::string adapter;
    LayerRange layers;

    friend auto operator<=>(const ModelLayers &, const ModelLayers &) = default;
};

/// The key that ranges of the same model, version and adapter have in common.
[[nodiscard]] inline auto modelOf(const ModelLayers &layers)
{
    return std::tie(layers.model, layers.version, layers.adapter);
}

/// Order to an engine to load and unload layers. Orders are idempotent: loading held layers, or unloading layers that
/// are not held, has no effect. Unloads are performed before loads.
struct EngineOrder
{
    TargetId target;
    PlacementScope scope;
    /// Engines that check the fencing number refuse the order if they have seen a higher number for the same scope.
    FencingNumber fencingNumber;
    OrderNumber number;
    std::vector<ModelLayers> loads;
    std::vector<ModelLayers> unloads;
    /// The order must reach the engine within this time after `SendEngineOrder`: it is the timeout of the call, and the
    /// order is never sent later. JSON: `validForMilliseconds`.
    Duration validFor{};
    /// An engine that counts its orders refuses this one unless it has accepted exactly this number of orders before.
    /// Keeps an order that was delayed on its way from undoing a later one.
    std::optional<std::uint64_t> ordersAccepted = std::nullopt;

    friend bool operator==(const EngineOrder &, const EngineOrder &) = default;
};

/// Outcome of an order.
enum class EngineOrderOutcome {
    Accepted,
    /// The engine has seen a higher fencing number for the scope. The order had no effect.
    OldFencingNumber,
    /// The layers do not fit into memory. The unloads were performed, the loads were not.
    InsufficientMemory,
    /// The engine's state differs from the one that the order was made for. The order had no effect.
    StateDiffers,
    /// The engine could not parse the order. The order had no effect.
    Malformed,
};

/// Response of an engine to an order.
struct EngineOrderReply
{
    OrderNumber number;
    EngineOrderOutcome outcome = EngineOrderOutcome::Accepted;
    /// Highest fencing number that the engine has seen for the scope; 0 from an engine that does not check it.
    FencingNumber highestFencingNumber;

    friend bool operator==(const EngineOrderReply &, const EngineOrderReply &) = default;
};

/// State of an engine as it reports it itself.
struct EngineState
{
    TargetId target;
    /// Differs for each start of the engine process.
    IncarnationNumber incarnation;
    /// Loaded and ready to run.
    std::vector<ModelLayers> held;
    /// Being fetched from the weight store.
    std::vector<ModelLayers> loading;
    /// Memory that is not used by held or loading layers.
    ByteCount freeMemory;
    /// The engine is carrying out an order whose layers it does not list in `loading`.
    bool busy = false;
    /// Number of orders accepted since the start of the engine process. Empty if the engine does not count them.
    std::optional<std::uint64_t> ordersAccepted = std::nullopt;

    friend bool operator==(const EngineState &, const EngineState &) = default;
};

void to_json(nlohmann::json &json, const ModelLayers &layers);
void from_json(const nlohmann::json &json, ModelLayers &layers);
void to_json(nlohmann::json &json, const EngineOrder &order);
void from_json(const nlohmann::json &json, EngineOrder &order);
void to_json(nlohmann::json &json, const EngineOrderReply &reply);
void from_json(const nlohmann::json &json, EngineOrderReply &reply);
void to_json(nlohmann::json &json, const EngineState &state);
void from_json(const nlohmann::json &json, EngineState &state);

} // namespace Carawaymill

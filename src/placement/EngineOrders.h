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

/// What a placement holder and an engine say to each other, and its JSON.
namespace Carawaymill {

/// The part of placement that one holder decides on: all targets of one region, so that no two holders share a target.
using PlacementScope = LeaseScopeId;

/// For example `region/kyushu`.
[[nodiscard]] PlacementScope placementScope(const RegionId &region);

/// Numbers the orders of one holder under one fencing number; the first is 1.
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

/// What ranges of the same layers have in common.
[[nodiscard]] inline auto modelOf(const ModelLayers &layers)
{
    return std::tie(layers.model, layers.version, layers.adapter);
}

/// Tells an engine which layers to load and which to drop. Orders are idempotent: to load what is held, or to drop what
/// is not, changes nothing. Drops are done before loads.
struct EngineOrder
{
    TargetId target;
    PlacementScope scope;
    /// An engine that checks it refuses the order when it has seen a higher one for the same scope.
    FencingNumber fencingNumber;
    OrderNumber number;
    std::vector<ModelLayers> loads;
    std::vector<ModelLayers> unloads;
    /// The order must have reached the engine within this time of being handed to the driver: the driver gives the call
    /// this time limit and never sends the order later. JSON: `validForMilliseconds`.
    Duration validFor{};
    /// The engine refuses the order unless it has accepted just so many before, where it counts them. Keeps an order
    /// that was held up on its way from undoing a later one.
    std::optional<std::uint64_t> ordersAccepted = std::nullopt;

    friend bool operator==(const EngineOrder &, const EngineOrder &) = default;
};

/// What an engine did with an order.
enum class EngineOrderOutcome {
    Accepted,
    /// A higher fencing number was seen for the scope. Nothing was done.
    OldFencingNumber,
    /// The layers don't fit. Drops have been done, loads have not.
    InsufficientMemory,
    /// The engine's state is another than the order was made for. Nothing was done.
    StateDiffers,
    /// The engine can't read the order. Nothing was done.
    Malformed,
};

/// Reply of an engine to an order.
struct EngineOrderReply
{
    OrderNumber number;
    EngineOrderOutcome outcome = EngineOrderOutcome::Accepted;
    /// The highest that the engine has seen for the scope; 0 from an engine that doesn't check.
    FencingNumber highestFencingNumber;

    friend bool operator==(const EngineOrderReply &, const EngineOrderReply &) = default;
};

/// What an engine really holds: the answer to reading it back.
struct EngineState
{
    TargetId target;
    /// Changes with each start of the engine process.
    IncarnationNumber incarnation;
    /// Loaded and ready to run.
    std::vector<ModelLayers> held;
    /// Being fetched from the weight store.
    std::vector<ModelLayers> loading;
    /// Memory not taken by layers that are held or loading.
    ByteCount freeMemory;
    /// An order is being carried out that the engine does not tell in `loading`.
    bool busy = false;
    /// Orders that it has accepted since its start, where it counts them.
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

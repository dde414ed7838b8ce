#include "placement/EngineOrders.h"

namespace Carawaymill {

NLOHMANN_JSON_SERIALIZE_ENUM(EngineOrderOutcome,
                             {{EngineOrderOutcome::Malformed, "malformed"},
                              {EngineOrderOutcome::Accepted, "accepted"},
                              {EngineOrderOutcome::OldFencingNumber, "oldFencingNumber"},
                              {EngineOrderOutcome::InsufficientMemory, "insufficientMemory"},
                              {EngineOrderOutcome::StateDiffers, "stateDiffers"}})

PlacementScope placementScope(const RegionId &region)
{
    return PlacementScope("region/" + region.value());
}

void to_json(nlohmann::json &json, const ModelLayers &layers)
{
    json = {{"model", layers.model},
            {"version", layers.version},
            {"adapter", layers.adapter},
            {"layers", {layers.layers.first, layers.layers.end}}};
}

void from_json(const nlohmann::json &json, ModelLayers &layers)
{
    json.at("model").get_to(layers.model);
    json.at("version").get_to(layers.version);
    json.at("adapter").get_to(layers.adapter);
    json.at("layers").at(0).get_to(layers.layers.first);
    json.at("layers").at(1).get_to(layers.layers.end);
}

void to_json(nlohmann::json &json, const EngineOrder &order)
{
    json = {{"target", order.target},
            {"scope", order.scope},
            {"fencingNumber", order.fencingNumber},
            {"number", order.number},
            {"loads", order.loads},
            {"unloads", order.unloads},
            {"validForMilliseconds", std::chrono::duration_cast<std::chrono::milliseconds>(order.validFor).count()}};
}

void from_json(const nlohmann::json &json, EngineOrder &order)
{
    json.at("target").get_to(order.target);
    json.at("scope").get_to(order.scope);
    json.at("fencingNumber").get_to(order.fencingNumber);
    json.at("number").get_to(order.number);
    json.at("loads").get_to(order.loads);
    json.at("unloads").get_to(order.unloads);
    order.validFor = std::chrono::milliseconds(json.at("validForMilliseconds").get<std::int64_t>());
}

void to_json(nlohmann::json &json, const EngineOrderReply &reply)
{
    json = {{"number", reply.number}, {"outcome", reply.outcome}, {"highestFencingNumber", reply.highestFencingNumber}};
}

void from_json(const nlohmann::json &json, EngineOrderReply &reply)
{
    json.at("number").get_to(reply.number);
    json.at("outcome").get_to(reply.outcome);
    json.at("highestFencingNumber").get_to(reply.highestFencingNumber);
}

void to_json(nlohmann::json &json, const EngineState &state)
{
    json = {{"target", state.target},
            {"incarnation", state.incarnation},
            {"held", state.held},
            {"loading", state.loading},
            {"freeMemory", state.freeMemory}};
}

void from_json(const nlohmann::json &json, EngineState &state)
{
    json.at("target").get_to(state.target);
    json.at("incarnation").get_to(state.incarnation);
    json.at("held").get_to(state.held);
    json.at("loading").get_to(state.loading);
    json.at("freeMemory").get_to(state.freeMemory);
}

} // namespace Carawaymill

#include "placement/EngineOrders.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static ModelLayers layers(std::uint32_t first, std::uint32_t end)
{
    return {
        .model = ModelId("glider"), .version = "2", .adapter = "tow", .layers = {LayerIndex(first), LayerIndex(end)}};
}

template<typename Message>
static void checkTravels(const Message &message)
{
    const auto parsed = parseJson(nlohmann::json(message).dump());
    REQUIRE(std::holds_alternative<nlohmann::json>(parsed));
    const auto decoded = decode<Message>(std::get<nlohmann::json>(parsed));
    REQUIRE(std::holds_alternative<Message>(decoded));
    CHECK(std::get<Message>(decoded) == message);
}

TEST_CASE("orders and replies and states survive a JSON round trip")
{
    checkTravels(EngineOrder{.target = TargetId("e1"),
                             .scope = PlacementScope("kyushu/glider"),
                             .fencingNumber = FencingNumber(7),
                             .number = OrderNumber(3),
                             .loads = {layers(0, 4)},
                             .unloads = {layers(8, 9)},
                             .validFor = 1500ms});
    checkTravels(EngineOrderReply{.number = OrderNumber(3),
                                  .outcome = EngineOrderOutcome::OldFencingNumber,
                                  .highestFencingNumber = FencingNumber(8)});
    checkTravels(EngineState{.target = TargetId("e1"),
                             .incarnation = IncarnationNumber(2),
                             .held = {layers(0, 4)},
                             .loading = {layers(4, 6)},
                             .freeMemory = ByteCount(12)});
}

TEST_CASE("an order without a fencing number does not decode")
{
    nlohmann::json json = EngineOrder{.target = TargetId("e1")};
    json.erase("fencingNumber");
    CHECK(std::holds_alternative<DecodeFailure>(decode<EngineOrder>(json)));
}

#include "placement/tests/SimulatedFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace Carawaymill;

static int fewestHolders(const SimulatedFleet &fleet)
{
    const std::vector<int> holders = fleet.holders();
    return *std::min_element(holders.begin(), holders.end());
}

TEST_CASE("a new lease holder loads an empty fleet according to its plan and then sends no more orders")
{
    SimulatedFleet fleet(9);
    fleet.acquireLease();
    fleet.run(60s);
    CHECK(fewestHolders(fleet) >= 2);
    const std::size_t orders = fleet.orders.size();
    CHECK(orders >= 9);
    fleet.run(10min);
    CHECK(fleet.orders.size() == orders);
    CHECK(fleet.plans.size() == 1);
    CHECK(describe(fleet.orders.front()).starts_with("Placement: scope region/kyushu order 1.1 to t"));
}

TEST_CASE("the first loads restore service and the number of concurrent loads is limited")
{
    SimulatedFleet fleet(9);
    fleet.weightStoreUp = false;
    fleet.acquireLease();
    fleet.run(5s);
    REQUIRE(fleet.orders.size() == 4);
    std::set<LayerRange> restoring;
    for (const SendEngineOrder &send : fleet.orders) {
        if (send.reason == LoadReason::RestoresService) {
            restoring.insert(send.order.loads.front().layers);
        }
    }
    CHECK(restoring.size() == 3);
}

TEST_CASE("a holder paused until after its lease does nothing and its orders expire before the lease")
{
    SimulatedFleet fleet(9);
    fleet.acquireLease(1, 2s);
    fleet.run(1s);
    CHECK_FALSE(fleet.orders.empty());
    for (const SendEngineOrder &send : fleet.orders) {
        CHECK(send.sendBefore <= TimePoint(2s - 500ms));
    }
    const std::size_t orders = fleet.orders.size();
    const std::size_t reads = fleet.reads;
    fleet.now = TimePoint(2s);
    fleet.run(60s);
    CHECK(fleet.orders.size() == orders);
    CHECK(fleet.reads == reads);
}

TEST_CASE("engines that ignore fencing numbers get no order before the last order of a former holder has expired")
{
    SimulatedFleet fleet(9);
    for (PlacementTarget &target : fleet.targets) {
        target.checksFencingNumber = false;
    }
    fleet.acquireLease();
    fleet.run(2900ms);
    CHECK(fleet.orders.empty());
    fleet.run(600ms);
    CHECK_FALSE(fleet.orders.empty());
}

TEST_CASE("engines that count their orders get the orders of a new holder at once although they ignore fencing numbers")
{
    SimulatedFleet fleet(9);
    fleet.countOrders();
    fleet.acquireLease();
    fleet.run(1s);
    CHECK_FALSE(fleet.orders.empty());
}

TEST_CASE("a delayed order of a former holder does not undo a later one of its successor on engines that count orders")
{
    SimulatedFleet former(9);
    former.countOrders();
    former.respondToOrders = false;
    former.acquireLease(1);
    former.run(1s);
    REQUIRE_FALSE(former.orders.empty());
    const EngineOrder delayed = former.orders.front().order;

    SimulatedFleet fleet(9);
    fleet.countOrders();
    fleet.acquireLease(2);
    fleet.run(60s);
    const std::vector<int> holders = fleet.holders();
    CHECK(fleet.deliverOrder(delayed).outcome == EngineOrderOutcome::StateDiffers);
    fleet.run(60s);
    CHECK(fleet.holders() == holders);
}

TEST_CASE("an order of a former holder that comes first is repaired by its successor on engines that count orders")
{
    SimulatedFleet fleet(9);
    fleet.countOrders();
    fleet.weightStoreUp = false;
    fleet.acquireLease(2);
    fleet.run(1s);
    REQUIRE_FALSE(fleet.orders.empty());
    // The former holder unloads everything from an engine that its successor has not ordered yet.
    const TargetId last = fleet.targets.back().id;
    EngineOrder late{.target = last, .scope = SimulatedFleet::scope(), .fencingNumber = FencingNumber(1)};
    late.ordersAccepted = 0;
    CHECK(fleet.deliverOrder(late).outcome == EngineOrderOutcome::Accepted);
    fleet.weightStoreUp = true;
    fleet.run(60s);
    CHECK_FALSE(fleet.engines.at(last).held.empty());
    CHECK(fewestHolders(fleet) >= 2);
}

TEST_CASE("the effect of a late order of a former holder is detected by reading the state and repaired")
{
    SimulatedFleet fleet(9);
    fleet.acquireLease();
    fleet.run(60s);
    const std::vector<int> before = fleet.holders();
    fleet.engines.begin()->second.held.clear();
    fleet.run(15s);
    CHECK(fleet.holders() == before);
}

TEST_CASE("a holder that acquires the lease again after an outage of the lease service sends no orders")
{
    SimulatedFleet fleet(9);
    fleet.acquireLease();
    fleet.run(60s);
    // Targets that are added one after another get other layers than in a plan for an empty fleet.
    for (int i = 0; i < 4; ++i) {
        fleet.addTarget();
        fleet.targets.back().layerMemory = ByteCount(1200 - 300 * static_cast<std::uint64_t>(i));
        fleet.dispatch(PlacementTargetsChanged{fleet.targets});
        fleet.run(30s);
    }
    const std::size_t orders = fleet.orders.size();
    fleet.loseLease();
    fleet.run(300s);
    CHECK(fleet.orders.size() == orders);
    fleet.acquireLease(2);
    fleet.run(60s);
    CHECK(fleet.orders.size() == orders);
}

TEST_CASE("the plan does not change while one target or most targets are missing for less than the grace period")
{
    SimulatedFleet fleet(9);
    fleet.acquireLease();
    fleet.run(60s);
    const std::vector<PlacementTarget> all = fleet.targets;
    SUBCASE("one target")
    {
        fleet.dispatch(PlacementTargetsChanged{{all.begin() + 1, all.end()}});
        fleet.run(1s);
    }
    SUBCASE("most targets")
    {
        fleet.dispatch(PlacementTargetsChanged{{all.begin(), all.begin() + 3}});
        fleet.run(20s);
    }
    fleet.dispatch(PlacementTargetsChanged{all});
    fleet.run(60s);
    CHECK(fleet.plans.size() == 1);
}

TEST_CASE("after the loss of a failure domain every layer still has a holder")
{
    SimulatedFleet fleet(9);
    fleet.acquireLease();
    fleet.run(60s);
    fleet.removeDomain(FailureDomainId("d1"));
    CHECK(fewestHolders(fleet) >= 1);
    fleet.run(30s);
    CHECK(fewestHolders(fleet) >= 1);
}

TEST_CASE("a new target is assigned layers while the others keep theirs")
{
    SimulatedFleet fleet(9);
    fleet.acquireLease();
    fleet.run(60s);
    fleet.addTarget();
    fleet.dispatch(PlacementTargetsChanged{fleet.targets});
    fleet.run(10s);
    REQUIRE(fleet.plans.size() == 2);
    REQUIRE(fleet.plans.back().changes.size() == 1);
    CHECK(fleet.plans.back().changes.front().target == fleet.targets.back().id);
    CHECK_FALSE(fleet.engines.at(fleet.targets.back().id).held.empty());
}

TEST_CASE("an order without a response is repeated with increasing delays")
{
    SimulatedFleet fleet(3);
    fleet.respondToOrders = false;
    fleet.acquireLease();
    fleet.run(10min);
    CHECK(fleet.orders.size() > 9);
    CHECK(fleet.orders.size() < 60);
}

TEST_CASE("a holder stops sending orders when an engine has seen a higher fencing number")
{
    SimulatedFleet fleet(9);
    fleet.fencingNumberSeenByEngines = FencingNumber(5);
    fleet.acquireLease(4);
    fleet.run(60s);
    CHECK(fleet.superseded == 1);
    CHECK(fleet.orders.size() <= 4);
}

static ModelLayers layers(std::uint32_t first, std::uint32_t end)
{
    return {.model = ModelId("glider"), .version = "1", .layers = {LayerIndex(first), LayerIndex(end)}};
}

TEST_CASE("a layer without any holder is loaded first even over a slower link")
{
    const auto engine = [](const std::string &id, double link, std::vector<ModelLayers> held) {
        const PlacementTarget target{.id = TargetId(id),
                                     .layerMemory = ByteCount(1200),
                                     .linkBytesPerSecond = link,
                                     .failureDomain = FailureDomainId(id)};
        return ScheduledEngine{target, {.target = target.id, .held = std::move(held), .freeMemory = ByteCount(1200)}};
    };
    const std::vector<ScheduledEngine> engines{
        engine("fast", 1e9, {layers(0, 4)}), engine("slow", 1e6, {layers(4, 8)}), engine("other", 1e6, {layers(0, 8)})};
    const PlacementPlan plan{{TargetId("fast"), layers(0, 8)}, {TargetId("slow"), layers(4, 12)}};
    const auto steps = scheduleLoads(engines, {SimulatedFleet::demand()}, plan, 9);
    REQUIRE(steps.size() == 2);
    CHECK(steps.front().target == TargetId("slow"));
    CHECK(steps.front().loads == std::vector{layers(8, 12)});
}

TEST_CASE("the last holder of a layer unloads it only if a layer without any holder needs the memory")
{
    const PlacementTarget target{.id = TargetId("a"), .layerMemory = ByteCount(400)};
    const PlacementTarget other{.id = TargetId("b"), .layerMemory = ByteCount(1200)};
    ScheduledEngine full{.target = target, .state = {.target = target.id, .held = {layers(0, 4)}}};
    ScheduledEngine rest{.target = other, .state = {.target = other.id, .held = {layers(4, 12)}}};
    const PlacementPlan plan{{target.id, layers(4, 8)}};
    CHECK(scheduleLoads({full, rest}, {SimulatedFleet::demand()}, plan, 9).empty());
    rest.state.held = {layers(0, 12)};
    CHECK(scheduleLoads({full, rest}, {SimulatedFleet::demand()}, plan, 9).size() == 1);
    rest.state.held = {layers(8, 12)};
    CHECK(scheduleLoads({full, rest}, {SimulatedFleet::demand()}, plan, 9).size() == 1);
}

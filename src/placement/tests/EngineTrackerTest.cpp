#include "placement/EngineTracker.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const TargetId target("engine-1");

static ModelLayers range(std::uint32_t first, std::uint32_t end)
{
    return {.model = ModelId("glider"), .version = "1", .layers = {LayerIndex(first), LayerIndex(end)}};
}

static EngineOrder order()
{
    return {
        .target = target, .number = OrderNumber(1), .loads = {range(4, 10)}, .unloads = {range(0, 4)}, .validFor = 2s};
}

/// A tracker that has just read that the engine holds layers [0, 6), with a pending order to unload [0, 4) and load [4,
/// 10).
static EngineTracker trackerWithOpenOrder(TimePoint now)
{
    EngineTracker tracker({});
    tracker.reset(now - 10s);
    (void)tracker.startDueReads({target}, now);
    tracker.recordState({.target = target, .held = {range(0, 6)}});
    tracker.recordOrder(order(), now);
    return tracker;
}

TEST_CASE("layers that an engine is ordered to unload do not count as held")
{
    const TimePoint now{1h};
    EngineTracker tracker = trackerWithOpenOrder(now);
    CHECK(tracker.state(target)->held == std::vector{range(4, 6)});
    SUBCASE("the order is accepted")
    {
        CHECK(tracker.finishOrder(target, OrderNumber(1), true, now));
    }
    SUBCASE("the order gets no response and may still be carried out")
    {
        tracker.expireOverdueOrders(now + 1min);
    }
    CHECK(tracker.state(target)->held == std::vector{range(4, 6)});
}

TEST_CASE("a state read after the order replaces the assumed held layers")
{
    const TimePoint now{1h};
    EngineTracker tracker = trackerWithOpenOrder(now);
    CHECK(tracker.finishOrder(target, OrderNumber(1), false, now + 100ms));
    REQUIRE(tracker.startDueReads({target}, now + 1s) == std::vector{target});
    tracker.recordState({.target = target, .held = {range(0, 6)}});
    CHECK(tracker.state(target)->held == std::vector{range(0, 6)});
}

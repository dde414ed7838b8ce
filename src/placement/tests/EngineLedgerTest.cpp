#include "placement/EngineLedger.h"

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

/// A ledger that has just read that the engine holds layers 0 to 6, and has ordered it to hold 4 to 10.
static EngineLedger orderedLedger(TimePoint now)
{
    EngineLedger ledger({});
    ledger.startAgain(now - 10s);
    (void)ledger.dueReads({target}, now);
    ledger.stateRead({.target = target, .held = {range(0, 6)}});
    ledger.ordered(order(), now);
    return ledger;
}

TEST_CASE("nobody counts on layers that an engine is ordered to drop")
{
    const TimePoint now{1h};
    EngineLedger ledger = orderedLedger(now);
    CHECK(ledger.state(target)->held == std::vector{range(4, 6)});
    SUBCASE("the order is accepted")
    {
        CHECK(ledger.orderEnded(target, OrderNumber(1), true, now));
    }
    SUBCASE("the order stays without an answer, and may still be carried out")
    {
        ledger.dropOverdueOrders(now + 1min);
    }
    CHECK(ledger.state(target)->held == std::vector{range(4, 6)});
}

TEST_CASE("a reading after the order tells what the engine holds")
{
    const TimePoint now{1h};
    EngineLedger ledger = orderedLedger(now);
    CHECK(ledger.orderEnded(target, OrderNumber(1), false, now + 100ms));
    REQUIRE(ledger.dueReads({target}, now + 1s) == std::vector{target});
    ledger.stateRead({.target = target, .held = {range(0, 6)}});
    CHECK(ledger.state(target)->held == std::vector{range(0, 6)});
}

#include "daemon/LoopMonitor.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

TEST_CASE("a late tick is reported with the processor time that the loop used since the tick before")
{
    LoopMonitor monitor({.tickInterval = 20ms, .reportedDelay = 250ms});
    CHECK(!monitor.recordTick(TimePoint(1s), 100ms));
    CHECK(!monitor.recordTick(TimePoint(1020ms), 101ms));
    CHECK(!monitor.recordTick(TimePoint(1280ms), 102ms));
    const auto delay = monitor.recordTick(TimePoint(1900ms), 107ms);
    REQUIRE(delay);
    CHECK(delay->delay == 600ms);
    CHECK(delay->processorTime == 5ms);
    CHECK(!monitor.recordTick(TimePoint(1920ms), 108ms));
}

#include "daemon/LogLimiter.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

TEST_CASE("under load the lines of successes give way, and what was left out is counted")
{
    LogLimiter limiter({.linesPerSecond = 10, .successesPerSecond = 4});
    TimePoint now{1h};
    int successes = 0;
    int failures = 0;
    for (int line = 0; line < 20; ++line) {
        successes += limiter.admits("Forward: event=end outcome=streamed", now) ? 1 : 0;
    }
    for (int line = 0; line < 5; ++line) {
        failures += limiter.admits("Forward: event=end outcome=refused:no-target", now) ? 1 : 0;
    }
    CHECK(successes == 4);
    CHECK(failures == 5);
    CHECK(!limiter.takeDropped(now));
    now += 1s;
    CHECK(limiter.takeDropped(now) == 16);
    CHECK(!limiter.takeDropped(now));
    CHECK(limiter.admits("Forward: event=end outcome=streamed", now));
}

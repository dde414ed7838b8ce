#include "forwarding/ServiceBackoff.h"

#include <doctest/doctest.h>

#include <cstddef>

using namespace Carawaymill;

static const TimePoint start{1h};

/// Guards against a host whose calls fail retrying for each range separately: 45 hosts that the service rejected made
/// more calls than all others.
TEST_CASE("while calls fail all ranges together make one call for each delay and a success ends the backoff")
{
    ServiceBackoff backoff({.seed = 7});
    CHECK(backoff.mayCall(start));
    CHECK(!backoff.recordSuccess(start));
    CHECK(backoff.recordFailure(start));
    CHECK(!backoff.recordFailure(start));
    CHECK(!backoff.mayCall(start + 49ms));
    CHECK(backoff.mayCall(start + 101ms));
    std::size_t calls = 0;
    TimePoint last = start;
    for (TimePoint now = start; now < start + 30s; now += 10ms) {
        for (int range = 0; range < 3; ++range) {
            if (backoff.mayCall(now)) {
                backoff.recordCall(now);
                ++calls;
                // The return of the service is noticed within the longest delay.
                CHECK(now - last <= 2010ms);
                last = now;
                (void)backoff.recordFailure(now);
            }
        }
    }
    CHECK(calls >= 15);
    CHECK(calls <= 35);
    CHECK(backoff.recordSuccess(start + 30s) == 30s);
    CHECK(backoff.mayCall(start + 30s));
    CHECK(backoff.recordFailure(start + 31s));
    CHECK(backoff.mayCall(start + 31101ms));
}

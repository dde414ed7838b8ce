#include "daemon/tests/PlatformFixture.h"
#include "support/BootClock.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

/// Guards against connections that a daemon closes without an answer when the time for its drain is over.
TEST_CASE("a request that outlasts a drain is answered before the daemon stops")
{
    PlatformFixture fixture(1, false, 1s);
    fixture.platform().publish(
        {.version = 1,
         .routes = {{.prefix = "/once/", .service = ServiceId("plain"), .kind = PublishedRouteKind::AtMostOnce}},
         .services = {{.id = ServiceId("plain")}}});
    TargetStandIn &target = fixture.platform().addTarget(
        {.id = TargetId("p1"), .service = ServiceId("plain"), .failureDomain = FailureDomainId("zone-1")});
    REQUIRE(fixture.waitUntilServed("/once/start", 10s));
    target.beSilentUntil(readBootClock() + 60s);
    const auto exchange = fixture.call(0, "/once/x");
    fixture.runFor(200ms);
    fixture.drain(0);
    (void)fixture.runUntil([&] { return exchange->ended(); }, 3s);
    CHECK(exchange->complete);
    CHECK(exchange->status == 502);
}

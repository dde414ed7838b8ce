#include "daemon/tests/PlatformFixture.h"
#include "support/BootClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace Carawaymill;

/// Bound for what the daemon does at its start: read the configuration and the directory, and place layers.
static constexpr Duration startLimit = 10s;
/// Longest wait for the end of a request; callers' deadlines are sooner.
static constexpr Duration responseLimit = 12s;

/// A plain service, a service of resumable streams, and an engine service.
static PublishedConfiguration configuration()
{
    return {
        .version = 1,
        .routes = {{.prefix = "/plain/", .service = ServiceId("plain")},
                   {.prefix = "/stream/", .service = ServiceId("stream"), .kind = PublishedRouteKind::ResumableStream},
                   {.prefix = "/engine/", .service = ServiceId("engine"), .kind = PublishedRouteKind::ResumableStream}},
        .services = {
            {.id = ServiceId("plain")}, {.id = ServiceId("stream")}, {.id = ServiceId("engine"), .layers = 4}}};
}

static TargetStandInOptions plainTarget(const std::string &id)
{
    return {.id = TargetId(id), .service = ServiceId("plain"), .failureDomain = FailureDomainId("zone-1")};
}

static TargetStandInOptions streamTarget(const std::string &id)
{
    return {.id = TargetId(id),
            .service = ServiceId("stream"),
            .failureDomain = FailureDomainId("zone-1"),
            .streams = true};
}

static TargetStandInOptions engineTarget(const std::string &id)
{
    return {.id = TargetId(id),
            .service = ServiceId("engine"),
            .failureDomain = FailureDomainId("zone-1"),
            .streams = true,
            .engine = EngineStandInProfile{.acceleratorKind = publishedAcceleratorKind, .layers = {}}};
}

TEST_CASE("a plain request and streams of a plain target and an engine are served whole on the platform")
{
    PlatformFixture fixture;
    fixture.platform().publish(configuration());
    fixture.platform().addTarget(plainTarget("p1"));
    const TargetStandIn &streaming = fixture.platform().addTarget(streamTarget("s1"));
    const TargetStandIn &engine = fixture.platform().addTarget(engineTarget("e1"));
    REQUIRE(fixture.waitUntilServed("/plain/a", startLimit));
    REQUIRE(fixture.waitUntilServed("/engine/a", startLimit));

    const auto plain = fixture.call(0, "/plain/b");
    const auto stream = fixture.call(0, "/stream/b");
    const auto generation = fixture.call(0, "/engine/b");
    REQUIRE(fixture.runUntil([&] { return plain->ended() && stream->ended() && generation->ended(); }, responseLimit));
    CHECK(plain->complete);
    CHECK(plain->status == 200);
    CHECK(plain->body == "served by p1");
    CHECK(stream->complete);
    CHECK(stream->body == streamEvents(streaming.options().eventsPerStream));
    CHECK(generation->complete);
    CHECK(generation->body == streamEvents(engine.options().eventsPerStream));
}

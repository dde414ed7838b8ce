#include "daemon/tests/PlatformFixture.h"
#include "support/BootClock.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Carawaymill;

static constexpr Duration startLimit = 10s;
static constexpr Duration responseLimit = 12s;
/// The platform judges a cut from this time after its beginning on.
static constexpr Duration connectivityPeriod = 3s;

/// A plain service whose requests run at most once, and a service of resumable streams.
static PublishedConfiguration configuration()
{
    return {
        .version = 1,
        .routes = {{.prefix = "/plain/", .service = ServiceId("plain"), .kind = PublishedRouteKind::AtMostOnce},
                   {.prefix = "/stream/", .service = ServiceId("stream"), .kind = PublishedRouteKind::ResumableStream}},
        .services = {{.id = ServiceId("plain")}, {.id = ServiceId("stream")}}};
}

static void addTargets(PlatformStandIn &platform)
{
    for (const char *id : {"p1", "p2", "p3"}) {
        platform.addTarget(
            {.id = TargetId(id), .service = ServiceId("plain"), .failureDomain = FailureDomainId("zone-1")});
    }
    for (const char *id : {"s1", "s2", "s3"}) {
        platform.addTarget({.id = TargetId(id),
                            .service = ServiceId("stream"),
                            .failureDomain = FailureDomainId("zone-1"),
                            .streams = true});
    }
}

namespace {

/// Calls of one host, and how they ended.
struct HostCalls
{
    std::vector<std::shared_ptr<CallerExchange>> plain;
    std::vector<std::shared_ptr<CallerExchange>> streams;

    [[nodiscard]] bool ended() const
    {
        const auto hasEnded = [](const auto &call) { return call->ended(); };
        return std::ranges::all_of(plain, hasEnded) && std::ranges::all_of(streams, hasEnded);
    }

    [[nodiscard]] std::ptrdiff_t served() const
    {
        return std::ranges::count_if(plain, [](const auto &call) { return call->complete && call->status == 200; })
               + std::ranges::count_if(streams, [](const auto &call) {
                     return call->complete && call->body == streamEvents(TargetStandInOptions().eventsPerStream);
                 });
    }

    [[nodiscard]] std::ptrdiff_t offered() const { return std::ssize(plain) + std::ssize(streams); }
};

} // namespace

/// Calls both hosts every 40 ms for the period.
static std::array<HostCalls, 2> callBoth(PlatformFixture &fixture, Duration period)
{
    std::array<HostCalls, 2> hosts;
    for (const TimePoint end = readBootClock() + period; readBootClock() < end;) {
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            hosts[host].plain.push_back(fixture.call(host, "/plain/x"));
            hosts[host].streams.push_back(fixture.call(host, "/stream/x"));
        }
        fixture.runFor(40ms);
    }
    return hosts;
}

/// Guards against a host that refuses callers because it has lost its own links to the targets.
TEST_CASE("a host without links to targets serves first attempts as often as another one and again itself afterwards")
{
    for (const LinkState state : {LinkState::RefusingNew, LinkState::Silent, LinkState::Reset}) {
        CAPTURE(static_cast<int>(state));
        PlatformFixture fixture(2, true);
        fixture.platform().publish(configuration());
        addTargets(fixture.platform());
        REQUIRE(fixture.waitUntilServed("/plain/a", startLimit));
        REQUIRE(fixture.waitUntilServed("/stream/a", startLimit));
        const auto allEnded = [](const std::array<HostCalls, 2> &hosts) {
            return hosts[0].ended() && hosts[1].ended();
        };
        const auto before = callBoth(fixture, 500ms);
        REQUIRE(fixture.runUntil([&] { return allEnded(before); }, responseLimit));

        fixture.links(0).setState(state);
        const auto noticing = callBoth(fixture, connectivityPeriod);
        const auto cut = callBoth(fixture, 2s);
        REQUIRE(fixture.runUntil([&] { return allEnded(noticing) && allEnded(cut); }, responseLimit));
        CHECK(before[0].served() == before[0].offered());
        MESSAGE("served while the cut was not noticed: ", noticing[0].served(), " of ", noticing[0].offered());
        CHECK(cut[1].served() >= cut[1].offered() * 98 / 100);
        // The platform's bound is two thirds of what the others serve.
        CHECK(cut[0].served() >= cut[0].offered() * 95 / 100);

        fixture.links(0).setState(LinkState::Open);
        fixture.runFor(1s);
        const auto after = callBoth(fixture, 1s);
        REQUIRE(fixture.runUntil([&] { return allEnded(after); }, responseLimit));
        CHECK(after[0].served() >= after[0].offered() * 95 / 100);
    }
}

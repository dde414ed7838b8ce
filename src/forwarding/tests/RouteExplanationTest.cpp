#include "forwarding/RouteExplanation.h"
#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Carawaymill;

static RouteQuestion question(const std::string &path)
{
    return {.hostName = "host.example",
            .path = path,
            .organisation = OrganisationId("club"),
            .promptTokens = TokenCount(100),
            .expectedTokens = TokenCount(20)};
}

static RouteExplanationResult ask(const ForwarderFixture &fixture, const RouteQuestion &asked)
{
    return fixture.forwarder.explainRoute(asked, fixture.fresh, fixture.router, fixture.now);
}

static RouteExplanation explain(const ForwarderFixture &fixture, const std::string &path)
{
    return std::get<RouteExplanation>(ask(fixture, question(path)));
}

/// More engines than the router considers for one request, so that it draws random numbers.
static ForwarderFixture manyEngines()
{
    ForwarderFixture fixture;
    for (int number = 3; number < 20; ++number) {
        const DirectoryTarget engine =
            ForwarderFixture::engine("a" + std::to_string(number), {LayerIndex(0), LayerIndex(4)});
        fixture.forwarder.targetListed(engine, fixture.router);
    }
    return fixture;
}

/// Opens streams until the first one has to wait for capacity; returns the id of the next request.
static std::uint64_t fillCaches(ForwarderFixture &fixture)
{
    std::uint64_t id = 1;
    while (has<ForwardToTarget>(fixture.handle(ForwarderFixture::request(id, "/stream/x")))) {
        ++id;
    }
    return id + 1;
}

TEST_CASE("the explanation names the targets that the next request gets")
{
    // Guards against an explanation that follows other rules, or draws other random numbers, than the router.
    ForwarderFixture fixture = manyEngines();
    for (std::uint64_t id = 1; id < 40; ++id) {
        for (const std::string path : {"/stream/x", "/read/x"}) {
            const RouteExplanation explained = explain(fixture, path);
            const auto actions = fixture.handle(ForwarderFixture::request(2 * id + (path == "/read/x" ? 1 : 0), path));
            REQUIRE(has<ForwardToTarget>(actions) == (explained.outcome == RouteOutcome::Sent));
            if (has<ForwardToTarget>(actions)) {
                CHECK(only<ForwardToTarget>(actions).target == explained.path.front().target);
            }
        }
    }
}

TEST_CASE("queries change nothing that later requests depend on")
{
    // Guards against queries that draw from the router's random numbers or take a place in the queue.
    ForwarderFixture asked = manyEngines();
    ForwarderFixture other = manyEngines();
    for (std::uint64_t id = 1; id < 60; ++id) {
        for (const std::string path : {"/stream/x", "/read/x", "/nowhere/x"}) {
            (void)ask(asked, question(path));
        }
        const auto request = ForwarderFixture::request(id, id % 2 == 0 ? "/stream/x" : "/read/x");
        const auto actions = asked.handle(request);
        const auto expected = other.handle(request);
        REQUIRE(has<ForwardToTarget>(actions) == has<ForwardToTarget>(expected));
        if (has<ForwardToTarget>(actions)) {
            CHECK(only<ForwardToTarget>(actions).target == only<ForwardToTarget>(expected).target);
        }
    }
    CHECK(asked.forwarder.queue().size() == other.forwarder.queue().size());
    CHECK(asked.forwarder.queue().refusals() == other.forwarder.queue().refusals());
}

TEST_CASE("the explanation shows the chain, the load on it and the next best targets")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.router.setPace(first.target, 1.5);
    const RouteExplanation explained = explain(fixture, "/stream/x");
    CHECK(explained.service == ServiceId("scribe"));
    CHECK(explained.organisation == OrganisationId("club"));
    REQUIRE(explained.path.size() == 2);
    CHECK(explained.path[0].layers == LayerRange{LayerIndex(0), LayerIndex(4)});
    REQUIRE(explained.path[0].alternatives.size() == 1);
    const auto &stages = explained.path;
    const auto loaded = std::ranges::find(stages, first.path[1].target, &ExplainedStage::target);
    REQUIRE(loaded != stages.end());
    CHECK(loaded->openLayers == 4);
    CHECK(loaded->unreadLayerTokens == 400);
    // 110 tokens of each of the two requests, of 500.
    CHECK(loaded->cacheOccupancy == doctest::Approx(0.44));
}

TEST_CASE("a request that would wait is explained with its place, and one that the full queue refuses as refused")
{
    ForwarderFixture fixture;
    std::uint64_t id = fillCaches(fixture);
    const RouteExplanation queued = explain(fixture, "/stream/x");
    CHECK(queued.outcome == RouteOutcome::Queued);
    CHECK(queued.waitsFor == RouteWait::CacheCapacity);
    CHECK(queued.ahead == 1);
    while (!has<RefuseCaller>(fixture.handle(ForwarderFixture::request(id, "/stream/x")))) {
        REQUIRE(++id < 100);
    }
    const RouteExplanation refused = explain(fixture, "/stream/x");
    CHECK(refused.outcome == RouteOutcome::Refused);
    CHECK(refused.refusal == ForwardFailure::Overloaded);
    CHECK(std::ranges::any_of(
        refused.excluded, [](const ExcludedTarget &target) { return target.reason == TargetExclusion::CacheFull; }));
}

TEST_CASE("a long prompt that waits for others to be read is explained as held, with the longest wait")
{
    // Guards against an explanation that reports the penalty for unread prompts but says that the request is sent.
    ForwarderFixture fixture({}, false);
    fixture.loadState(800'000);
    for (const char *id : {"a1", "a2", "b1", "b2"}) {
        fixture.forwarder.targetUnlisted(TargetId(id), fixture.router);
    }
    fixture.forwarder.targetListed(ForwarderFixture::engine("a3", {LayerIndex(0), LayerIndex(8)}), fixture.router);
    ForwardRequested request = ForwarderFixture::request(1, "/stream/x");
    request.request.promptTokens = TokenCount(40'000);
    REQUIRE(has<ForwardToTarget>(fixture.handle(request)));
    RouteQuestion asked = question("/stream/x");
    asked.promptTokens = TokenCount(40'000);
    const auto held = std::get<RouteExplanation>(ask(fixture, asked));
    CHECK(held.outcome == RouteOutcome::Held);
    CHECK(held.waitsFor == RouteWait::UnreadPrompts);
    CHECK(held.expectedWait == 125ms);
    request.id = RequestId(2);
    CHECK(!has<ForwardToTarget>(fixture.handle(request)));
    CHECK(explain(fixture, "/stream/x").outcome == RouteOutcome::Sent);
}

TEST_CASE("failures are typed, and name the route, the organisation or the first layer without a holder")
{
    ForwarderFixture fixture;
    CHECK(std::holds_alternative<RouteMissing>(ask(fixture, question("/nowhere/x"))));
    RouteQuestion stranger = question("/stream/x");
    stranger.organisation = OrganisationId("stranger");
    CHECK(std::get<OrganisationMissing>(ask(fixture, stranger)).organisation == OrganisationId("stranger"));
    stranger.organisation.reset();
    CHECK(std::get<RouteExplanation>(ask(fixture, stranger)).refusal == ForwardFailure::KeyUnknown);
    DirectoryTarget leaving = ForwarderFixture::engine("a2", {LayerIndex(4), LayerIndex(8)});
    leaving.leaving = true;
    fixture.forwarder.targetListed(leaving, fixture.router);
    fixture.forwarder.targetUnlisted(TargetId("b2"), fixture.router);
    const auto missing = std::get<PathMissing>(ask(fixture, question("/stream/x")));
    CHECK(missing.layer == LayerIndex(4));
    REQUIRE(missing.excluded.size() == 1);
    CHECK(missing.excluded[0].reason == TargetExclusion::Leaving);
    const ForwarderFixture starting({}, false);
    CHECK(std::holds_alternative<RouteTableMissing>(ask(starting, question("/stream/x"))));
}

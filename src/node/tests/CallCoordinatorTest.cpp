#include "NodeSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Carawaymill;

static void addFleet(NodeSimulation &world)
{
    world.addEngine("engine-1", {LayerIndex(0), LayerIndex(6)}, "fukuoka");
    world.addEngine("engine-2", {LayerIndex(6), LayerIndex(12)}, "fukuoka");
    world.addEngine("engine-3", {LayerIndex(0), LayerIndex(7)}, "kumamoto");
    world.addEngine("engine-4", {LayerIndex(5), LayerIndex(12)}, "kumamoto");
    world.addService("billing-1");
    world.addService("billing-2");
    world.seedCatalogue();
    // Long enough for membership to converge and for every ledger shard to get an owner.
    world.run(5s);
}

static nlohmann::json bodyOf(const CallerView &view)
{
    return nlohmann::json::parse(view.response->body);
}

static const CallerView &finished(NodeSimulation &world, std::size_t call)
{
    REQUIRE(world.runUntil([&] { return world.view(call).answered(); }, 120s));
    return world.view(call);
}

static std::uint64_t billedJobs(NodeSimulation &world, const std::string &organisation)
{
    const std::size_t call = world.operate(
        "entry-1", {.method = "GET", .target = "/administration/v1/usage/" + organisation, .headers = {}, .body = {}});
    std::uint64_t jobs = 0;
    const nlohmann::json body = bodyOf(finished(world, call));
    for (const auto &[period, usage] : body.at("periods").items()) {
        jobs += usage.at("jobs").get<std::uint64_t>();
    }
    return jobs;
}

TEST_CASE("a call with an idempotency key runs once whichever hosts receive its repeats")
{
    NodeSimulation world({});
    addFleet(world);
    const std::size_t first = world.callService("entry-1", "booking", "POST", "{\"teacher\":7}", "key-1");
    CHECK(finished(world, first).response->status == 200);
    // Wait for the outcome to be recorded; before that, a repeat would get the problem "key-in-progress".
    world.run(1s);
    for (const std::string &host : world.hosts()) {
        const std::size_t repeat = world.callService(host, "booking", "POST", "{\"teacher\":7}", "key-1");
        CHECK(finished(world, repeat).response->status == 200);
        CHECK(world.view(repeat).response->body == world.view(first).response->body);
    }
    CHECK(world.serviceRuns().size() == 1);
}

TEST_CASE("a call that two hosts receive at once with the same key runs once")
{
    NodeSimulation world({});
    addFleet(world);
    const std::size_t first = world.callService("entry-1", "booking", "POST", "{}", "key-1");
    const std::size_t second = world.callService("entry-2", "booking", "POST", "{}", "key-1");
    finished(world, first);
    finished(world, second);
    CHECK(world.serviceRuns().size() == 1);
}

TEST_CASE("a key reused with another body is rejected and not run")
{
    NodeSimulation world({});
    addFleet(world);
    finished(world, world.callService("entry-1", "booking", "POST", "{\"teacher\":7}", "key-1"));
    const std::size_t other = world.callService("entry-2", "booking", "POST", "{\"teacher\":8}", "key-1");
    CHECK(bodyOf(finished(world, other)).at("type") == "urn:carawaymill:problem:key-reused-with-other-body");
    CHECK(bodyOf(world.view(other)).at("ran") == "no");
    CHECK(world.serviceRuns().size() == 1);
}

TEST_CASE("a call whose response was lost has an unknown outcome and its repeat is not run")
{
    NodeSimulation world({});
    addFleet(world);
    world.loseNextServiceResponses("billing-1", 1);
    world.loseNextServiceResponses("billing-2", 1);
    const std::size_t first = world.callService("entry-1", "booking", "POST", "{}", "key-1");
    CHECK(bodyOf(finished(world, first)).at("ran") == "unknown");
    world.run(1s);
    const std::size_t repeat = world.callService("entry-2", "booking", "POST", "{}", "key-1");
    CHECK(bodyOf(finished(world, repeat)).at("ran") == "unknown");
    CHECK(world.serviceRuns().size() == 1);
}

TEST_CASE("while the key-value service is down calls with a key are rejected at once and idempotent calls are answered")
{
    NodeSimulation world({});
    addFleet(world);
    world.store().faults().outage = true;
    world.run(1s);
    const std::size_t booking = world.callService("entry-1", "booking", "POST", "{}", "key-1");
    CHECK(bodyOf(finished(world, booking)).at("ran") == "no");
    CHECK(*world.view(booking).answeredAt - world.view(booking).sentAt < 3s);
    CHECK_FALSE(headerValue(world.view(booking).response->headers, "Retry-After").empty());
    const std::size_t check = world.callService("entry-1", "booking", "GET", "");
    CHECK(finished(world, check).response->status == 200);
    CHECK(world.serviceRuns().size() == 1);
}

TEST_CASE("the key stays claimed if the claimant dies between dispatch and response")
{
    NodeSimulation world({});
    addFleet(world);
    const std::size_t first = world.callService("entry-1", "booking", "POST", "{}", "key-1");
    REQUIRE(world.runUntil([&] { return !world.serviceRuns().empty(); }, 5s));
    world.killHost("entry-1");
    CHECK(world.view(first).cut);
    const std::size_t repeat = world.callService("entry-2", "booking", "POST", "{}", "key-1");
    finished(world, repeat);
    CHECK(bodyOf(world.view(repeat)).at("ran") != "no");
    world.run(60s);
    finished(world, world.callService("entry-3", "booking", "POST", "{}", "key-1"));
    CHECK(world.serviceRuns().size() == 1);
}

TEST_CASE("each answered job is billed once across a host crash and a key-value service outage")
{
    NodeSimulation world({});
    addFleet(world);
    std::vector<std::size_t> calls;
    calls.reserve(24);
    for (int count = 0; count < 24; ++count) {
        calls.push_back(world.complete("entry-" + std::to_string(count % 4 + 1), "launch " + std::to_string(count)));
    }
    for (const std::size_t call : calls) {
        CHECK(finished(world, call).response->status == 200);
    }
    world.store().faults().outage = true;
    const std::size_t during = world.complete("entry-1", "in the outage");
    CHECK(finished(world, during).response->status == 200);
    world.run(2s);
    world.killHost("entry-1");
    world.run(30s);
    world.store().faults().outage = false;
    world.startHost("entry-1");
    world.run(60s);
    CHECK(billedJobs(world, "thermal-ridge") == 25);
}

TEST_CASE("a request over the organisation's limit is rejected at once and not run")
{
    NodeSimulation world({});
    addFleet(world);
    world.seed(OrganisationRecord{.id = OrganisationId("thermal-ridge"),
                                  .tokenHashes = {"7a4a0fc7ac2eb4ed2dc9ac7ce2d2b4d9d2dc4d2e"},
                                  .limits = {.requestsPerSecond = 0, .tokensPerSecond = 0, .jobsInProgress = 0}});
    world.seed(EntryRecord{.id = EntryId("handover"),
                           .owner = OrganisationId("hibana"),
                           .jobClass = JobClass::Critical,
                           .limits = {.requestsPerSecond = 1, .tokensPerSecond = 1, .jobsInProgress = 1},
                           .backEnd = ModelEntry{.model = ModelId("glider"), .version = "1", .adapter = ""}});
    world.run(5s);
    const nlohmann::json body = {{"model", "handover"}, {"prompt", "a note"}, {"max_tokens", 500}};
    const std::size_t call = world.call("entry-1",
                                        {.method = "POST",
                                         .target = "/v1/completions",
                                         .headers = {{"Authorization", "Bearer hibana-token"}},
                                         .body = body.dump()});
    CHECK(bodyOf(finished(world, call)).at("type") == "urn:carawaymill:problem:limit-reached");
    CHECK(bodyOf(world.view(call)).at("ran") == "no");
    const Duration refusedAfter = *world.view(call).answeredAt - world.view(call).sentAt;
    CHECK(refusedAfter.count() == 0);
    CHECK(world.layerRuns().empty());
}

TEST_CASE("a request that crashes its targets crashes at most two and concurrent requests are answered")
{
    NodeSimulation world({});
    addFleet(world);
    std::vector<std::size_t> concurrentCalls;
    concurrentCalls.reserve(8);
    const std::size_t crashingCall = world.complete("entry-1", std::string("a ") + NodeSimulation::poison + " prompt");
    for (int count = 0; count < 8; ++count) {
        concurrentCalls.push_back(
            world.complete("entry-" + std::to_string(count % 4 + 1), "launch " + std::to_string(count)));
    }
    for (const std::size_t call : concurrentCalls) {
        CHECK(finished(world, call).response->status == 200);
    }
    finished(world, crashingCall);
    for (int repeat = 0; repeat < 4; ++repeat) {
        const std::size_t again = world.complete("entry-" + std::to_string(repeat + 1),
                                                 std::string("a ") + NodeSimulation::poison + " prompt");
        CHECK(finished(world, again).response->status != 200);
        world.run(5s);
    }
    CHECK(world.targetCrashes() <= 2);
}

TEST_CASE("jobs on a target that crashes by itself are answered and not condemned")
{
    NodeSimulation world({});
    addFleet(world);
    std::vector<std::size_t> calls;
    calls.reserve(8);
    for (int count = 0; count < 8; ++count) {
        calls.push_back(world.complete("entry-" + std::to_string(count % 4 + 1), "launch " + std::to_string(count)));
    }
    world.run(4ms);
    world.killTarget("engine-1");
    for (const std::size_t call : calls) {
        CHECK(finished(world, call).response->status == 200);
    }
}

TEST_CASE("a lone request whose targets crash by themselves is answered and not condemned")
{
    NodeSimulation world({});
    addFleet(world);
    const std::size_t call = world.complete("entry-1", "a lone launch");
    REQUIRE(world.runUntil([&] { return !world.layerRuns().empty(); }, 1s));
    world.killTarget("engine-1");
    world.killTarget("engine-2");
    CHECK(finished(world, call).response->status == 200);
}

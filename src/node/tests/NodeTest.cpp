#include "NodeSimulation.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const std::string launchLog = "0914 aerotow VH-GOA tuggie Ines release 600 metres circuit landing runway 23";

static void addFleet(NodeSimulation &world)
{
    world.addEngine("engine-1", {LayerIndex(0), LayerIndex(6)}, "fukuoka");
    world.addEngine("engine-2", {LayerIndex(6), LayerIndex(12)}, "fukuoka");
    world.addEngine("engine-3", {LayerIndex(0), LayerIndex(7)}, "kumamoto");
    world.addEngine("engine-4", {LayerIndex(5), LayerIndex(12)}, "kumamoto");
    world.addService("billing-1");
    world.addService("billing-2");
    world.seedCatalogue();
}

static std::string answerText(const CallerView &view)
{
    return nlohmann::json::parse(view.response->body).at("choices").at(0).at("text").get<std::string>();
}

static std::string problemType(const CallerView &view)
{
    return nlohmann::json::parse(view.response->body).at("type").get<std::string>();
}

TEST_CASE("a request at any host gets the complete answer of the pipeline")
{
    NodeSimulation world({});
    addFleet(world);
    world.run(2s);
    for (const std::string &host : world.hosts()) {
        const std::size_t call = world.complete(host, launchLog);
        REQUIRE(world.runUntil([&] { return world.view(call).answered(); }, 10s));
        REQUIRE(world.view(call).response->status == 200);
        CHECK(answerText(world.view(call)) == NodeSimulation::expectedAnswer(launchLog));
    }
}

TEST_CASE("a completed stream ends with its token counts and the done event")
{
    NodeSimulation world({});
    addFleet(world);
    world.run(2s);
    const std::size_t call = world.complete("entry-1", launchLog, true);
    REQUIRE(world.runUntil([&] { return world.view(call).answered(); }, 10s));
    CHECK(world.view(call).streamed.ends_with("data: [DONE]\n\n"));
    CHECK(world.view(call).streamed.find("\"completion_tokens\":") != std::string::npos);
}

TEST_CASE("answers are complete although engines crash while generating them")
{
    NodeSimulation world({});
    addFleet(world);
    world.run(2s);
    std::vector<std::size_t> calls;
    calls.reserve(20);
    for (int count = 0; count < 20; ++count) {
        calls.push_back(
            world.complete("entry-" + std::to_string(count % 4 + 1), launchLog + " " + std::to_string(count)));
    }
    world.run(10ms);
    world.killTarget("engine-1");
    world.run(5ms);
    world.killTarget("engine-4");
    for (const std::size_t call : calls) {
        REQUIRE(world.runUntil([&] { return world.view(call).answered(); }, 20s));
        REQUIRE(world.view(call).response->status == 200);
        CHECK(answerText(world.view(call)) == NodeSimulation::expectedAnswer(launchLog + " " + std::to_string(call)));
    }
}

TEST_CASE("unauthorised and invalid requests are rejected and not run")
{
    NodeSimulation world({});
    addFleet(world);
    world.run(2s);
    const auto refusal = [&](const std::string &token, const nlohmann::json &body) {
        HttpRequest request{.method = "POST", .target = "/v1/completions", .headers = {}, .body = body.dump()};
        request.headers.emplace_back("Authorization", "Bearer " + token);
        const std::size_t call = world.call("entry-1", request);
        REQUIRE(world.runUntil([&] { return world.view(call).answered(); }, 1s));
        CHECK(nlohmann::json::parse(world.view(call).response->body).at("ran") == "no");
        return problemType(world.view(call));
    };
    const nlohmann::json validBody = {{"model", "flight-summary"}, {"prompt", launchLog}};
    CHECK(refusal("wrong", validBody) == "urn:carawaymill:problem:unauthenticated");
    CHECK(refusal("hibana-token", validBody) == "urn:carawaymill:problem:forbidden");
    CHECK(refusal("ridge-token", {{"model", "nothing"}, {"prompt", "x"}}) == "urn:carawaymill:problem:entry-unknown");
    CHECK(refusal("ridge-token", {{"model", "flight-summary"}}) == "urn:carawaymill:problem:invalid-field");
    CHECK(world.layerRuns().empty());
}

TEST_CASE("a draining host rejects new requests and completes those in progress")
{
    NodeSimulation world({});
    addFleet(world);
    world.run(2s);
    const std::size_t before = world.complete("entry-1", launchLog);
    world.run(5ms);
    world.drainHost("entry-1");
    const std::size_t after = world.complete("entry-1", launchLog);
    REQUIRE(world.runUntil([&] { return world.view(before).answered() && world.view(after).answered(); }, 10s));
    CHECK(answerText(world.view(before)) == NodeSimulation::expectedAnswer(launchLog));
    CHECK(problemType(world.view(after)) == "urn:carawaymill:problem:draining");
    // A host counts as drained only once its bills are recorded as well.
    CHECK(world.runUntil([&] { return world.node("entry-1").drained(); }, 10s));
}

TEST_CASE("a request is removed when its caller disconnects")
{
    NodeSimulation world({});
    addFleet(world);
    world.run(2s);
    const std::size_t call = world.complete("entry-1", launchLog);
    world.run(5ms);
    world.disconnectCaller(call);
    CHECK(world.node("entry-1").requestsInProgress() == 0);
}

TEST_CASE("empty engines are assigned layers and the layers of a lost failure domain move to the remaining engines")
{
    NodeSimulation world({});
    for (int number = 1; number <= 6; ++number) {
        world.addEngine("engine-" + std::to_string(number), {}, number <= 3 ? "fukuoka" : "kumamoto");
    }
    world.addService("billing-1");
    world.seedCatalogue();
    const auto isAnswered = [&] {
        const std::size_t call = world.complete("entry-2", launchLog);
        return world.runUntil([&] { return world.view(call).answered(); }, 60s)
               && world.view(call).response->status == 200
               && answerText(world.view(call)) == NodeSimulation::expectedAnswer(launchLog);
    };
    world.run(30s);
    CHECK(isAnswered());
    for (int number = 1; number <= 3; ++number) {
        world.killTarget("engine-" + std::to_string(number));
    }
    world.run(30s);
    CHECK(isAnswered());
}

TEST_CASE("another host takes over the placement scope when its holder dies")
{
    NodeSimulation world({});
    for (int number = 1; number <= 4; ++number) {
        world.addEngine("engine-" + std::to_string(number), {}, "fukuoka");
    }
    world.addService("billing-1");
    world.seedCatalogue();
    world.run(30s);
    for (const std::string &host : world.hosts()) {
        if (world.node(host).placementRegionsHeld(world.now()) > 0) {
            world.killHost(host);
            break;
        }
    }
    world.killTarget("engine-1");
    world.run(5s);
    world.startTarget("engine-1");
    world.run(60s);
    std::size_t held = 0;
    for (const std::string &host : world.hosts()) {
        held += world.isUp(host) ? world.node(host).placementRegionsHeld(world.now()) : 0;
    }
    CHECK(held == 1);
    const std::string aliveHost = world.isUp("entry-1") ? "entry-1" : "entry-2";
    const std::size_t call = world.complete(aliveHost, launchLog);
    REQUIRE(world.runUntil([&] { return world.view(call).answered(); }, 60s));
    CHECK(world.view(call).response->status == 200);
}

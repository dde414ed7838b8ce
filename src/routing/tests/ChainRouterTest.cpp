#include "routing/ChainRouter.h"
#include "routing/CheapestChain.h"

#include <doctest/doctest.h>

#include <map>

using namespace Carawaymill;

static LayerRange range(std::uint32_t first, std::uint32_t end)
{
    return {LayerIndex(first), LayerIndex(end)};
}

static TargetSpeed speed(double layerTokensPerSecond)
{
    return {.layerTokensPerSecond = layerTokensPerSecond, .linkBytesPerSecond = 1e9, .linkDelay = 200us};
}

static void add(ChainRouter &router, const std::string &id, LayerRange layers, double layerTokensPerSecond = 1000)
{
    const TargetId target(id);
    router.updateTarget(target, speed(layerTokensPerSecond), {{target, ModelId("glider"), "1", "", layers}});
}

static RouteRequest request(std::uint32_t layers)
{
    return {.job = JobId("job-1"),
            .model = ModelId("glider"),
            .version = "1",
            .layers = layers,
            .promptTokens = TokenCount(50),
            .activationBytes = ByteCount(8192)};
}

static RoutedChain routed(ChainRouter &router, const RouteRequest &routeRequest)
{
    auto result = router.route(routeRequest, TimePoint());
    REQUIRE(std::holds_alternative<RoutedChain>(result));
    return std::get<RoutedChain>(result);
}

TEST_CASE("a chain over overlapping ranges with different boundaries has no gap and no overlap")
{
    ChainRouter router({.seed = 1});
    add(router, "a", range(0, 7));
    add(router, "b", range(3, 9));
    add(router, "c", range(8, 12));
    CHECK(covers(routed(router, request(12)).chain, 12));
}

TEST_CASE("routing over random holdings covers the model or reports the first layer that no target holds")
{
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        Random random(seed);
        ChainRouter router({.seed = seed, .candidatesPerSegment = 2});
        const auto layers = static_cast<std::uint32_t>(1 + random.below(20));
        std::vector<bool> held(layers, false);
        const std::uint64_t targets = 1 + random.below(15);
        for (std::uint64_t i = 0; i < targets; ++i) {
            const auto first = static_cast<std::uint32_t>(random.below(layers));
            const auto end = static_cast<std::uint32_t>(first + 1 + random.below(layers - first));
            add(router, "t" + std::to_string(i), range(first, end), 1.0 + static_cast<double>(random.below(1000)));
            std::fill(held.begin() + first, held.begin() + end, true);
        }
        const auto gap = std::find(held.begin(), held.end(), false);
        auto result = router.route(request(layers), TimePoint());
        CAPTURE(seed);
        if (gap == held.end()) {
            REQUIRE(std::holds_alternative<RoutedChain>(result));
            CHECK(covers(std::get<RoutedChain>(result).chain, layers));
        } else {
            REQUIRE(std::holds_alternative<NoChainForModel>(result));
            CHECK(std::get<NoChainForModel>(result).firstUncoveredLayer.value() == gap - held.begin());
        }
    }
}

TEST_CASE("a target that is leaving or suspect or dead or removed or excluded gets no new work while another holds the "
          "layers")
{
    ChainRouter router({.seed = 1});
    add(router, "fast", range(0, 4), 1e6);
    add(router, "slow", range(0, 4), 1e3);
    RouteRequest routeRequest = request(4);
    SUBCASE("leaving")
    {
        router.setAvailability(TargetId("fast"), TargetAvailability::Leaving);
    }
    SUBCASE("dead")
    {
        router.setAvailability(TargetId("fast"), TargetAvailability::Dead);
    }
    SUBCASE("removed")
    {
        router.removeTarget(TargetId("fast"));
    }
    SUBCASE("excluded")
    {
        routeRequest.excludedTargets = {TargetId("fast")};
    }
    SUBCASE("suspect while another holds the layers")
    {
        router.setAvailability(TargetId("fast"), TargetAvailability::Suspect);
    }
    CHECK(routed(router, routeRequest).chain.stages.front().target == TargetId("slow"));
}

TEST_CASE("adjoining ranges that a target loaded separately are run in one stage")
{
    ChainRouter router({.seed = 1});
    const TargetId target("a");
    router.updateTarget(
        target,
        speed(1000),
        {{target, ModelId("glider"), "1", "", range(2, 4)}, {target, ModelId("glider"), "1", "", range(0, 2)}});
    CHECK(routed(router, request(4)).chain.stages.size() == 1);
}

TEST_CASE("a suspect target is used for layers that no other target holds")
{
    ChainRouter router({.seed = 1});
    add(router, "a", range(0, 4));
    router.setAvailability(TargetId("a"), TargetAvailability::Suspect);
    CHECK(covers(routed(router, request(4)).chain, 4));
}

TEST_CASE("a failed stage is replaced by several stages that cover exactly its layers")
{
    ChainRouter router({.seed = 1});
    add(router, "dead", range(4, 8));
    add(router, "b", range(2, 6));
    add(router, "c", range(5, 9));
    RouteRequest routeRequest = request(12);
    routeRequest.excludedTargets = {TargetId("dead")};
    auto result = router.replaceStage(routeRequest, range(4, 8), TimePoint());
    REQUIRE(std::holds_alternative<RoutedStages>(result));
    const auto &stages = std::get<RoutedStages>(result).stages;
    REQUIRE(stages.size() == 2);
    CHECK(stages.front().layers.first == LayerIndex(4));
    CHECK(stages.front().layers.end == stages.back().layers.first);
    CHECK(stages.back().layers.end == LayerIndex(8));
}

TEST_CASE("streams spread evenly over equal targets without load reports")
{
    ChainRouter router({.seed = 1});
    for (int i = 0; i < 10; ++i) {
        add(router, "t" + std::to_string(i), range(0, 4));
    }
    std::map<TargetId, int> streams;
    for (int i = 0; i < 100; ++i) {
        const ChainStage stage = routed(router, request(4)).chain.stages.front();
        router.stageStarted(stage);
        ++streams[stage.target];
    }
    for (const auto &[target, count] : streams) {
        CHECK(count <= 13);
    }
    CHECK(streams.size() == 10);
}

TEST_CASE("hosts with the same delayed load reports do not all choose the same target")
{
    std::map<TargetId, int> chosen;
    for (std::uint64_t host = 0; host < 40; ++host) {
        ChainRouter router({.seed = host});
        for (int i = 0; i < 10; ++i) {
            add(router, "t" + std::to_string(i), range(0, 4));
            const auto running = static_cast<std::uint32_t>(i == 0 ? 0 : 5);
            router.applyLoadReport(TargetId("t" + std::to_string(i)), {.runningSteps = running}, TimePoint());
        }
        ++chosen[routed(router, request(4)).chain.stages.front().target];
    }
    CHECK(chosen[TargetId("t0")] < 20);
}

TEST_CASE("a target with the prompt in its cache is preferred over equally fast ones until it has many open streams")
{
    ChainRouter router({.seed = 1, .candidatesPerSegment = 2});
    for (int i = 0; i < 20; ++i) {
        add(router, "t" + std::to_string(i), range(0, 4));
    }
    RouteRequest routeRequest = request(4);
    routeRequest.promptTokens = TokenCount(500);
    routeRequest.prefixes = {PrefixFingerprint(7)};
    router.prefixes().assumeCached(TargetId("t9"), {{PrefixFingerprint(7), TokenCount(400)}}, TimePoint());
    const RoutedChain first = routed(router, routeRequest);
    CHECK(first.chain.stages.front().target == TargetId("t9"));
    CHECK(first.decision.stages.front().cachedPrefixTokens == TokenCount(400));
    for (int i = 0; i < 50; ++i) {
        router.stageStarted(first.chain.stages.front());
    }
    CHECK(routed(router, routeRequest).chain.stages.front().target != TargetId("t9"));
}

TEST_CASE("an isolated job is routed to a target without other streams even if that target is slower")
{
    ChainRouter router({.seed = 1, .candidatesPerSegment = 2});
    for (int i = 0; i < 20; ++i) {
        const std::string id = "t" + std::to_string(i);
        add(router, id, range(0, 4), i == 7 ? 100 : 1000);
        if (i != 7) {
            router.stageStarted({.target = TargetId(id), .layers = range(0, 1)});
        }
    }
    RouteRequest routeRequest = request(4);
    routeRequest.isolated = true;
    CHECK(routed(router, routeRequest).chain.stages.front().target == TargetId("t7"));
}

TEST_CASE("a target with slow measured steps gets no new work until the slowdown has decayed")
{
    ChainRouter router({.seed = 1});
    add(router, "a", range(0, 4), 1200);
    add(router, "b", range(0, 4), 1000);
    const ChainStage stage = routed(router, request(4)).chain.stages.front();
    CHECK(stage.target == TargetId("a"));
    for (int i = 0; i < 20; ++i) {
        router.recordStepDuration(
            stage, {.tokens = TokenCount(1), .activationBytes = ByteCount(8192)}, 1s, TimePoint(1s));
    }
    auto degraded = router.route(request(4), TimePoint(1s));
    CHECK(std::get<RoutedChain>(degraded).chain.stages.front().target == TargetId("b"));
    auto recovered = router.route(request(4), TimePoint(200s));
    CHECK(std::get<RoutedChain>(recovered).chain.stages.front().target == TargetId("a"));
}

TEST_CASE("the log line of a decision names its alternatives")
{
    ChainRouter router({.seed = 1});
    add(router, "a", range(0, 4), 2000);
    add(router, "b", range(0, 4), 1000);
    const std::string line = describe(routed(router, request(4)).decision);
    CHECK(line.starts_with("Routing: job job-1 model glider chain a[0,4)"));
    CHECK(line.find("(not b ") != std::string::npos);
}

TEST_CASE("a chain crosses to another failure domain only if the time saved exceeds the crossing cost")
{
    const auto range = [](std::uint32_t first, std::uint32_t end) {
        return LayerRange{LayerIndex(first), LayerIndex(end)};
    };
    // Domain 1 is twice as fast from layer 4 on.
    const std::vector<StageCandidate> candidates = {{.layers = range(0, 4), .secondsPerLayer = 1},
                                                    {.layers = range(4, 8), .secondsPerLayer = 2},
                                                    {.layers = range(4, 8), .secondsPerLayer = 1, .domain = 1}};
    const auto last = [&](double crossing) {
        return cheapestChain(range(0, 8), candidates, {.secondsBetweenStages = crossing}).back().candidate;
    };
    CHECK(last(3) == 2);
    CHECK(last(5) == 1);
}

TEST_CASE("no candidate is used for two stages of a chain")
{
    const auto range = [](std::uint32_t first, std::uint32_t end) {
        return LayerRange{LayerIndex(first), LayerIndex(end)};
    };
    const std::vector<StageCandidate> candidates = {{.layers = range(0, 8), .secondsPerLayer = 10},
                                                    {.layers = range(2, 4), .secondsPerLayer = 1}};
    const std::vector<SelectedStage> stages = cheapestChain(range(0, 8), candidates);
    REQUIRE(stages.size() == 1);
    CHECK(stages.front().candidate == 0);
    CHECK(stages.front().layers == range(0, 8));
}

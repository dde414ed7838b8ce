#include "placement/PlacementPlanner.h"
#include "placement/MaximumFlow.h"
#include "support/Random.h"

#include <doctest/doctest.h>

#include <set>

using namespace Carawaymill;

static LayerRange range(std::uint32_t first, std::uint32_t end)
{
    return {LayerIndex(first), LayerIndex(end)};
}

static PlacementDemand demand(std::uint32_t layers, const std::string &model = "glider")
{
    return {.model = ModelId(model),
            .version = "1",
            .layers = layers,
            .bytesPerLayer = ByteCount(100),
            .activationBytes = ByteCount(10)};
}

/// A target with memory for `layers` layers, in one of three failure domains.
static PlacementTarget target(std::size_t number, std::uint64_t layers, double speed = 1000)
{
    return {.id = TargetId("t" + std::to_string(100 + number)),
            .layerMemory = ByteCount(layers * 100),
            .layerTokensPerSecond = speed,
            .linkBytesPerSecond = 1e9,
            .failureDomain = FailureDomainId("d" + std::to_string(number % 3))};
}

static std::vector<PlacementTarget> mixedFleet(std::size_t count)
{
    std::vector<PlacementTarget> targets;
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(target(i, 4 + 3 * (i % 7), 500.0 * static_cast<double>(1U << (i % 7))));
    }
    return targets;
}

static std::vector<PlacementTarget> without(std::vector<PlacementTarget> targets, const FailureDomainId &domain)
{
    std::erase_if(targets, [&](const PlacementTarget &each) { return each.failureDomain == domain; });
    return targets;
}

TEST_CASE("the throughput bound is that of the minimum cut")
{
    const FlowTarget wide{.layerTokensPerSecond = 100, .linkTokensPerSecond = 1000, .layers = range(0, 10)};
    CHECK(throughputBound({wide}, 10) == doctest::Approx(10).epsilon(0.001));
    const FlowTarget end{.layerTokensPerSecond = 1000, .linkTokensPerSecond = 1000, .layers = range(5, 10)};
    CHECK(throughputBound({wide, end}, 10) == doctest::Approx(20).epsilon(0.001));
    const FlowTarget slowLink{.layerTokensPerSecond = 1000, .linkTokensPerSecond = 4, .layers = range(5, 10)};
    CHECK(throughputBound({wide, slowLink}, 10) == doctest::Approx(12).epsilon(0.001));
    CHECK(throughputBound({end}, 10) == 0);
}

TEST_CASE("a plan reaches most of the hardware bound also after the loss of each failure domain")
{
    const std::vector<PlacementTarget> targets = mixedFleet(42);
    const PlacementDemand modelDemand = demand(48);
    const PlacementPlan plan = PlacementPlanner({}).plan(targets, {modelDemand}, {});
    CHECK(throughputBound(targets, modelDemand, plan) > 0.9 * hardwareBound(targets, modelDemand));
    for (const char *domain : {"d0", "d1", "d2"}) {
        CAPTURE(domain);
        const auto remaining = without(targets, FailureDomainId(domain));
        CHECK(throughputBound(remaining, modelDemand, plan) > 0.6 * hardwareBound(remaining, modelDemand));
    }
}

TEST_CASE("a fleet with memory for exactly one copy of the model holds all of its layers")
{
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        std::vector<PlacementTarget> targets;
        std::uint32_t layers = 0;
        for (std::size_t i = 0; i < 2 + random.below(8); ++i) {
            const std::uint64_t fitting = 1 + random.below(12);
            layers += static_cast<std::uint32_t>(fitting);
            targets.push_back(target(i, fitting, 100.0 + static_cast<double>(random.below(1000))));
        }
        const PlacementPlan plan = PlacementPlanner({}).plan(targets, {demand(layers)}, {});
        CHECK(throughputBound(targets, demand(layers), plan) > 0);
    }
}

TEST_CASE("two copies of a model are placed in two failure domains")
{
    std::vector<PlacementTarget> targets;
    for (std::size_t i = 0; i < 8; ++i) {
        targets.push_back(target(i, 12));
        targets.back().failureDomain = FailureDomainId(i % 2 == 0 ? "even" : "odd");
    }
    const PlacementPlan plan = PlacementPlanner({}).plan(targets, {demand(48)}, {});
    CHECK(throughputBound(without(targets, FailureDomainId("even")), demand(48), plan) > 0);
    CHECK(throughputBound(without(targets, FailureDomainId("odd")), demand(48), plan) > 0);
}

TEST_CASE("held ranges that prevent a complete model are moved without limit")
{
    std::vector<PlacementTarget> targets;
    PlacementPlan held;
    for (std::size_t i = 0; i < 6; ++i) {
        targets.push_back(target(i, 3));
        if (const auto first = static_cast<std::uint32_t>(1 + 3 * i); i < 5) {
            held[targets.back().id] = {.model = ModelId("glider"), .version = "1", .layers = range(first, first + 3)};
        }
    }
    const PlacementPlan plan = PlacementPlanner({}).plan(targets, {demand(18)}, held);
    CHECK(throughputBound(targets, demand(18), plan) > 0);
}

TEST_CASE("planning again changes nothing and a new target moves no other target")
{
    std::vector<PlacementTarget> targets = mixedFleet(40);
    const PlacementPlanner planner({});
    PlacementPlan plan = planner.plan(targets, {demand(48)}, {});
    CHECK(planner.plan(targets, {demand(48)}, plan) == plan);
    targets.push_back(target(40, 10));
    PlacementPlan next = planner.plan(targets, {demand(48)}, plan);
    CHECK(next.contains(targets.back().id));
    next.erase(targets.back().id);
    CHECK(next == plan);
}

TEST_CASE("after the loss of targets the model is complete again and few targets move if copies remained")
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        std::vector<PlacementTarget> targets = mixedFleet(30);
        const PlacementPlanner planner({});
        const PlacementPlan plan = planner.plan(targets, {demand(48)}, {});
        for (std::size_t lost = 0; lost < 10; ++lost) {
            targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(random.below(targets.size())));
        }
        const bool stillWhole = throughputBound(targets, demand(48), plan) > 0;
        const PlacementPlan next = planner.plan(targets, {demand(48)}, plan);
        CHECK(throughputBound(targets, demand(48), next) > 0);
        std::size_t moved = 0;
        for (const auto &[id, layers] : next) {
            moved += plan.contains(id) && plan.at(id) != layers ? 1 : 0;
        }
        if (stillWhole) {
            CHECK(moved <= 2);
        }
    }
}

TEST_CASE("throughput is divided between models in proportion to their demand")
{
    const std::vector<PlacementTarget> targets = mixedFleet(42);
    PlacementDemand much = demand(24, "much");
    PlacementDemand little = demand(24, "little");
    much.tokensPerSecond = 3;
    const PlacementPlan plan = PlacementPlanner({}).plan(targets, {much, little}, {});
    const double ratio = throughputBound(targets, much, plan) / throughputBound(targets, little, plan);
    CHECK(ratio > 2);
    CHECK(ratio < 4.5);
}

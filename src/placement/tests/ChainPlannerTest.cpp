#include "placement/ChainPlanner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <set>

using namespace Carawaymill;

static constexpr std::uint32_t modelLayers = 80;

static PlacementDemand model()
{
    return {.version = "1", .layers = modelLayers, .bytesPerLayer = ByteCount(1750)};
}

/// A fleet like those of the first operators: few large and many small accelerators in three failure domains.
static std::vector<PlacementTarget> fleet()
{
    struct Kind
    {
        const char *name;
        std::uint64_t memory;
        double speed;
        std::array<int, 3> counts;
    };

    const std::array kinds = {Kind{"h100", 72000, 71, {0, 1, 0}},
                              Kind{"a100s", 36000, 32, {2, 1, 1}},
                              Kind{"l4", 21600, 6.3, {4, 5, 8}},
                              Kind{"t4", 14400, 6.7, {7, 7, 3}}};
    std::vector<PlacementTarget> targets;
    for (const Kind &kind : kinds) {
        for (std::size_t domain = 0; domain < kind.counts.size(); ++domain) {
            for (int number = 0; number < kind.counts[domain]; ++number) {
                const std::string domainName(1, static_cast<char>('a' + domain));
                targets.push_back(
                    {.id = TargetId(domainName + kind.name + std::to_string(number)),
                     .layerMemory = ByteCount(static_cast<std::uint64_t>(static_cast<double>(kind.memory) * 0.88)),
                     .memory = ByteCount(kind.memory),
                     .layerTokensPerSecond = kind.speed,
                     .failureDomain = FailureDomainId(domainName)});
            }
        }
    }
    return targets;
}

/// Number of layers that no target of the domain holds, or no target at all if `domain` is empty.
static std::size_t missing(const PlacementPlan &plan, const std::string &domain)
{
    std::size_t count = 0;
    for (std::uint32_t layer = 0; layer < modelLayers; ++layer) {
        count += std::ranges::none_of(plan, [&](const auto &entry) {
            return entry.first.value().starts_with(domain) && entry.second.layers.contains(LayerIndex(layer));
        });
    }
    return count;
}

static bool fits(const PlacementPlan &plan, const std::vector<PlacementTarget> &targets)
{
    return std::ranges::all_of(targets, [&](const PlacementTarget &target) {
        const auto held = plan.find(target.id);
        return held == plan.end()
               || held->second.layers.size() * model().bytesPerLayer.value() <= target.layerMemory.value();
    });
}

TEST_CASE("each failure domain holds the complete model and no target gets more layers than fit")
{
    const std::vector<PlacementTarget> targets = fleet();
    const PlacementPlan plan = ChainPlanner({}).plan(targets, {model()}, {});
    for (const std::string domain : {"a", "b", "c"}) {
        CAPTURE(domain);
        CHECK(missing(plan, domain) == 0);
    }
    CHECK(plan.size() == targets.size());
    CHECK(fits(plan, targets));
}

TEST_CASE("the plan does not depend on the order of the targets")
{
    std::vector<PlacementTarget> targets = fleet();
    const PlacementPlan plan = ChainPlanner({}).plan(targets, {model()}, {});
    std::ranges::reverse(targets);
    CHECK(ChainPlanner({}).plan(targets, {model()}, {}) == plan);
}

TEST_CASE("the loss of any one target leaves every layer held and is repaired by changing few targets")
{
    const std::vector<PlacementTarget> targets = fleet();
    const PlacementPlan plan = ChainPlanner({}).plan(targets, {model()}, {});
    for (std::size_t lost = 0; lost < targets.size(); ++lost) {
        std::vector<PlacementTarget> rest = targets;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(lost));
        PlacementPlan left = plan;
        left.erase(targets[lost].id);
        CAPTURE(targets[lost].id);
        CHECK(missing(left, "") == 0);
        const PlacementPlan repaired = ChainPlanner({}).plan(rest, {model()}, left);
        CHECK(fits(repaired, rest));
        CHECK(missing(repaired, "") == 0);
        const std::string domain = targets[lost].failureDomain.value();
        CHECK(missing(repaired, domain) <= missing(left, domain));
        std::size_t changed = 0;
        for (const auto &[id, layers] : repaired) {
            changed += left.at(id) != layers ? 1 : 0;
        }
        CHECK(changed <= 4);
    }
}

TEST_CASE("a layer without any holder is assigned again at the cost of chains within domains")
{
    const std::vector<PlacementTarget> targets = fleet();
    PlacementPlan plan = ChainPlanner({}).plan(targets, {model()}, {});
    // Remove all holders of the last layer.
    std::vector<PlacementTarget> rest;
    for (const PlacementTarget &target : targets) {
        if (plan.at(target.id).layers.contains(LayerIndex(modelLayers - 1))) {
            plan.erase(target.id);
        } else {
            rest.push_back(target);
        }
    }
    const PlacementPlan repaired = ChainPlanner({}).plan(rest, {model()}, plan);
    CHECK(missing(repaired, "") == 0);
}

TEST_CASE("a new target is assigned the layers of a lost one")
{
    std::vector<PlacementTarget> targets = fleet();
    PlacementPlan plan = ChainPlanner({}).plan(targets, {model()}, {});
    const auto lostTarget =
        std::ranges::find_if(targets, [](const PlacementTarget &target) { return target.id == TargetId("cl40"); });
    REQUIRE(lostTarget != targets.end());
    const LayerRange gap = plan.at(lostTarget->id).layers;
    plan.erase(lostTarget->id);
    lostTarget->id = TargetId("cl4new");
    const PlacementPlan repaired = ChainPlanner({}).plan(targets, {model()}, plan);
    CHECK(missing(repaired, "c") == 0);
    if (missing(plan, "c") > 0) {
        CHECK(repaired.at(lostTarget->id).layers == gap);
    }
}

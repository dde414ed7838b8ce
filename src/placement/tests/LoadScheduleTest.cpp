#include "placement/LoadSchedule.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Carawaymill;

static constexpr std::uint32_t modelLayers = 12;

static PlacementDemand model()
{
    return {.model = ModelId("glider"), .version = "1", .layers = modelLayers, .bytesPerLayer = ByteCount(100)};
}

static ModelLayers range(std::uint32_t first, std::uint32_t end)
{
    return {.model = ModelId("glider"), .version = "1", .layers = {LayerIndex(first), LayerIndex(end)}};
}

static ScheduledEngine engine(const std::string &name, const std::string &domain, const ModelLayers &held)
{
    return {.target = {.id = TargetId(name),
                       .layerMemory = ByteCount(600),
                       .linkBytesPerSecond = 1e9,
                       .failureDomain = FailureDomainId(domain)},
            .state = {.target = TargetId(name), .held = {held}, .freeMemory = ByteCount(0)}};
}

/// Layers that are held now and that all their holders are ordered to unload.
static std::vector<std::uint32_t> uncovered(const std::vector<ScheduledEngine> &engines,
                                            const std::vector<LoadStep> &steps)
{
    const auto drops = [&](const TargetId &target, std::uint32_t layer) {
        return std::ranges::any_of(steps, [&](const LoadStep &step) {
            return step.target == target && std::ranges::any_of(step.unloads, [&](const ModelLayers &layers) {
                       return layers.layers.contains(LayerIndex(layer));
                   });
        });
    };
    std::vector<std::uint32_t> lost;
    for (std::uint32_t layer = 0; layer < modelLayers; ++layer) {
        bool held = false;
        bool kept = false;
        for (const ScheduledEngine &engine : engines) {
            const bool holds = engine.state.held.front().layers.contains(LayerIndex(layer));
            held = held || holds;
            kept = kept || (holds && !drops(engine.target.id, layer));
        }
        if (held && !kept) {
            lost.push_back(layer);
        }
    }
    return lost;
}

TEST_CASE("two holders of a layer are not ordered to unload it in the same pass")
{
    const std::vector<ScheduledEngine> engines = {engine("a", "d0", range(0, 6)),
                                                  engine("b", "d1", range(0, 6)),
                                                  engine("c", "d0", range(6, 12)),
                                                  engine("d", "d1", range(6, 12))};
    const PlacementPlan plan = {{TargetId("a"), range(3, 9)},
                                {TargetId("b"), range(3, 9)},
                                {TargetId("c"), range(0, 6)},
                                {TargetId("d"), range(6, 12)}};
    for (const OrderForm form : {OrderForm::Incremental, OrderForm::CompleteRange}) {
        const std::vector<LoadStep> steps = scheduleLoads(engines, {model()}, plan, engines.size(), form);
        CHECK_FALSE(steps.empty());
        CHECK(uncovered(engines, steps).empty());
    }
}

TEST_CASE("an order of a complete range names the unloaded layers and all layers held after it")
{
    const std::vector<ScheduledEngine> engines = {engine("a", "d0", range(0, 6)), engine("b", "d1", range(0, 6))};
    const PlacementPlan plan = {{TargetId("a"), range(4, 10)}, {TargetId("b"), range(0, 6)}};
    const std::vector<LoadStep> steps = scheduleLoads(engines, {model()}, plan, 2, OrderForm::CompleteRange);
    REQUIRE(steps.size() == 1);
    CHECK(steps.front().target == TargetId("a"));
    CHECK(steps.front().loads == std::vector{range(4, 10)});
    CHECK(steps.front().unloads == std::vector{range(0, 4)});
}

TEST_CASE("with complete ranges the last holder of a layer unloads it only for a layer without any holder")
{
    std::vector<ScheduledEngine> engines = {engine("a", "d0", range(0, 6)), engine("b", "d1", range(6, 12))};
    const PlacementPlan plan = {{TargetId("a"), range(4, 10)}, {TargetId("b"), range(6, 12)}};
    CHECK(scheduleLoads(engines, {model()}, plan, 2, OrderForm::CompleteRange).empty());
    engines.pop_back();
    const std::vector<LoadStep> steps = scheduleLoads(engines, {model()}, plan, 2, OrderForm::CompleteRange);
    REQUIRE(steps.size() == 1);
    CHECK(steps.front().reason == LoadReason::RestoresService);
}

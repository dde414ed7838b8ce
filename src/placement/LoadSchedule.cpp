#include "placement/LoadSchedule.h"

#include "placement/LayerHolders.h"
#include "routing/MergeRanges.h"

#include <algorithm>
#include <tuple>

namespace Carawaymill {

std::string describe(LoadReason reason)
{
    switch (reason) {
    case LoadReason::RestoresService:
        return "restores service";
    case LoadReason::SecondFailureDomain:
        return "second failure domain";
    case LoadReason::Capacity:
        break;
    }
    return "capacity";
}

static bool holds(const std::vector<ModelLayers> &ranges, const PlacementDemand &demand, std::uint32_t layer)
{
    return std::any_of(ranges.begin(), ranges.end(), [&](const ModelLayers &range) {
        return matches(demand, range) && range.layers.contains(LayerIndex(layer));
    });
}

namespace {

class Scheduler
{
public:
    Scheduler(const std::vector<ScheduledEngine> &engines, const std::vector<PlacementDemand> &demands);

    /// The most urgent loads of the engine among the layers of `planned`; empty when it has nothing to load.
    [[nodiscard]] std::optional<LoadStep> stepFor(const ScheduledEngine &engine, const ModelLayers &planned) const;

    /// Adds the unloads that free memory for the step's loads. False if not enough memory can be freed.
    [[nodiscard]] bool freeMemoryFor(const ScheduledEngine &engine, const ModelLayers &planned, LoadStep &step);

    /// Makes the step an order of the complete range `planned`. False if the target is the last holder of a layer
    /// outside of the range, unless the step restores service.
    [[nodiscard]] bool replaceRange(const ScheduledEngine &engine, const ModelLayers &planned, LoadStep &step) const;

    /// Counts the step's loads as loading and its unloads as no longer held.
    void recordStep(const ScheduledEngine &engine, const LoadStep &step);

private:
    [[nodiscard]] const LayerHolders *holdersOf(const ModelLayers &layers) const;
    [[nodiscard]] LoadReason
    reasonFor(const LayerHolders &holders, std::uint32_t layer, const FailureDomainId &domain) const;
    [[nodiscard]] std::uint64_t bytesOf(const ModelLayers &layers) const;
    [[nodiscard]] std::uint64_t freeBytes(const ScheduledEngine &engine) const;
    [[nodiscard]] std::vector<ModelLayers> outsideOf(const EngineState &state, const ModelLayers &planned) const;

    std::vector<LayerHolders> m_holders;
};

Scheduler::Scheduler(const std::vector<ScheduledEngine> &engines, const std::vector<PlacementDemand> &demands)
{
    for (const PlacementDemand &demand : demands) {
        LayerHolders &holders = m_holders.emplace_back(demand);
        for (const ScheduledEngine &engine : engines) {
            for (const ModelLayers &layers : engine.state.held) {
                holders.addReady(layers, engine.target.failureDomain);
            }
            for (const ModelLayers &layers : engine.state.loading) {
                holders.addLoading(layers, engine.target.failureDomain);
            }
        }
    }
}

const LayerHolders *Scheduler::holdersOf(const ModelLayers &layers) const
{
    const auto found = std::find_if(m_holders.begin(), m_holders.end(), [&](const LayerHolders &holders) {
        return matches(holders.demand(), layers);
    });
    return found == m_holders.end() ? nullptr : &*found;
}

LoadReason Scheduler::reasonFor(const LayerHolders &holders, std::uint32_t layer, const FailureDomainId &domain) const
{
    if (holders.uncovered(layer)) {
        return LoadReason::RestoresService;
    }
    return holders.needsDomain(layer, domain) ? LoadReason::SecondFailureDomain : LoadReason::Capacity;
}

std::optional<LoadStep> Scheduler::stepFor(const ScheduledEngine &engine, const ModelLayers &planned) const
{
    const LayerHolders *holders = holdersOf(planned);
    if (!holders) {
        return std::nullopt;
    }
    std::optional<LoadStep> step;
    for (std::uint32_t layer = planned.layers.first.value(); layer < planned.layers.end.value(); ++layer) {
        if (holds(engine.state.held, holders->demand(), layer)
            || holds(engine.state.loading, holders->demand(), layer)) {
            continue;
        }
        const LoadReason reason = reasonFor(*holders, layer, engine.target.failureDomain);
        if (!step || reason < step->reason) {
            step = LoadStep{.target = engine.target.id, .reason = reason};
        }
        if (reason > step->reason) {
            continue;
        }
        if (!step->loads.empty() && step->loads.back().layers.end == LayerIndex(layer)) {
            step->loads.back().layers.end = LayerIndex(layer + 1);
        } else {
            step->loads.push_back(planned);
            step->loads.back().layers = {LayerIndex(layer), LayerIndex(layer + 1)};
        }
    }
    return step;
}

std::uint64_t Scheduler::bytesOf(const ModelLayers &layers) const
{
    const LayerHolders *holders = holdersOf(layers);
    return holders ? holders->demand().bytesPerLayer.value() * layers.layers.size() : 0;
}

std::uint64_t Scheduler::freeBytes(const ScheduledEngine &engine) const
{
    std::uint64_t used = 0;
    for (const auto *ranges : {&engine.state.held, &engine.state.loading}) {
        for (const ModelLayers &layers : *ranges) {
            used += bytesOf(layers);
        }
    }
    const std::uint64_t limit = engine.target.layerMemory.value();
    return std::min(limit > used ? limit - used : 0, engine.state.freeMemory.value());
}

std::vector<ModelLayers> Scheduler::outsideOf(const EngineState &state, const ModelLayers &planned) const
{
    std::vector<ModelLayers> result = subtractRange(state.held, planned, modelOf);
    // Models without demand are unloaded first.
    std::stable_partition(
        result.begin(), result.end(), [&](const ModelLayers &layers) { return holdersOf(layers) == nullptr; });
    return result;
}

bool Scheduler::freeMemoryFor(const ScheduledEngine &engine, const ModelLayers &planned, LoadStep &step)
{
    std::uint64_t needed = 0;
    for (const ModelLayers &layers : step.loads) {
        needed += bytesOf(layers);
    }
    std::uint64_t available = freeBytes(engine);
    for (const ModelLayers &layers : outsideOf(engine.state, planned)) {
        if (needed <= available) {
            break;
        }
        const LayerHolders *holders = holdersOf(layers);
        if (!holders) {
            // The layer size of a model without demand is not known here, so unload all of its layers.
            step.unloads.push_back(layers);
            available = std::max(available, engine.target.layerMemory.value());
        } else if (step.reason == LoadReason::RestoresService || holders->redundant(layers.layers)) {
            step.unloads.push_back(layers);
            available += bytesOf(layers);
        }
    }
    return needed <= available;
}

bool Scheduler::replaceRange(const ScheduledEngine &engine, const ModelLayers &planned, LoadStep &step) const
{
    step.loads = {planned};
    step.unloads = outsideOf(engine.state, planned);
    return step.reason == LoadReason::RestoresService
           || std::ranges::all_of(step.unloads, [&](const ModelLayers &layers) {
                  const LayerHolders *holders = holdersOf(layers);
                  return !holders || holders->redundant(layers.layers);
              });
}

void Scheduler::recordStep(const ScheduledEngine &engine, const LoadStep &step)
{
    for (LayerHolders &holders : m_holders) {
        for (const ModelLayers &layers : step.loads) {
            holders.addLoading(layers, engine.target.failureDomain);
        }
        for (const ModelLayers &layers : step.unloads) {
            holders.removeReady(layers, engine.target.failureDomain);
        }
    }
}

} // namespace

std::vector<LoadStep> scheduleLoads(const std::vector<ScheduledEngine> &engines,
                                    const std::vector<PlacementDemand> &demands,
                                    const PlacementPlan &plan,
                                    std::size_t maximumSteps,
                                    OrderForm form)
{
    Scheduler scheduler(engines, demands);
    std::vector<const ScheduledEngine *> waiting;
    for (const ScheduledEngine &engine : engines) {
        if (engine.canReceiveOrder && plan.contains(engine.target.id)) {
            waiting.push_back(&engine);
        }
    }
    std::vector<LoadStep> steps;
    while (!waiting.empty() && steps.size() < maximumSteps) {
        std::optional<LoadStep> best;
        std::size_t position = 0;
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            auto step = scheduler.stepFor(*waiting[i], plan.at(waiting[i]->target.id));
            if (step
                && (!best
                    || std::tuple(step->reason, -waiting[i]->target.linkBytesPerSecond)
                           < std::tuple(best->reason, -waiting[position]->target.linkBytesPerSecond))) {
                best = std::move(step);
                position = i;
            }
        }
        if (!best) {
            break;
        }
        const ScheduledEngine &engine = *waiting[position];
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(position));
        const ModelLayers &planned = plan.at(engine.target.id);
        if (form == OrderForm::CompleteRange ? scheduler.replaceRange(engine, planned, *best)
                                             : scheduler.freeMemoryFor(engine, planned, *best)) {
            scheduler.recordStep(engine, *best);
            steps.push_back(std::move(*best));
        }
    }
    return steps;
}

} // namespace Carawaymill

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

    /// The most urgent step of the engine towards `wanted`; empty when it has nothing to load.
    [[nodiscard]] std::optional<LoadStep> stepFor(const ScheduledEngine &engine, const ModelLayers &wanted) const;

    /// Adds what makes room for the step's loads. False when there is no room.
    [[nodiscard]] bool makeRoom(const ScheduledEngine &engine, const ModelLayers &wanted, LoadStep &step);

    /// Makes the step one of the whole range. False when the target is the last holder of a layer outside of it.
    [[nodiscard]] bool replaceRange(const ScheduledEngine &engine, const ModelLayers &wanted, LoadStep &step) const;

    /// Counts the step as being done.
    void begin(const ScheduledEngine &engine, const LoadStep &step);

private:
    [[nodiscard]] const LayerHolders *holdersOf(const ModelLayers &layers) const;
    [[nodiscard]] LoadReason
    reasonFor(const LayerHolders &holders, std::uint32_t layer, const FailureDomainId &domain) const;
    [[nodiscard]] std::uint64_t bytesOf(const ModelLayers &layers) const;
    [[nodiscard]] std::uint64_t room(const ScheduledEngine &engine) const;
    [[nodiscard]] std::vector<ModelLayers> unwanted(const EngineState &state, const ModelLayers &wanted) const;

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

std::optional<LoadStep> Scheduler::stepFor(const ScheduledEngine &engine, const ModelLayers &wanted) const
{
    const LayerHolders *holders = holdersOf(wanted);
    if (!holders) {
        return std::nullopt;
    }
    std::optional<LoadStep> step;
    for (std::uint32_t layer = wanted.layers.first.value(); layer < wanted.layers.end.value(); ++layer) {
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
            step->loads.push_back(wanted);
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

std::uint64_t Scheduler::room(const ScheduledEngine &engine) const
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

std::vector<ModelLayers> Scheduler::unwanted(const EngineState &state, const ModelLayers &wanted) const
{
    std::vector<ModelLayers> result = subtractRange(state.held, wanted, modelOf);
    // What no operator wants any more goes first.
    std::stable_partition(
        result.begin(), result.end(), [&](const ModelLayers &layers) { return holdersOf(layers) == nullptr; });
    return result;
}

bool Scheduler::makeRoom(const ScheduledEngine &engine, const ModelLayers &wanted, LoadStep &step)
{
    std::uint64_t needed = 0;
    for (const ModelLayers &layers : step.loads) {
        needed += bytesOf(layers);
    }
    std::uint64_t available = room(engine);
    for (const ModelLayers &layers : unwanted(engine.state, wanted)) {
        if (needed <= available) {
            break;
        }
        const LayerHolders *holders = holdersOf(layers);
        if (!holders) {
            // The size of a model that nobody wants is not known here: all of it goes.
            step.unloads.push_back(layers);
            available = std::max(available, engine.target.layerMemory.value());
        } else if (step.reason == LoadReason::RestoresService || holders->redundant(layers.layers)) {
            step.unloads.push_back(layers);
            available += bytesOf(layers);
        }
    }
    return needed <= available;
}

bool Scheduler::replaceRange(const ScheduledEngine &engine, const ModelLayers &wanted, LoadStep &step) const
{
    step.loads = {wanted};
    step.unloads = unwanted(engine.state, wanted);
    return step.reason == LoadReason::RestoresService
           || std::ranges::all_of(step.unloads, [&](const ModelLayers &layers) {
                  const LayerHolders *holders = holdersOf(layers);
                  return !holders || holders->redundant(layers.layers);
              });
}

void Scheduler::begin(const ScheduledEngine &engine, const LoadStep &step)
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
                                    std::size_t most,
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
    while (!waiting.empty() && steps.size() < most) {
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
        const ModelLayers &wanted = plan.at(engine.target.id);
        if (form == OrderForm::CompleteRange ? scheduler.replaceRange(engine, wanted, *best)
                                             : scheduler.makeRoom(engine, wanted, *best)) {
            scheduler.begin(engine, *best);
            steps.push_back(std::move(*best));
        }
    }
    return steps;
}

} // namespace Carawaymill

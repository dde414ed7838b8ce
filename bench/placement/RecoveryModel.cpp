#include "placement/RecoveryModel.h"

#include "placement/MaximumFlow.h"
#include "routing/MergeRanges.h"

#include <algorithm>

namespace Carawaymill {

static constexpr Duration step = std::chrono::milliseconds(100);
static constexpr Duration longest = std::chrono::minutes(30);

RecoveryModel::RecoveryModel(std::vector<PlacementTarget> targets, PlacementDemand demand, double storeBytesPerSecond)
    : m_targets(std::move(targets))
    , m_demand(std::move(demand))
    , m_storeBytesPerSecond(storeBytesPerSecond)
{
}

void RecoveryModel::fill(const PlacementPlan &plan)
{
    for (const auto &[target, layers] : plan) {
        m_held[target] = {layers};
    }
}

void RecoveryModel::lose(const std::set<TargetId> &lost)
{
    std::erase_if(m_targets, [&](const PlacementTarget &target) { return lost.contains(target.id); });
    for (const TargetId &target : lost) {
        m_held.erase(target);
        m_loads.erase(target);
    }
    m_changed = true;
    m_hardwareBound = hardwareBound(m_targets, m_demand);
}

EngineState RecoveryModel::stateOf(const TargetId &target) const
{
    EngineState state{.target = target, .freeMemory = ByteCount(~0ULL)};
    if (const auto held = m_held.find(target); held != m_held.end()) {
        state.held = held->second;
    }
    if (const auto loads = m_loads.find(target); loads != m_loads.end()) {
        for (const Load &load : loads->second) {
            state.loading.push_back(load.layers);
        }
    }
    return state;
}

void RecoveryModel::order(const EngineOrder &order, RecoveryResult &result)
{
    ++result.orders;
    m_changed = true;
    for (const ModelLayers &unload : order.unloads) {
        // The order names a part of what is held, at one of its ends.
        for (ModelLayers &held : m_held[order.target]) {
            if (held.layers.contains(unload.layers)) {
                held.layers = unload.layers.first == held.layers.first
                                  ? LayerRange{unload.layers.end, held.layers.end}
                                  : LayerRange{held.layers.first, unload.layers.first};
            }
        }
    }
    for (const ModelLayers &load : order.loads) {
        const double bytes = static_cast<double>(load.layers.size() * m_demand.bytesPerLayer.value());
        m_loads[order.target].push_back({.layers = load, .remainingBytes = bytes});
        result.loadedGigabytes += bytes / 1e9;
    }
}

void RecoveryModel::feed(PlacementController &controller, const PlacementEvent &event, RecoveryResult &result)
{
    for (const PlacementAction &action : controller.handle(event, m_now)) {
        std::visit(Overloaded{[&](const ReadEngineState &read) {
                                  feed(controller, EngineStateRead{stateOf(read.target)}, result);
                              },
                              [&](const SendEngineOrder &send) {
                                  order(send.order, result);
                                  const EngineOrderReply reply{.number = send.order.number};
                                  feed(controller, EngineOrderAnswered{send.order.target, reply}, result);
                              },
                              [](const auto & /*logged*/) {}},
                   action);
    }
}

void RecoveryModel::advanceLoads(double seconds)
{
    const auto active =
        std::count_if(m_loads.begin(), m_loads.end(), [](const auto &loads) { return !loads.second.empty(); });
    for (const PlacementTarget &target : m_targets) {
        auto &loads = m_loads[target.id];
        if (loads.empty()) {
            continue;
        }
        const double rate = std::min(target.linkBytesPerSecond, m_storeBytesPerSecond / static_cast<double>(active));
        loads.front().remainingBytes -= rate * seconds;
        if (loads.front().remainingBytes <= 0) {
            auto &held = m_held[target.id];
            held.push_back(loads.front().layers);
            loads.erase(loads.begin());
            m_changed = true;
            held = mergeRanges(
                held, [](const ModelLayers &layers) { return std::tie(layers.model, layers.version, layers.adapter); });
        }
    }
}

double RecoveryModel::bound() const
{
    std::vector<FlowTarget> flows;
    for (const PlacementTarget &target : m_targets) {
        if (const auto held = m_held.find(target.id); held != m_held.end()) {
            for (const ModelLayers &layers : held->second) {
                flows.push_back({.layerTokensPerSecond = target.layerTokensPerSecond,
                                 .linkTokensPerSecond = linkTokensPerSecond(target, m_demand),
                                 .layers = layers.layers});
            }
        }
    }
    return throughputBound(flows, m_demand.layers);
}

void RecoveryModel::observe(RecoveryResult &result, double seconds)
{
    if (!m_changed) {
        return;
    }
    m_changed = false;
    const double reached = bound();
    if (result.serviceSeconds < 0 && reached > 0) {
        result.serviceSeconds = seconds;
    }
    if (result.throughputSeconds < 0 && reached >= 0.9 * m_hardwareBound) {
        result.throughputSeconds = seconds;
    }
}

RecoveryResult RecoveryModel::recoverByController(const std::set<TargetId> &lost, std::uint32_t concurrentLoads)
{
    const PlacementScope scope = placementScope(RegionId("kyushu"));
    PlacementController controller({.scope = scope, .concurrentLoads = concurrentLoads});
    RecoveryResult before;
    feed(controller, PlacementTargetsChanged{m_targets}, before);
    feed(controller, PlacementDemandsChanged{{m_demand}}, before);
    feed(controller, LeaseAcquired{scope, FencingNumber(1), m_now + std::chrono::hours(100)}, before);
    for (const TimePoint end = m_now + std::chrono::seconds(60); m_now < end; m_now += step) {
        feed(controller, Tick(), before);
    }
    lose(lost);
    RecoveryResult result;
    feed(controller, PlacementTargetsChanged{m_targets}, result);
    const TimePoint begin = m_now;
    while (m_now - begin < longest && result.throughputSeconds < 0) {
        observe(result, std::chrono::duration<double>(m_now - begin).count());
        feed(controller, Tick(), result);
        advanceLoads(std::chrono::duration<double>(step).count());
        m_now += step;
    }
    return result;
}

RecoveryResult RecoveryModel::recoverAtOnce(const PlacementPlan &plan)
{
    RecoveryResult result;
    for (const auto &[target, layers] : plan) {
        const auto &held = m_held[target];
        if (std::find(held.begin(), held.end(), layers) == held.end()) {
            order({.target = target, .loads = {layers}, .unloads = held}, result);
        }
    }
    for (auto &[target, held] : m_held) {
        if (!m_loads[target].empty()) {
            held.clear();
        }
    }
    const TimePoint begin = m_now;
    while (m_now - begin < longest && result.throughputSeconds < 0) {
        observe(result, std::chrono::duration<double>(m_now - begin).count());
        advanceLoads(std::chrono::duration<double>(step).count());
        m_now += step;
    }
    return result;
}

} // namespace Carawaymill

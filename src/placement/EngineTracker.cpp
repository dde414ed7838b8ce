#include "placement/EngineTracker.h"

#include "routing/MergeRanges.h"

#include <algorithm>

namespace Carawaymill {

EngineTracker::EngineTracker(const PlacementControllerOptions &options)
    : m_options(options)
{
}

static std::vector<ModelLayers> without(std::vector<ModelLayers> held, const std::vector<ModelLayers> &dropped)
{
    for (const ModelLayers &layers : dropped) {
        held = subtractRange(held, layers, modelOf);
    }
    return held;
}

void EngineTracker::reset(TimePoint now)
{
    m_engines.clear();
    m_readAllowance = 0;
    m_allowanceAt = now;
    m_formerHolderExpiresAt = now + m_options.formerHolderGracePeriod;
}

void EngineTracker::retain(const std::vector<PlacementTarget> &targets)
{
    std::erase_if(m_engines, [&](const auto &engine) {
        return std::none_of(
            targets.begin(), targets.end(), [&](const PlacementTarget &target) { return target.id == engine.first; });
    });
}

bool EngineTracker::readDue(const Engine &engine, TimePoint now) const
{
    if (engine.readRequestedAt) {
        return now - *engine.readRequestedAt >= m_options.stateReadTimeout;
    }
    const bool outdated = engine.lastOrderEnded && engine.stateAsOf < *engine.lastOrderEnded;
    if (outdated && now < *engine.lastOrderEnded) {
        return false;
    }
    const bool readBeforeExpiry = now >= m_formerHolderExpiresAt && engine.stateAsOf < m_formerHolderExpiresAt;
    const bool loading = engine.state && (engine.state->busy || !engine.state->loading.empty());
    // Engines that are loading are read more often, to detect the end of the load soon.
    const Duration interval = loading ? m_options.stateReadInterval / 10 : m_options.stateReadInterval;
    return !engine.state || outdated || readBeforeExpiry || now - engine.stateAsOf >= interval;
}

std::vector<TargetId> EngineTracker::startDueReads(const std::vector<TargetId> &targets, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_allowanceAt).count();
    m_allowanceAt = now;
    m_readAllowance =
        std::min(m_readAllowance + elapsed * m_options.stateReadsPerSecond, m_options.stateReadsPerSecond);
    std::vector<TargetId> due;
    for (const TargetId &target : targets) {
        if (m_readAllowance < 1) {
            break;
        }
        if (Engine &engine = m_engines[target]; readDue(engine, now)) {
            engine.readRequestedAt = now;
            m_readAllowance -= 1;
            due.push_back(target);
        }
    }
    return due;
}

void EngineTracker::recordState(const EngineState &state)
{
    const auto found = m_engines.find(state.target);
    if (found == m_engines.end()) {
        return;
    }
    Engine &engine = found->second;
    // A response without a pending read is ignored, since the age of its state is not known.
    if (engine.readRequestedAt) {
        const std::vector<ModelLayers> ordered = engine.state ? engine.state->loading : std::vector<ModelLayers>();
        engine.state = state;
        if (state.busy && state.loading.empty()) {
            engine.state->loading = ordered;
        }
        engine.state->held = mergeRanges(state.held, modelOf);
        engine.stateAsOf = *engine.readRequestedAt;
        engine.readRequestedAt = std::nullopt;
    }
}

void EngineTracker::recordOrder(const EngineOrder &order, TimePoint now)
{
    Engine &engine = m_engines[order.target];
    engine.order = order;
    engine.orderedAt = now;
}

bool EngineTracker::finishOrder(const TargetId &target, OrderNumber number, bool accepted, TimePoint now)
{
    const auto found = m_engines.find(target);
    if (found == m_engines.end() || !found->second.order || found->second.order->number != number) {
        return false;
    }
    Engine &engine = found->second;
    if (accepted) {
        engine.failures = 0;
    } else {
        const Duration delay = m_options.initialRetryDelay * (1U << std::min(engine.failures, 10U));
        engine.retryAt = now + std::min(delay, m_options.maximumRetryDelay);
        engine.failures += 1;
    }
    if (engine.state) {
        // Layers that the order unloads count as not held until the next read: an order without a response may still be
        // carried out.
        engine.state->held = without(std::move(engine.state->held), engine.order->unloads);
    }
    if (accepted && engine.state) {
        // Layers that the order loads count as loading until the next read.
        engine.state->loading.insert(
            engine.state->loading.end(), engine.order->loads.begin(), engine.order->loads.end());
    }
    engine.order = std::nullopt;
    // A read requested earlier could still return the state before the order.
    engine.lastOrderEnded = now + m_options.stateReportLag;
    engine.readRequestedAt = std::nullopt;
    return true;
}

void EngineTracker::expireOverdueOrders(TimePoint now)
{
    for (auto &[target, engine] : m_engines) {
        if (engine.order && now - engine.orderedAt >= engine.order->validFor + m_options.stateReadTimeout) {
            finishOrder(target, engine.order->number, false, now);
        }
    }
}

std::optional<EngineState> EngineTracker::state(const TargetId &target) const
{
    const auto found = m_engines.find(target);
    if (found == m_engines.end() || !found->second.state) {
        return std::nullopt;
    }
    EngineState state = *found->second.state;
    if (const auto &order = found->second.order) {
        state.loading.insert(state.loading.end(), order->loads.begin(), order->loads.end());
        state.held = without(std::move(state.held), order->unloads);
    }
    return state;
}

bool EngineTracker::canReceiveOrder(const TargetId &target, TimePoint readAfter, TimePoint now) const
{
    const auto found = m_engines.find(target);
    if (found == m_engines.end()) {
        return false;
    }
    const Engine &engine = found->second;
    const bool readSinceOrder = !engine.lastOrderEnded || engine.stateAsOf >= *engine.lastOrderEnded;
    return engine.state && engine.stateAsOf >= readAfter && readSinceOrder && !engine.order && now >= engine.retryAt;
}

std::size_t EngineTracker::loadingEngines() const
{
    return static_cast<std::size_t>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto &entry) {
        const Engine &engine = entry.second;
        return (engine.state && !engine.state->loading.empty()) || (engine.order && !engine.order->loads.empty());
    }));
}

} // namespace Carawaymill

#include "placement/PlacementController.h"

#include "placement/LayerHolders.h"

#include <algorithm>

namespace Carawaymill {

/// Orders with a shorter validity period are not sent.
static constexpr Duration minimumValidity = std::chrono::milliseconds(100);

static std::variant<PlacementPlanner, ChainPlanner>
createPlanner(const std::variant<PlacementPlannerOptions, ChainPlannerOptions> &options)
{
    return std::visit(Overloaded{[](const PlacementPlannerOptions &planner) {
                                     return std::variant<PlacementPlanner, ChainPlanner>(PlacementPlanner(planner));
                                 },
                                 [](const ChainPlannerOptions &planner) {
                                     return std::variant<PlacementPlanner, ChainPlanner>(ChainPlanner(planner));
                                 }},
                      options);
}

PlacementController::PlacementController(PlacementControllerOptions options)
    : m_options(std::move(options))
    , m_planner(createPlanner(m_options.planner))
    , m_targets(m_options)
    , m_engines(m_options)
{
}

std::vector<PlacementAction> PlacementController::handle(const PlacementEvent &event, TimePoint now)
{
    Actions actions;
    std::visit(Overloaded{[](const Tick &) {},
                          [&](const LeaseAcquired &lease) { leaseAcquired(lease, now); },
                          [&](const LeaseExtended &extended) {
                              if (m_lease && extended.scope == m_options.scope) {
                                  m_lease->validUntil = extended.validUntil;
                              }
                          },
                          [&](const LeaseLost &lost) {
                              if (lost.scope == m_options.scope) {
                                  m_lease = std::nullopt;
                              }
                          },
                          [&](const PlacementTargetsChanged &changed) {
                              if (m_targets.update(changed.targets, now)) {
                                  m_planOutdated = true;
                                  m_targetsChangedAt = now;
                              }
                          },
                          [&](const PlacementDemandsChanged &changed) {
                              m_planOutdated = m_planOutdated || m_demands != changed.demands;
                              m_demands = changed.demands;
                          },
                          [&](const EngineStateRead &read) { m_engines.recordState(read.state); },
                          [&](const EngineOrderAnswered &answered) { orderAnswered(answered, actions, now); },
                          [&](const EngineOrderUnanswered &unanswered) {
                              m_engines.finishOrder(unanswered.target, unanswered.number, false, now);
                          }},
               event);
    m_planOutdated = m_targets.removeLost(now) || m_planOutdated;
    // If this host was paused until after the end of its lease, this check keeps it from acting.
    const bool due = !m_decidedAt || now - *m_decidedAt >= m_options.decisionInterval;
    if (m_lease && now < m_lease->validUntil && due) {
        m_decidedAt = now;
        runDecisionPass(actions, now);
    }
    return actions;
}

void PlacementController::leaseAcquired(const LeaseAcquired &acquired, TimePoint now)
{
    if (acquired.scope != m_options.scope) {
        return;
    }
    m_lease = HeldLease{.fencingNumber = acquired.fencingNumber, .validUntil = acquired.validUntil, .acquiredAt = now};
    m_lastOrder = OrderNumber();
    m_engines.reset(now);
    // Another lease holder may have changed the placement since, so the next plan starts from the engines' states.
    m_plan.clear();
    m_planOutdated = true;
}

void PlacementController::orderAnswered(const EngineOrderAnswered &answered, Actions &actions, TimePoint now)
{
    const bool accepted = answered.reply.outcome == EngineOrderOutcome::Accepted;
    if (!m_engines.finishOrder(answered.target, answered.reply.number, accepted, now) || !m_lease) {
        return;
    }
    if (answered.reply.highestFencingNumber > m_lease->fencingNumber) {
        actions.push_back(HolderSuperseded{.scope = m_options.scope,
                                           .target = answered.target,
                                           .ownNumber = m_lease->fencingNumber,
                                           .seenNumber = answered.reply.highestFencingNumber});
        m_lease = std::nullopt;
    }
}

void PlacementController::runDecisionPass(Actions &actions, TimePoint now)
{
    m_engines.expireOverdueOrders(now);
    readStates(actions, now);
    planIfDue(actions, now);
    sendOrders(actions, now);
}

void PlacementController::readStates(Actions &actions, TimePoint now)
{
    std::vector<TargetId> targets;
    for (const PlacementTarget &target : m_targets.listed()) {
        targets.push_back(target.id);
    }
    for (const TargetId &target : m_engines.startDueReads(targets, now)) {
        actions.push_back(ReadEngineState{target});
    }
}

bool PlacementController::holdsCompleteModels(const std::vector<PlacementTarget> &targets) const
{
    return std::ranges::all_of(m_demands, [&](const PlacementDemand &demand) {
        LayerHolders holders(demand);
        for (const PlacementTarget &target : targets) {
            if (const auto state = m_engines.state(target.id)) {
                std::ranges::for_each(state->held,
                                      [&](const auto &layers) { holders.addReady(layers, target.failureDomain); });
            }
        }
        for (std::uint32_t layer = 0; layer < demand.layers; ++layer) {
            if (holders.uncovered(layer)) {
                return false;
            }
        }
        return true;
    });
}

bool PlacementController::readyToPlan(TimePoint now) const
{
    if (now - m_lease->acquiredAt >= m_options.initialReadTimeout) {
        return true;
    }
    const std::vector<PlacementTarget> targets = m_targets.listed();
    if (now - m_targetsChangedAt < m_options.arrivalQuietPeriod && !holdsCompleteModels(targets)) {
        return false;
    }
    return !targets.empty() && std::all_of(targets.begin(), targets.end(), [&](const PlacementTarget &target) {
        return m_engines.state(target.id).has_value();
    });
}

PlacementPlan PlacementController::currentPlan(const std::vector<PlacementTarget> &targets) const
{
    PlacementPlan current = m_plan;
    for (const PlacementTarget &target : targets) {
        const auto state = m_engines.state(target.id);
        if (m_plan.contains(target.id) || !state) {
            continue;
        }
        for (const auto *ranges : {&state->held, &state->loading}) {
            for (const ModelLayers &layers : *ranges) {
                const bool demanded = std::any_of(
                    m_demands.begin(), m_demands.end(), [&](const auto &demand) { return matches(demand, layers); });
                if (const auto largest = current.find(target.id);
                    demanded && (largest == current.end() || layers.layers.size() > largest->second.layers.size())) {
                    current[target.id] = layers;
                }
            }
        }
    }
    return current;
}

PlanChanged PlacementController::changesFrom(const PlacementPlan &before) const
{
    PlanChanged changed{.scope = m_options.scope, .fencingNumber = m_lease->fencingNumber};
    const auto find = [](const PlacementPlan &plan, const TargetId &target) -> std::optional<ModelLayers> {
        const auto found = plan.find(target);
        return found == plan.end() ? std::nullopt : std::optional(found->second);
    };
    PlacementPlan all = before;
    all.insert(m_plan.begin(), m_plan.end());
    for (const auto &[target, layers] : all) {
        const auto old = find(before, target);
        if (const auto now = find(m_plan, target); now != old) {
            changed.changes.push_back({.target = target, .before = old, .after = now});
        }
    }
    return changed;
}

void PlacementController::planIfDue(Actions &actions, TimePoint now)
{
    const bool tooEarly = m_plannedAt && now - *m_plannedAt < m_options.planInterval;
    if (!m_planOutdated || tooEarly || !readyToPlan(now)) {
        return;
    }
    const std::vector<PlacementTarget> targets = m_targets.all();
    const PlacementPlan before = currentPlan(targets);
    m_plan = std::visit([&](const auto &planner) { return planner.plan(targets, m_demands, before); }, m_planner);
    m_planOutdated = false;
    m_plannedAt = now;
    m_engines.retain(targets);
    if (PlanChanged changed = changesFrom(before); !changed.changes.empty()) {
        for (const PlacementDemand &demand : m_demands) {
            changed.throughputBounds.push_back(throughputBound(targets, demand, m_plan));
        }
        actions.push_back(std::move(changed));
    }
}

Duration PlacementController::validity(TimePoint now) const
{
    const Duration untilMargin = m_lease->validUntil - now - m_options.leaseMargin;
    const Duration validity = std::min(m_options.orderValidity, untilMargin);
    return validity < minimumValidity ? Duration::zero() : validity;
}

std::vector<ScheduledEngine> PlacementController::scheduledEngines(TimePoint now) const
{
    std::vector<ScheduledEngine> engines;
    for (const PlacementTarget &target : m_targets.listed()) {
        if (const auto state = m_engines.state(target.id)) {
            // An engine that counts its orders refuses one that was made for an earlier state, whoever sent it.
            const bool refusesFormerHolder = target.checksFencingNumber || state->ordersAccepted;
            const TimePoint readAfter =
                m_lease->acquiredAt + (refusesFormerHolder ? Duration::zero() : m_options.formerHolderGracePeriod);
            engines.push_back({.target = target,
                               .state = *state,
                               .canReceiveOrder = m_engines.canReceiveOrder(target.id, readAfter, now)});
        }
    }
    return engines;
}

void PlacementController::sendOrders(Actions &actions, TimePoint now)
{
    const std::size_t loading = m_engines.loadingEngines();
    const Duration validFor = validity(now);
    if (m_planOutdated || loading >= m_options.concurrentLoads || validFor == Duration::zero()) {
        return;
    }
    const std::vector<ScheduledEngine> engines = scheduledEngines(now);
    const std::size_t maximumSteps = m_options.concurrentLoads - loading;
    for (LoadStep &step : scheduleLoads(engines, m_demands, m_plan, maximumSteps, m_options.orderForm)) {
        m_lastOrder = m_lastOrder.next();
        const auto state = m_engines.state(step.target);
        SendEngineOrder send{.order = {.target = step.target,
                                       .scope = m_options.scope,
                                       .fencingNumber = m_lease->fencingNumber,
                                       .number = m_lastOrder,
                                       .loads = std::move(step.loads),
                                       .unloads = std::move(step.unloads),
                                       .validFor = validFor,
                                       .ordersAccepted = state ? state->ordersAccepted : std::nullopt},
                             .reason = step.reason,
                             .sendBefore = now + validFor};
        m_engines.recordOrder(send.order, now);
        actions.push_back(std::move(send));
    }
}

} // namespace Carawaymill

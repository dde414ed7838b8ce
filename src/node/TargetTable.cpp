#include "node/TargetTable.h"

#include <set>

namespace Carawaymill {

TargetTable::TargetTable(ChainRouterOptions router, TargetMonitorOptions monitor)
    : m_router(std::move(router))
    , m_monitor(monitor)
{
}

void TargetTable::setDeclaredTargets(const CatalogueReplica &catalogue, TimePoint now, NodeOutput &output)
{
    std::set<TargetId> declared;
    for (const TargetRecord *record : catalogue.targets()) {
        declared.insert(record->id);
        DeclaredTarget &known = m_targets[record->id];
        if (known.record != *record) {
            known.record = *record;
            updateRouter(known);
        }
    }
    for (auto known = m_targets.begin(); known != m_targets.end();) {
        if (declared.contains(known->first)) {
            ++known;
            continue;
        }
        m_router.removeTarget(known->first);
        known = m_targets.erase(known);
    }
    (void)perform(m_monitor.handle(TargetsDeclared{{declared.begin(), declared.end()}}, now), output);
}

std::vector<TargetFailure> TargetTable::hostListRead(const HostListRead &list, TimePoint now, NodeOutput &output)
{
    return perform(m_monitor.handle(list, now), output);
}

std::vector<TargetFailure> TargetTable::targetReported(const TargetReported &report, TimePoint now, NodeOutput &output)
{
    const auto found = m_targets.find(report.target);
    if (found == m_targets.end()) {
        return {};
    }
    std::vector<TargetFailure> failures =
        perform(m_monitor.handle(TargetPolled{.target = report.target, .outcome = report.outcome}, now), output);
    for (TargetFailure &failure : failures) {
        failure.processTerminated = report.outcome == PollOutcome::ConnectionFailed;
    }
    DeclaredTarget &known = found->second;
    if (report.outcome != PollOutcome::Answered || known.record.kind != TargetKind::Engine) {
        return failures;
    }
    const EngineState &state = report.report.state;
    if (known.state && known.state->incarnation != state.incarnation) {
        output.log("Routing: target " + report.target.value() + " was restarted.");
        failures.push_back({.target = report.target, .processTerminated = true});
    }
    const bool changed = !known.state || known.state->held != state.held;
    known.state = state;
    known.load = report.report.load;
    if (changed) {
        updateRouter(known);
    }
    m_router.applyLoadReport(report.target, report.report.load, now);
    return failures;
}

std::vector<TargetFailure> TargetTable::tick(TimePoint now, NodeOutput &output)
{
    return perform(m_monitor.handle(Tick{}, now), output);
}

void TargetTable::suspect(const TargetId &target, TimePoint now, NodeOutput &output)
{
    (void)perform(m_monitor.handle(TargetSuspected{target}, now), output);
}

void TargetTable::setReserved(const TargetId &target, bool reserved)
{
    DeclaredTarget &known = m_targets.at(target);
    if (std::exchange(known.reserved, reserved) != reserved) {
        updateAvailability(known);
    }
}

bool TargetTable::idle(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.load.runningSteps + found->second.load.queuedSteps == 0;
}

std::string TargetTable::address(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? std::string() : found->second.record.address;
}

const EngineState *TargetTable::state(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() || !found->second.state ? nullptr : &*found->second.state;
}

std::vector<TargetId> TargetTable::targets() const
{
    std::vector<TargetId> targets;
    for (const auto &[id, known] : m_targets) {
        targets.push_back(id);
    }
    return targets;
}

std::vector<TargetFailure> TargetTable::perform(const std::vector<TargetMonitorAction> &actions, NodeOutput &output)
{
    std::vector<TargetFailure> failures;
    for (const TargetMonitorAction &action : actions) {
        if (const auto *poll = std::get_if<PollTarget>(&action)) {
            const TargetRecord &record = m_targets.at(poll->target).record;
            output.add(RequestTargetReport{
                .target = poll->target, .kind = record.kind, .address = record.address, .timeout = poll->timeout});
            continue;
        }
        const auto &change = std::get<TargetAvailabilityChanged>(action);
        output.log(describe(change));
        if (const auto known = m_targets.find(change.target); known != m_targets.end()) {
            updateAvailability(known->second);
        }
        if (change.availability == TargetAvailability::Dead) {
            failures.push_back({.target = change.target});
        }
    }
    return failures;
}

void TargetTable::updateAvailability(const DeclaredTarget &known)
{
    const TargetAvailability monitored = m_monitor.availability(known.record.id);
    // The router penalises suspect targets, so that it avoids a reserved target where others hold the layers.
    const bool avoid = known.reserved && monitored == TargetAvailability::Available;
    m_router.setAvailability(known.record.id, avoid ? TargetAvailability::Suspect : monitored);
}

void TargetTable::updateRouter(const DeclaredTarget &known)
{
    std::vector<HeldRange> held;
    if (known.state) {
        for (const ModelLayers &layers : known.state->held) {
            held.push_back({.target = known.record.id,
                            .model = layers.model,
                            .version = layers.version,
                            .adapter = layers.adapter,
                            .layers = layers.layers});
        }
    }
    m_router.updateTarget(known.record.id,
                          {.layerTokensPerSecond = known.record.layerTokensPerSecond,
                           .linkBytesPerSecond = known.record.linkBytesPerSecond,
                           .linkDelay = {},
                           .failureDomain = known.record.failureDomain,
                           .region = known.record.region},
                          std::move(held));
    updateAvailability(known);
}

} // namespace Carawaymill

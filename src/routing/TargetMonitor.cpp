#include "routing/TargetMonitor.h"

#include <algorithm>
#include <set>

namespace Carawaymill {

/// Grace period after a poll's own timeout, which the caller of `handle` enforces. Guards against a result that the
/// caller never delivers.
static constexpr Duration lostPollGracePeriod = 1s;

TargetMonitor::TargetMonitor(TargetMonitorOptions options)
    : m_options(options)
{
}

std::vector<TargetMonitorAction> TargetMonitor::handle(const TargetMonitorEvent &event, TimePoint now)
{
    Actions actions;
    std::visit([&](const auto &concrete) { on(concrete, now, actions); }, event);
    return actions;
}

TargetAvailability TargetMonitor::availability(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? TargetAvailability::Dead : found->second.reported;
}

void TargetMonitor::on(const TargetsDeclared &event, TimePoint, Actions &actions)
{
    const std::set<TargetId> declared(event.targets.begin(), event.targets.end());
    for (auto known = m_targets.begin(); known != m_targets.end();) {
        if (declared.contains(known->first)) {
            ++known;
            continue;
        }
        actions.emplace_back(
            TargetAvailabilityChanged{.target = known->first, .availability = TargetAvailability::Dead});
        known = m_targets.erase(known);
    }
    for (const TargetId &target : declared) {
        m_targets.try_emplace(target);
    }
}

void TargetMonitor::on(const HostListRead &event, TimePoint, Actions &actions)
{
    std::set<TargetId> leaving;
    for (const ListedTarget &listed : event.targets) {
        if (listed.state == HostListState::Leaving) {
            leaving.insert(listed.target);
        }
    }
    for (auto &[id, target] : m_targets) {
        target.leaving = leaving.contains(id);
        report(id, target, actions);
    }
}

void TargetMonitor::on(const TargetPolled &event, TimePoint now, Actions &actions)
{
    const auto found = m_targets.find(event.target);
    if (found == m_targets.end()) {
        return;
    }
    Target &target = found->second;
    target.pollDeadline.reset();
    target.nextPollAt = now + m_options.pollInterval;
    target.connectionFailed = event.outcome == PollOutcome::ConnectionFailed;
    if (event.outcome == PollOutcome::Answered) {
        target.answered = true;
        target.missedPolls = 0;
    } else {
        ++target.missedPolls;
    }
    report(event.target, target, actions);
}

void TargetMonitor::on(const TargetSuspected &event, TimePoint now, Actions &actions)
{
    const auto found = m_targets.find(event.target);
    if (found != m_targets.end() && !found->second.pollDeadline) {
        poll(event.target, found->second, now, actions);
    }
}

void TargetMonitor::on(const Tick &, TimePoint now, Actions &actions)
{
    for (auto &[id, target] : m_targets) {
        if (target.pollDeadline && now >= *target.pollDeadline) {
            target.pollDeadline.reset();
            ++target.missedPolls;
            report(id, target, actions);
        }
        if (!target.pollDeadline && now >= target.nextPollAt) {
            poll(id, target, now, actions);
        }
    }
}

void TargetMonitor::poll(const TargetId &id, Target &target, TimePoint now, Actions &actions) const
{
    target.pollDeadline = now + m_options.pollTimeout + lostPollGracePeriod;
    actions.emplace_back(PollTarget{.target = id, .timeout = m_options.pollTimeout});
}

TargetAvailability TargetMonitor::evaluate(const Target &target) const
{
    if (!target.answered || target.connectionFailed || target.missedPolls >= m_options.missedPollsUntilDead) {
        return TargetAvailability::Dead;
    }
    if (target.leaving) {
        return TargetAvailability::Leaving;
    }
    return target.missedPolls > 0 ? TargetAvailability::Suspect : TargetAvailability::Available;
}

void TargetMonitor::report(const TargetId &id, Target &target, Actions &actions) const
{
    const TargetAvailability evaluated = evaluate(target);
    if (evaluated != target.reported) {
        target.reported = evaluated;
        actions.emplace_back(TargetAvailabilityChanged{.target = id, .availability = evaluated});
    }
}

const char *availabilityName(TargetAvailability availability)
{
    switch (availability) {
    case TargetAvailability::Available:
        return "available";
    case TargetAvailability::Leaving:
        return "leaving";
    case TargetAvailability::Suspect:
        return "suspect";
    case TargetAvailability::Dead:
        return "dead";
    }
    return "";
}

std::string describe(const TargetAvailabilityChanged &change)
{
    return "Routing: target " + change.target.value() + " is " + availabilityName(change.availability) + ".";
}

} // namespace Carawaymill

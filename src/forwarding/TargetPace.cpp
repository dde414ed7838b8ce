#include "forwarding/TargetPace.h"

#include "support/Seconds.h"

#include <algorithm>
#include <cstdio>

namespace Carawaymill {

/// Reports are this old when they are read.
static constexpr Duration reportLag = 200ms;
/// Reads that may be made at once after a while without any.
static constexpr double readBurst = 3;
/// A greater pace is not believed: the target would get no requests until it is silent and found so.
static constexpr double highestPace = 1000;

static std::string paceText(double pace)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", pace);
    return text;
}

void TargetPace::listed(const DirectoryTarget &target)
{
    State &state = m_targets[target.id];
    if (state.incarnation != target.incarnation) {
        const double applied = state.applied;
        state = State{.incarnation = target.incarnation, .applied = applied};
    }
    state.service = target.service;
}

void TargetPace::unlisted(const TargetId &target)
{
    m_targets.erase(target);
}

void TargetPace::recordWait(const std::vector<PathStage> &path, double shareOfObjective, TimePoint now)
{
    const bool isSlow = shareOfObjective > m_options.slowShare;
    // No wait at all says nothing: the stream has just returned to an earlier attempt.
    if (!isSlow && (shareOfObjective >= m_options.normalShare || shareOfObjective <= 0)) {
        return;
    }
    for (const PathStage &stage : path) {
        const auto found = m_targets.find(stage.target);
        if (found == m_targets.end()) {
            continue;
        }
        State &state = found->second;
        if (!isSlow) {
            state.normalAt = now;
            state.slowStreams = 0;
            continue;
        }
        const bool isRecent = state.slowAt && now - *state.slowAt <= m_options.suspicionPeriod;
        state.slowStreams = isRecent ? state.slowStreams + 1 : 1;
        state.slowAt = now;
    }
}

bool TargetPace::isSuspected(const State &state, TimePoint now) const
{
    const bool wasSlow = state.slowAt && now - *state.slowAt <= m_options.suspicionPeriod;
    const bool isCleared = state.normalAt && now - *state.normalAt <= m_options.clearancePeriod;
    return wasSlow && !isCleared;
}

bool TargetPace::isDue(const State &state, TimePoint now) const
{
    if (state.confirms) {
        return !state.readAt || now - *state.readAt >= m_options.confirmInterval;
    }
    const bool isRead = state.readAt && now - *state.readAt < m_options.readInterval;
    return !isRead && now >= state.toldUntil && isSuspected(state, now);
}

std::vector<ProbeTarget>
TargetPace::readsDue(const std::map<TargetId, DirectoryTarget> &listed, bool trustsLinks, TimePoint now)
{
    const double rate = std::clamp(m_options.readsPerSecond / static_cast<double>(std::max<std::size_t>(m_hosts, 1)),
                                   m_options.fewestReadsPerSecond,
                                   m_options.mostReadsPerSecond);
    m_readTokens = std::min(readBurst, m_readTokens + rate * std::max(0.0, seconds(now - m_readTokensAt)));
    m_readTokensAt = now;
    std::vector<ProbeTarget> probes;
    if (!trustsLinks) {
        return probes;
    }
    std::vector<std::pair<TargetId, State *>> due;
    for (auto &[target, state] : m_targets) {
        if (isDue(state, now)) {
            due.emplace_back(target, &state);
        }
    }
    std::ranges::stable_sort(due, std::greater<>(), [](const auto &entry) {
        return std::pair(entry.second->confirms, entry.second->slowStreams);
    });
    for (const auto &[target, state] : due) {
        const auto found = listed.find(target);
        // About one host confirms a pace, and a confirmation that is late lets all hosts send streams there again.
        if (found == listed.end() || (!state->confirms && m_readTokens < 1)) {
            continue;
        }
        m_readTokens -= state->confirms ? 0 : 1;
        ++m_reads;
        state->readAt = now;
        probes.push_back({.target = target,
                          .address = found->second.address,
                          .timeout = m_options.readTimeout,
                          .purpose = ProbePurpose::Pace});
    }
    return probes;
}

void TargetPace::recordReport(const TargetProbed &probed, TimePoint now)
{
    const auto found = m_targets.find(probed.target);
    if (found == m_targets.end()) {
        return;
    }
    State &state = found->second;
    if (!probed.pace) {
        // A slow target may answer late. One that stays silent is left to what finds silent targets.
        state.confirms = state.confirms && now < state.paceUntil;
        return;
    }
    const bool wasConfirmed = state.confirms;
    const double before = now < state.paceUntil ? state.pace : 1;
    setPace(probed.target, state, *probed.pace, reportLag, HostId(), now);
    state.confirms = state.pace >= m_options.slowPace || (wasConfirmed && state.pace >= m_options.usualPace);
    // Probes of other purposes bring the pace as well: many hosts would tell the same at the same time.
    const bool isTold = state.toldAt && now - *state.toldAt < m_options.readInterval;
    const bool hasChanged = (before >= m_options.usualPace) != (state.pace >= m_options.usualPace);
    if ((state.confirms || wasConfirmed) && (!isTold || hasChanged)) {
        state.toldAt = now;
        tell(probed.target, state);
    }
}

void TargetPace::receive(const TargetObservationReceived &event, TimePoint now)
{
    const TargetObservation &told = event.observation;
    const auto found = m_targets.find(told.target);
    if (found == m_targets.end() || found->second.incarnation != told.incarnation || told.age >= m_options.lifetime) {
        return;
    }
    setPace(told.target, found->second, told.pace, told.age, event.from, now);
    found->second.toldUntil = found->second.paceUntil;
    found->second.toldAt = now;
    // One host is enough to confirm it: of several that read it at the same time the one with the lowest id.
    found->second.confirms = found->second.confirms && m_options.self < event.from;
}

void TargetPace::setPace(
    const TargetId &target, State &state, double pace, Duration age, const HostId &from, TimePoint now)
{
    const double before = now < state.paceUntil ? state.pace : 1;
    state.pace = std::clamp(pace, 1.0, highestPace);
    state.paceUntil = now + m_options.lifetime - age;
    if ((before >= m_options.usualPace) != (state.pace >= m_options.usualPace)) {
        m_log.push_back("Forward: event=slow target=" + target.value() + " pace=" + paceText(state.pace)
                        + " from=" + (from.value().empty() ? "report" : from.value()));
    }
}

void TargetPace::tell(const TargetId &target, const State &state)
{
    m_messages.push_back({{.cause = ObservationCause::Slow,
                           .target = target,
                           .incarnation = state.incarnation,
                           .age = reportLag,
                           .pace = state.pace >= m_options.usualPace ? state.pace : 1}});
}

std::map<ServiceId, double> TargetPace::medians() const
{
    std::map<ServiceId, std::vector<double>> paces;
    for (const auto &[target, state] : m_targets) {
        paces[state.service].push_back(state.pace);
    }
    std::map<ServiceId, double> medians;
    for (auto &[service, values] : paces) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
        std::ranges::nth_element(values, middle);
        medians[service] = std::max(1.0, *middle);
    }
    return medians;
}

std::vector<TargetId> TargetPace::apply(ChainRouter &router, TimePoint now)
{
    std::size_t paced = 0;
    for (auto &[target, state] : m_targets) {
        if (now >= state.paceUntil) {
            state.pace = 1;
        }
        paced += state.pace >= m_options.usualPace ? 1 : 0;
    }
    std::vector<TargetId> slowed;
    if (paced == 0 && std::exchange(m_paced, paced) == 0) {
        return slowed;
    }
    m_paced = paced;
    const std::map<ServiceId, double> median = medians();
    for (auto &[target, state] : m_targets) {
        const double common = median.at(state.service) >= m_options.usualPace ? median.at(state.service) : 1;
        const double relative = state.pace / common;
        const double applied = relative >= m_options.usualPace ? relative : 1;
        if (applied == state.applied) {
            continue;
        }
        if (applied >= m_options.movePace && state.applied < m_options.movePace) {
            slowed.push_back(target);
        }
        state.applied = applied;
        router.setPace(target, applied);
    }
    return slowed;
}

bool TargetPace::isSlow(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.applied >= m_options.movePace;
}

std::size_t TargetPace::slowTargets() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_targets, [](const auto &entry) { return entry.second.applied > 1; }));
}

} // namespace Carawaymill

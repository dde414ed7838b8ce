#include "forwarding/TargetObservations.h"

#include <algorithm>

namespace Carawaymill {

/// For this time after the report of another host a host does not report the same. Shorter than any time for which
/// targets without room are avoided: else the first hosts that return keep it to themselves that there is still none.
static constexpr Duration reportedByOthersPeriod = 150ms;

TargetObservations::TargetObservations(TargetObservationsOptions options)
    : m_options(options)
    , m_random(options.seed)
{
}

void TargetObservations::listed(const TargetId &target, IncarnationNumber incarnation)
{
    const auto [entry, isNew] = m_targets.try_emplace(target);
    if (isNew || entry->second.incarnation != incarnation) {
        entry->second =
            State{.incarnation = incarnation, .toldAt = {}, .noRoomUntil = {}, .failure = {}, .lastFailure = {}};
        m_avoided.erase(target);
    }
}

void TargetObservations::unlisted(const TargetId &target)
{
    m_targets.erase(target);
    m_avoided.erase(target);
}

void TargetObservations::observe(const TargetId &target, ObservationCause cause, Duration age, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    while (!m_sentAt.empty() && now - m_sentAt.front() >= 1s) {
        m_sentAt.pop_front();
    }
    std::optional<TimePoint> &toldAt = found->second.toldAt.at(static_cast<std::size_t>(cause));
    const bool isKnown = toldAt && now - *toldAt < m_options.tellInterval;
    if (isKnown || m_sentAt.size() >= m_options.messagesPerSecond) {
        return;
    }
    toldAt = now;
    m_sentAt.push_back(now);
    ++m_counts.told;
    m_messages.push_back({{.cause = cause, .target = target, .incarnation = found->second.incarnation, .age = age}});
}

void TargetObservations::receive(const TargetObservationReceived &event,
                                 const TargetLiveness &liveness,
                                 ForwardTargets &targets,
                                 ChainRouter &router,
                                 TimePoint now)
{
    const TargetObservation &told = event.observation;
    ++m_counts.heard;
    const auto found = m_targets.find(told.target);
    if (found == m_targets.end() || found->second.incarnation != told.incarnation) {
        return;
    }
    if (told.cause != ObservationCause::NoRoom) {
        const Duration tolerated = std::max(told.age, m_options.signLifetime);
        if (liveness.hasShownSignSince(told.target, now - tolerated)) {
            ++m_counts.contradicted;
            return;
        }
        if (hasToldEnough(event.from, told.target) || hasToldBefore(event.from, found->second, now)) {
            return;
        }
        found->second.lastFailure = {event.from, now};
    }
    std::optional<TimePoint> &toldAt = found->second.toldAt.at(static_cast<std::size_t>(told.cause));
    const TimePoint asIfToldAt = now - (m_options.tellInterval - reportedByOthersPeriod);
    toldAt = std::max(toldAt.value_or(asIfToldAt), asIfToldAt);
    believe(event.from, told, targets, router, now);
}

Duration TargetObservations::between(Duration shortest, Duration longest)
{
    return shortest + std::chrono::duration_cast<Duration>((longest - shortest) * m_random.fraction());
}

void TargetObservations::believe(const HostId &from,
                                 const TargetObservation &observation,
                                 ForwardTargets &targets,
                                 ChainRouter &router,
                                 TimePoint now)
{
    State &state = m_targets.at(observation.target);
    const bool isFailure = observation.cause != ObservationCause::NoRoom;
    const Duration period = isFailure ? between(m_options.shortestFailure, m_options.longestFailure)
                                      : between(m_options.shortestNoRoom, m_options.longestNoRoom);
    const TimePoint until = now + period - observation.age;
    if (until <= now) {
        return;
    }
    if (!m_avoided.contains(observation.target) && from != HostId()) {
        m_log.push_back("Forward: event=told target=" + observation.target.value()
                        + " cause=" + observationCauseName(observation.cause) + " from=" + from.value());
    }
    if (!isFailure) {
        state.noRoomUntil = std::max(state.noRoomUntil.value_or(until), until);
    } else if (!state.failure || until > state.failure->until) {
        state.failure = Failure{.cause = observation.cause, .from = from, .until = until};
    }
    update(observation.target, state, targets, router);
}

bool TargetObservations::hasToldBefore(const HostId &from, const State &state, TimePoint now) const
{
    return state.lastFailure && state.lastFailure->first == from
           && now - state.lastFailure->second < m_options.repeatedFailurePeriod;
}

bool TargetObservations::hasToldEnough(const HostId &from, const TargetId &target) const
{
    const auto count = std::ranges::count_if(m_avoided, [&](const TargetId &avoided) {
        const std::optional<Failure> &failure = m_targets.at(avoided).failure;
        return avoided != target && failure && failure->from == from;
    });
    return static_cast<std::size_t>(count) >= m_options.failuresPerHost;
}

void TargetObservations::recordSign(const TargetId &target, ForwardTargets &targets, ChainRouter &router)
{
    endFailure(target, true, targets, router);
}

void TargetObservations::recordSigns(const std::vector<PathStage> &path, ForwardTargets &targets, ChainRouter &router)
{
    if (m_avoided.empty()) {
        return;
    }
    for (const PathStage &stage : path) {
        endFailure(stage.target, true, targets, router);
    }
}

void TargetObservations::recordProbe(
    const TargetProbed &probed, bool trustsLinks, ForwardTargets &targets, ChainRouter &router, TimePoint now)
{
    if (probed.connected) {
        endFailure(probed.target, probed.reached, targets, router);
    }
    const auto found = m_targets.find(probed.target);
    if (probed.reached || probed.purpose != ProbePurpose::Liveness || !trustsLinks || found == m_targets.end()) {
        return;
    }
    const ObservationCause cause = probed.connected ? ObservationCause::Silent : ObservationCause::Gone;
    observe(probed.target, cause, Duration::zero(), now);
    believe(HostId(),
            {.cause = cause, .target = probed.target, .incarnation = found->second.incarnation},
            targets,
            router,
            now);
}

void TargetObservations::endFailure(const TargetId &target, bool isReply, ForwardTargets &targets, ChainRouter &router)
{
    if (!m_avoided.contains(target)) {
        return;
    }
    State &state = m_targets.at(target);
    if (!state.failure || (!isReply && state.failure->cause == ObservationCause::Silent)) {
        return;
    }
    m_counts.contradicted += state.failure->from == HostId() ? 0 : 1;
    state.failure.reset();
    update(target, state, targets, router);
}

void TargetObservations::tick(ForwardTargets &targets, ChainRouter &router, TimePoint now)
{
    std::vector<TargetId> due;
    for (const TargetId &target : m_avoided) {
        const State &state = m_targets.at(target);
        if ((state.noRoomUntil && now >= *state.noRoomUntil) || (state.failure && now >= state.failure->until)) {
            due.push_back(target);
        }
    }
    for (const TargetId &target : due) {
        State &state = m_targets.at(target);
        if (state.noRoomUntil && now >= *state.noRoomUntil) {
            state.noRoomUntil.reset();
        }
        if (state.failure && now >= state.failure->until) {
            state.failure.reset();
        }
        update(target, state, targets, router);
    }
}

void TargetObservations::update(const TargetId &target,
                                const State &state,
                                ForwardTargets &targets,
                                ChainRouter &router)
{
    const bool isAvoided = state.noRoomUntil || state.failure;
    if (isAvoided ? m_avoided.insert(target).second : m_avoided.erase(target) > 0) {
        targets.setAvoided(target, isAvoided, router);
    }
}

} // namespace Carawaymill

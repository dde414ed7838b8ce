#include "quarantine/Quarantine.h"

#include <algorithm>
#include <sstream>

namespace Carawaymill {

Result<Quarantine, InvalidQuarantineOptions> Quarantine::create(QuarantineOptions options)
{
    const auto durations = {options.crashReportWindow,
                            options.restrictionPeriod,
                            options.clearedRetention,
                            options.isolatedRunTimeout,
                            options.retryAfter,
                            options.reservationContentionPeriod,
                            options.reservationTimeout,
                            options.serviceRetryDelay,
                            options.readInterval};
    const bool positive = std::ranges::all_of(durations, [](Duration duration) { return duration > 0s; });
    if (!positive || options.reportSendCount == 0) {
        return InvalidQuarantineOptions{};
    }
    return Quarantine(std::move(options));
}

Quarantine::Quarantine(QuarantineOptions options)
    : m_options(std::move(options))
{
}

std::string Quarantine::holderName() const
{
    return m_options.self.value() + "#" + std::to_string(m_options.incarnation.value());
}

std::vector<QuarantineAction> Quarantine::handle(const QuarantineEvent &event, TimePoint now)
{
    Actions actions;
    std::visit(Overloaded{
                   [&](const TargetCrashed &crash) { targetCrashed(crash, now, actions); },
                   [&](const RequestCompleted &done) { requestCompleted(done.fingerprint, now, actions); },
                   [&](const IsolatedRunRequested &request) { isolatedRunRequested(request, now, actions); },
                   [&](const IsolatedRunEnded &ended) { isolatedRunEnded(ended.fingerprint, now); },
                   [&](const QuarantineMessageReceived &received) {
                       std::visit(Overloaded{
                                      [&](const CrashReported &report) { recordCrash(report, now); },
                                      [&](const QuarantineAnnounced &message) { applyAnnouncement(message, now); },
                                      [&](const TargetReservationChanged &message) { reserved(message, now); },
                                  },
                                  received.message);
                   },
                   [&](const KeyValueReply &result) { reply(result, now, actions); },
                   [&](const LiftRequested &request) { lift(request.fingerprint, now, actions); },
                   [&](const Tick &) { tick(now, actions); },
               },
               event);
    grantIsolatedRuns(now, actions);
    refreshReservations(now, actions);
    synchronise(now, actions);
    return actions;
}

QuarantineDecision Quarantine::decisionFor(const Fingerprint &fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return RunUnrestricted{};
    }
    const Entry &entry = found->second;
    if (entry.record.state == QuarantineState::Condemned) {
        return RejectRequest{.retryAfter = std::max(entry.expiry - now, m_options.retryAfter), .condemned = true};
    }
    if (now < entry.windowEnd) {
        return RejectRequest{.retryAfter = std::max(entry.windowEnd - now, m_options.retryAfter)};
    }
    if (entry.record.state == QuarantineState::Cleared) {
        return RunUnrestricted{};
    }
    if (entry.record.state == QuarantineState::RunningIsolated || entry.isolatedRunRequested) {
        return RejectRequest{.retryAfter = m_options.retryAfter};
    }
    return RunIsolated{};
}

std::vector<std::pair<Fingerprint, QuarantineRecord>> Quarantine::restrictedRequests() const
{
    std::vector<std::pair<Fingerprint, QuarantineRecord>> listed;
    for (const auto &[fingerprint, entry] : m_entries) {
        if (entry.record.state != QuarantineState::Cleared) {
            listed.emplace_back(fingerprint, entry.record);
        }
    }
    return listed;
}

void Quarantine::change(Entry &entry, QuarantineState state, TimePoint now) const
{
    entry.record.state = state;
    entry.record.holder = state == QuarantineState::RunningIsolated ? holderName() : std::string();
    entry.since = now;
    entry.expiry = now + (state == QuarantineState::Cleared ? m_options.clearedRetention : m_options.restrictionPeriod);
    if (state != QuarantineState::RunningIsolated) {
        entry.runsIsolatedHere = false;
    }
}

bool Quarantine::targetReserved(const TargetId &target, TimePoint now) const
{
    const auto found = m_reservations.find(target);
    return found != m_reservations.end() && now < found->second.until;
}

void Quarantine::targetCrashed(const TargetCrashed &event, TimePoint now, Actions &actions)
{
    if (event.inFlight.empty()) {
        return;
    }
    CrashReported report{
        .id = {.reporter = m_options.self, .incarnation = m_options.incarnation, .number = ++m_lastCrash},
        .target = event.target,
        .inFlight = event.inFlight};
    recordCrash(report, now);
    Crash &crash = m_crashes[event.target];
    crash.own.insert(event.inFlight.begin(), event.inFlight.end());
    crash.repeatsLeft = m_options.reportSendCount - 1;
    crash.nextRepeat = now + m_options.crashReportWindow / (m_options.reportSendCount + 1);
    crash.report = report;
    actions.emplace_back(BroadcastQuarantineMessage{.message = std::move(report)});
}

void Quarantine::recordCrash(const CrashReported &report, TimePoint now)
{
    if (!m_seenReports.emplace(report.id, now + m_options.clearedRetention).second) {
        return;
    }
    Crash &crash = m_crashes[report.target];
    if (crash.inFlight.empty()) {
        crash.windowEnd = now + m_options.crashReportWindow;
    }
    for (const Fingerprint &fingerprint : report.inFlight) {
        crash.inFlight.insert(fingerprint);
        const auto [found, added] = m_entries.try_emplace(fingerprint);
        if (added) {
            change(found->second, QuarantineState::Suspect, now);
        }
        found->second.windowEnd = std::max(found->second.windowEnd, crash.windowEnd);
    }
}

std::optional<Fingerprint> Quarantine::crashCause(const Crash &crash) const
{
    // Suspects run isolated, so the only request of this crash with an earlier crash is taken as the cause of both. A
    // first crash does not identify a cause, even if only one request was running: targets also crash for other
    // reasons, and the caller of that request must still get its response.
    std::optional<Fingerprint> culprit;
    for (const Fingerprint &fingerprint : crash.inFlight) {
        const QuarantineRecord &record = m_entries.at(fingerprint).record;
        const bool free = record.state == QuarantineState::Cleared || record.crashes == 0;
        if (free) {
            continue;
        }
        if (culprit) {
            return std::nullopt;
        }
        culprit = fingerprint;
    }
    return culprit;
}

void Quarantine::evaluateCrash(const Crash &crash, TimePoint now, Actions &actions)
{
    const auto cleared = [&](const Fingerprint &fingerprint) {
        return m_entries.at(fingerprint).record.state == QuarantineState::Cleared;
    };
    const std::optional<Fingerprint> culprit = crashCause(crash);
    const bool allCleared = std::ranges::all_of(crash.inFlight, cleared);
    for (const Fingerprint &fingerprint : crash.inFlight) {
        Entry &entry = m_entries.at(fingerprint);
        if (entry.record.state == QuarantineState::Condemned || (cleared(fingerprint) && !allCleared)) {
            continue;
        }
        const bool condemned = culprit == fingerprint;
        if (culprit && !condemned) {
            // Another request is the cause of this crash.
            change(entry, QuarantineState::Cleared, now);
            continue;
        }
        entry.record.weight += 1.0 / static_cast<double>(crash.inFlight.size());
        ++entry.record.crashes;
        change(entry, condemned ? QuarantineState::Condemned : QuarantineState::Suspect, now);
        actions.emplace_back(QuarantineStateChanged{.fingerprint = fingerprint, .record = entry.record});
        if (crash.own.contains(fingerprint)) {
            // Each host writes only the records of requests that it ran itself: one write per request and crash.
            entry.dirty = true;
            if (condemned) {
                announce(fingerprint, entry, actions);
            }
        }
    }
}

void Quarantine::announce(const Fingerprint &fingerprint, const Entry &entry, Actions &actions) const
{
    actions.emplace_back(
        BroadcastQuarantineMessage{.message = QuarantineAnnounced{.fingerprint = fingerprint, .record = entry.record}});
}

void Quarantine::requestCompleted(const Fingerprint &fingerprint, TimePoint now, Actions &actions)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return;
    }
    const QuarantineState state = found->second.record.state;
    if (state == QuarantineState::Suspect || state == QuarantineState::RunningIsolated) {
        clear(fingerprint, found->second, now, actions);
    }
}

void Quarantine::lift(const Fingerprint &fingerprint, TimePoint now, Actions &actions)
{
    if (const auto found = m_entries.find(fingerprint); found != m_entries.end()) {
        found->second.windowEnd = now;
        clear(fingerprint, found->second, now, actions);
    }
}

void Quarantine::clear(const Fingerprint &fingerprint, Entry &entry, TimePoint now, Actions &actions)
{
    change(entry, QuarantineState::Cleared, now);
    entry.dirty = entry.revision > Revision(0);
    if (entry.isolatedRunRequested || entry.grantAt) {
        // The request is unrestricted now but has no reserved target, so the host must query a new decision.
        reportIsolatedRunDecision(fingerprint, entry, false, actions);
    }
    announce(fingerprint, entry, actions);
    actions.emplace_back(QuarantineStateChanged{.fingerprint = fingerprint, .record = entry.record});
}

void Quarantine::applyAnnouncement(const QuarantineAnnounced &announced, TimePoint now)
{
    const auto [found, added] = m_entries.try_emplace(announced.fingerprint);
    Entry &entry = found->second;
    const bool clears = announced.record.state == QuarantineState::Cleared;
    // A delayed duplicate of an announcement must not undo later changes.
    const bool newer = announced.record.crashes > entry.record.crashes;
    const bool follows = clears && announced.record.crashes == entry.record.crashes;
    if (!added && !newer && !follows && entry.record.state != QuarantineState::Suspect) {
        return;
    }
    if (!added && announced.record.crashes < entry.record.crashes) {
        return;
    }
    entry.record = announced.record;
    change(entry, announced.record.state, now);
    entry.dirty = false;
    if (clears) {
        entry.revision = Revision(0);
    }
}

void Quarantine::tick(TimePoint now, Actions &actions)
{
    for (auto &[target, crash] : m_crashes) {
        if (crash.repeatsLeft > 0 && now >= crash.nextRepeat) {
            --crash.repeatsLeft;
            crash.nextRepeat = now + m_options.crashReportWindow / (m_options.reportSendCount + 1);
            actions.emplace_back(BroadcastQuarantineMessage{.message = crash.report});
        }
        if (now >= crash.windowEnd) {
            evaluateCrash(crash, now, actions);
        }
    }
    std::erase_if(m_crashes, [&](const auto &crash) { return now >= crash.second.windowEnd; });
    std::erase_if(m_seenReports, [&](const auto &seen) { return now >= seen.second; });
    expire(now);
}

void Quarantine::expire(TimePoint now)
{
    for (auto &[fingerprint, entry] : m_entries) {
        const bool here = entry.runsIsolatedHere || entry.isolatedRunRequested;
        if (entry.record.state == QuarantineState::RunningIsolated && !here
            && now - entry.since >= m_options.isolatedRunTimeout) {
            change(entry, QuarantineState::Suspect, now);
        }
        if (entry.record.state != QuarantineState::Cleared && !here && now >= entry.expiry) {
            change(entry, QuarantineState::Cleared, now);
            entry.dirty = entry.revision > Revision(0);
        }
    }
    std::erase_if(m_entries, [&](const auto &item) {
        const Entry &entry = item.second;
        return entry.record.state == QuarantineState::Cleared && !entry.dirty && now >= entry.expiry
               && now >= entry.windowEnd;
    });
}

std::string describe(const QuarantineStateChanged &decision)
{
    static const std::map<QuarantineState, const char *> names{{QuarantineState::Suspect, "a suspect"},
                                                               {QuarantineState::RunningIsolated, "run alone"},
                                                               {QuarantineState::Condemned, "condemned"},
                                                               {QuarantineState::Cleared, "cleared"}};
    std::ostringstream text;
    text << "Quarantine: request " << decision.fingerprint << " is " << names.at(decision.record.state) << " after "
         << decision.record.crashes << " crashes, weight " << decision.record.weight;
    return text.str();
}

} // namespace Carawaymill

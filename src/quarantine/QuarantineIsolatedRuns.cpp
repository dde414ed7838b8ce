#include "quarantine/Quarantine.h"

#include <algorithm>

/// The part of `Quarantine` that grants isolated runs and reserves their targets.
namespace Carawaymill {

void Quarantine::isolatedRunRequested(const IsolatedRunRequested &request, TimePoint now, Actions &actions)
{
    const Fingerprint &fingerprint = request.fingerprint;
    const QuarantineDecision present = decisionFor(fingerprint, now);
    if (const auto *refused = std::get_if<RejectRequest>(&present)) {
        actions.emplace_back(IsolatedRunDecided{.fingerprint = fingerprint, .result = *refused});
        return;
    }
    const bool targetRequested = std::ranges::any_of(m_entries, [&](const auto &item) {
        return item.second.isolatedRunRequested && item.second.isolatedRunTarget == request.target;
    });
    const bool suspect = std::holds_alternative<RunIsolated>(present);
    if (!suspect || targetRequested || targetReserved(request.target, now) || now < m_nextServiceAttempt) {
        actions.emplace_back(IsolatedRunDecided{.fingerprint = fingerprint,
                                                .result = RejectRequest{.retryAfter = m_options.retryAfter}});
        return;
    }
    Entry &entry = m_entries.at(fingerprint);
    entry.isolatedRunRequested = true;
    entry.isolatedRunTarget = request.target;
}

void Quarantine::reportIsolatedRunDecision(const Fingerprint &fingerprint,
                                           Entry &entry,
                                           bool granted,
                                           Actions &actions) const
{
    entry.isolatedRunRequested = false;
    entry.grantAt.reset();
    if (granted) {
        actions.emplace_back(IsolatedRunDecided{.fingerprint = fingerprint, .result = IsolatedRunGranted{}});
    } else {
        actions.emplace_back(IsolatedRunDecided{.fingerprint = fingerprint,
                                                .result = RejectRequest{.retryAfter = m_options.retryAfter}});
    }
}

bool Quarantine::beginIsolatedRun(Entry &entry, TimePoint now)
{
    // A crash, a state change or another host's reservation may have arrived while the commit was pending.
    if (entry.record.state != QuarantineState::Suspect || now < entry.windowEnd
        || targetReserved(entry.isolatedRunTarget, now)) {
        entry.dirty = true;
        return false;
    }
    change(entry, QuarantineState::RunningIsolated, now);
    entry.isolatedRunRequested = false;
    entry.runsIsolatedHere = true;
    entry.dirty = false;
    entry.grantAt = now + m_options.reservationContentionPeriod;
    m_reservations[entry.isolatedRunTarget] = {
        .holder = holderName(), .number = ++m_lastReservation, .until = now + m_options.reservationTimeout};
    return true;
}

void Quarantine::grantIsolatedRuns(TimePoint now, Actions &actions)
{
    for (auto &[fingerprint, entry] : m_entries) {
        if (entry.isolatedRunRequested && entry.record.state != QuarantineState::Suspect) {
            // The request was cleared or condemned, or runs isolated elsewhere: the host must query a new decision.
            reportIsolatedRunDecision(fingerprint, entry, false, actions);
        }
        if (!entry.grantAt || now < *entry.grantAt) {
            continue;
        }
        const auto reservation = m_reservations.find(entry.isolatedRunTarget);
        const bool ours = reservation != m_reservations.end() && reservation->second.holder == holderName();
        const bool granted = entry.runsIsolatedHere && ours && now >= entry.windowEnd;
        if (!granted && entry.runsIsolatedHere) {
            change(entry, QuarantineState::Suspect, now);
            entry.dirty = true;
        }
        reportIsolatedRunDecision(fingerprint, entry, granted, actions);
    }
}

void Quarantine::isolatedRunEnded(const Fingerprint &fingerprint, TimePoint now)
{
    const auto found = m_entries.find(fingerprint);
    // While reports about a crash are collected, the state is decided when the collection ends.
    if (found != m_entries.end() && found->second.runsIsolatedHere && now >= found->second.windowEnd) {
        change(found->second, QuarantineState::Suspect, now);
        found->second.dirty = true;
    }
}

void Quarantine::reserved(const TargetReservationChanged &message, TimePoint now)
{
    const auto found = m_reservations.find(message.target);
    if (!message.reserved) {
        if (found != m_reservations.end() && found->second.holder == message.holder
            && found->second.number == message.number) {
            m_reservations.erase(found);
        }
        std::uint64_t &last = m_lastReservations[{message.holder, message.target}];
        last = std::max(last, message.number);
        return;
    }
    const bool repeated = found != m_reservations.end() && found->second.holder == message.holder
                          && found->second.number == message.number;
    if (repeated) {
        found->second.until = now + m_options.reservationTimeout;
        return;
    }
    if (message.number <= m_lastReservations[{message.holder, message.target}]) {
        return;
    }
    m_lastReservations[{message.holder, message.target}] = message.number;
    // If two hosts reserve a target at the same time, the holder whose name sorts first keeps it.
    const bool held = targetReserved(message.target, now);
    if (!held || message.holder < found->second.holder) {
        m_reservations[message.target] = {
            .holder = message.holder, .number = message.number, .until = now + m_options.reservationTimeout};
    }
}

void Quarantine::announce(const TargetId &target, const Reservation &reservation, bool held, Actions &actions) const
{
    actions.emplace_back(BroadcastQuarantineMessage{
        .message = TargetReservationChanged{
            .target = target, .holder = reservation.holder, .number = reservation.number, .reserved = held}});
}

void Quarantine::refreshReservations(TimePoint now, Actions &actions)
{
    const auto used = [&](const TargetId &target) {
        return std::ranges::any_of(m_entries, [&](const auto &item) {
            return item.second.runsIsolatedHere && item.second.isolatedRunTarget == target;
        });
    };
    for (auto &[target, reservation] : m_reservations) {
        if (reservation.holder != holderName()) {
            continue;
        }
        if (!used(target)) {
            reservation.until = now;
            announce(target, reservation, false, actions);
            continue;
        }
        reservation.until = now + m_options.reservationTimeout;
        if (now >= reservation.nextRepeat) {
            reservation.nextRepeat =
                now + std::min(m_options.reservationTimeout, m_options.reservationContentionPeriod) / 5;
            announce(target, reservation, true, actions);
        }
    }
    std::erase_if(m_reservations, [&](const auto &item) { return now >= item.second.until; });
}

} // namespace Carawaymill

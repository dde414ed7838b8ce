#include "quarantine/Quarantine.h"

#include <algorithm>

/// The part of `Quarantine` that runs suspects alone.
namespace Carawaymill {

void Quarantine::trialWanted(const IsolatedRunRequested &wanted, TimePoint now, Actions &actions)
{
    const Fingerprint &fingerprint = wanted.fingerprint;
    const QuarantineDecision present = decisionFor(fingerprint, now);
    if (const auto *refused = std::get_if<RejectRequest>(&present)) {
        actions.emplace_back(IsolatedRunDecided{.fingerprint = fingerprint, .result = *refused});
        return;
    }
    const bool targetWanted = std::ranges::any_of(m_entries, [&](const auto &item) {
        return item.second.trialWanted && item.second.trialTarget == wanted.target;
    });
    const bool suspect = std::holds_alternative<RunIsolated>(present);
    if (!suspect || targetWanted || targetReserved(wanted.target, now) || now < m_pausedUntil) {
        actions.emplace_back(IsolatedRunDecided{.fingerprint = fingerprint,
                                                .result = RejectRequest{.retryAfter = m_options.retryAfter}});
        return;
    }
    Entry &entry = m_entries.at(fingerprint);
    entry.trialWanted = true;
    entry.trialTarget = wanted.target;
}

void Quarantine::decideTrial(const Fingerprint &fingerprint, Entry &entry, bool granted, Actions &actions) const
{
    entry.trialWanted = false;
    entry.grantAt.reset();
    if (granted) {
        actions.emplace_back(IsolatedRunDecided{.fingerprint = fingerprint, .result = IsolatedRunGranted{}});
    } else {
        actions.emplace_back(IsolatedRunDecided{.fingerprint = fingerprint,
                                                .result = RejectRequest{.retryAfter = m_options.retryAfter}});
    }
}

bool Quarantine::startTrial(Entry &entry, TimePoint now)
{
    // A crash, a verdict or a reservation may have come while the trial was being recorded.
    if (entry.record.state != QuarantineState::Suspect || now < entry.windowEnd
        || targetReserved(entry.trialTarget, now)) {
        entry.dirty = true;
        return false;
    }
    change(entry, QuarantineState::RunningIsolated, now);
    entry.trialWanted = false;
    entry.trialHere = true;
    entry.dirty = false;
    entry.grantAt = now + m_options.reservationContentionPeriod;
    m_reservations[entry.trialTarget] = {
        .holder = holderName(), .number = ++m_lastReservation, .until = now + m_options.reservationTimeout};
    return true;
}

void Quarantine::grantTrials(TimePoint now, Actions &actions)
{
    for (auto &[fingerprint, entry] : m_entries) {
        if (entry.trialWanted && entry.record.state != QuarantineState::Suspect) {
            // It was cleared, condemned or is tried elsewhere: a new verdict is to be asked for.
            decideTrial(fingerprint, entry, false, actions);
        }
        if (!entry.grantAt || now < *entry.grantAt) {
            continue;
        }
        const auto reservation = m_reservations.find(entry.trialTarget);
        const bool ours = reservation != m_reservations.end() && reservation->second.holder == holderName();
        const bool granted = entry.trialHere && ours && now >= entry.windowEnd;
        if (!granted && entry.trialHere) {
            change(entry, QuarantineState::Suspect, now);
            entry.dirty = true;
        }
        decideTrial(fingerprint, entry, granted, actions);
    }
}

void Quarantine::trialEnded(const Fingerprint &fingerprint, TimePoint now)
{
    const auto found = m_entries.find(fingerprint);
    // After a crash the state is decided at the end of its window.
    if (found != m_entries.end() && found->second.trialHere && now >= found->second.windowEnd) {
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
    // Of two hosts that reserve one target at the same time, the one with the smaller name keeps it.
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

void Quarantine::repeatReservations(TimePoint now, Actions &actions)
{
    const auto used = [&](const TargetId &target) {
        return std::ranges::any_of(
            m_entries, [&](const auto &item) { return item.second.trialHere && item.second.trialTarget == target; });
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

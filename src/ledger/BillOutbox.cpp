#include "ledger/BillOutbox.h"

#include <algorithm>

namespace Carawaymill {

Result<BillOutbox, InvalidBillOutboxOptions> BillOutbox::create(BillOutboxOptions options)
{
    const bool counts = options.shards > 0 && options.billLimit > 0 && options.batchLimit > 0;
    if (!counts || options.sendInterval <= 0s || options.resendInterval <= 0s
        || options.maximumResendInterval < options.resendInterval) {
        return InvalidBillOutboxOptions{};
    }
    return BillOutbox(std::move(options));
}

BillOutbox::BillOutbox(BillOutboxOptions options)
    : m_options(std::move(options))
{
}

void BillOutbox::Resend::sent(Duration shortest, Duration longest, TimePoint now)
{
    pause = std::clamp(2 * pause, shortest, longest);
    next = now + pause;
}

void BillOutbox::Unrecorded::dropThrough(BillSequence through)
{
    if (first <= through) {
        resend.acknowledged();
    }
    while (!bills.empty() && first <= through) {
        bills.pop_front();
        first = first.next();
    }
}

std::vector<Bill> BillOutbox::Unrecorded::slice(BillSequence from, std::size_t limit) const
{
    const std::size_t begin = std::min<std::size_t>(from.value() - first.value(), bills.size());
    const std::size_t end = std::min(begin + limit, bills.size());
    return {bills.begin() + static_cast<std::ptrdiff_t>(begin), bills.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::vector<BillOutboxAction> BillOutbox::handle(const BillOutboxEvent &event, TimePoint now)
{
    Actions actions;
    std::visit(Overloaded{
                   [&](const BillEarned &bill) { earned(bill, now, actions); },
                   [&](const CopyKeeperChosen &chosen) { keeperChosen(chosen); },
                   [&](const BillSourceGone &gone) {
                       IncarnationNumber &last = m_gone[gone.source.host];
                       last = std::max(last, gone.source.incarnation);
                   },
                   [&](const ShardOwnerLearned &learned) {
                       if (learned.owner) {
                           m_owners[learned.shard] = *learned.owner;
                       } else {
                           m_owners.erase(learned.shard);
                       }
                   },
                   [&](const LedgerMessageReceived &message) { received(message, now, actions); },
                   [&](const Tick &) { tick(now, actions); },
               },
               event);
    return actions;
}

void BillOutbox::earned(const BillEarned &earned, TimePoint now, Actions &actions)
{
    if (!hasRoom()) {
        actions.emplace_back(BillLost{.bill = earned.bill});
        return;
    }
    m_own.bills.push_back(earned.bill);
    sendCopies(now, actions);
}

void BillOutbox::keeperChosen(const CopyKeeperChosen &chosen)
{
    if (chosen.keeper == m_keeper) {
        return;
    }
    if (m_keeper) {
        m_formerKeepers.insert(*m_keeper);
    }
    m_keeper = chosen.keeper;
    if (m_keeper) {
        m_formerKeepers.erase(*m_keeper);
    }
    m_copiedThrough = recordedThrough();
    m_copySentThrough = m_copiedThrough;
    m_copyResend.acknowledged();
}

void BillOutbox::received(const LedgerMessageReceived &received, TimePoint now, Actions &actions)
{
    std::visit(Overloaded{
                   [&](const BillsRecorded &message) { recorded(message); },
                   [&](const BillsCopied &message) { copied(received.from, message, actions); },
                   [&](const BillCopiesKept &message) { kept(received.from, message, now, actions); },
                   [](const auto &) {},
               },
               received.message);
}

void BillOutbox::recorded(const BillsRecorded &recorded)
{
    if (recorded.stream == m_options.self) {
        m_own.dropThrough(recorded.through);
        m_copiedThrough = std::max(m_copiedThrough, recordedThrough());
    } else if (const auto part = m_kept.find(recorded.stream); part != m_kept.end()) {
        part->second.dropThrough(recorded.through);
        if (part->second.bills.empty()) {
            m_kept.erase(part);
        }
    }
}

void BillOutbox::copied(const HostId &from, const BillsCopied &copied, Actions &actions)
{
    Unrecorded &part = m_kept[copied.stream];
    part.dropThrough(copied.recordedThrough);
    if (part.bills.empty()) {
        part.first = copied.recordedThrough.next();
    }
    BillSequence sequence = copied.first;
    for (const Bill &bill : copied.bills) {
        // A gap would make the owner take the missing bills for recorded ones.
        if (sequence == part.last().next() && part.bills.size() < m_options.billLimit) {
            part.bills.push_back(bill);
        }
        sequence = sequence.next();
    }
    actions.emplace_back(
        SendLedgerMessage{.to = from, .message = BillCopiesKept{.stream = copied.stream, .through = part.last()}});
    if (part.bills.empty()) {
        m_kept.erase(copied.stream);
    }
}

void BillOutbox::kept(const HostId &from, const BillCopiesKept &kept, TimePoint now, Actions &actions)
{
    if (from != m_keeper || kept.stream != m_options.self) {
        return;
    }
    if (kept.through > m_copiedThrough) {
        m_copyResend.acknowledged();
        m_copyResend.next = now + m_options.copyResendInterval;
    }
    // A keeper that was restarted has fewer copies than before.
    m_copiedThrough = std::max(kept.through, recordedThrough());
    m_copySentThrough = std::max(m_copiedThrough, std::min(m_copySentThrough, m_own.last()));
    if (m_copiedThrough < m_own.last()) {
        return;
    }
    for (const HostId &former : m_formerKeepers) {
        actions.emplace_back(SendLedgerMessage{
            .to = former,
            .message = BillsCopied{
                .stream = m_options.self, .first = m_own.last().next(), .bills = {}, .recordedThrough = m_own.last()}});
    }
    m_formerKeepers.clear();
}

BillSequence BillOutbox::keptThrough() const
{
    return std::clamp(m_copiedThrough, recordedThrough(), m_own.last());
}

BillSequence BillOutbox::safeThrough() const
{
    return m_keeper ? keptThrough() : m_own.last();
}

std::size_t BillOutbox::uncopied() const
{
    return m_own.last().value() - keptThrough().value();
}

std::size_t BillOutbox::copies() const
{
    std::size_t copies = 0;
    for (const auto &[stream, part] : m_kept) {
        copies += part.bills.size();
    }
    return copies;
}

void BillOutbox::tick(TimePoint now, Actions &actions)
{
    sendDue(m_options.self, m_own, now, actions);
    sendCopies(now, actions);
    for (auto &[stream, part] : m_kept) {
        const auto gone = m_gone.find(stream.host);
        if (gone != m_gone.end() && stream.incarnation <= gone->second) {
            sendDue(stream, part, now, actions);
        }
    }
}

void BillOutbox::sendDue(const HostLife &stream, Unrecorded &part, TimePoint now, Actions &actions)
{
    const ShardNumber shard = shardOf(stream, m_options.shards);
    const auto owner = m_owners.find(shard);
    if (part.bills.empty() || owner == m_owners.end()) {
        return;
    }
    // One message is under way at a time, so that an outage does not fill the link with the same bills.
    const bool outstanding = part.sentThrough >= part.first;
    if (now < (outstanding ? part.resend.next : part.nextSend)) {
        return;
    }
    part.sentThrough = std::min(part.last(), BillSequence(part.first.value() + m_options.batchLimit - 1));
    part.nextSend = now + m_options.sendInterval;
    part.resend.sent(m_options.resendInterval, m_options.maximumResendInterval, now);
    actions.emplace_back(
        SendLedgerMessage{.to = owner->second,
                          .message = BillsReported{.shard = shard,
                                                   .stream = stream,
                                                   .first = part.first,
                                                   .bills = part.slice(part.first, m_options.batchLimit)}});
}

void BillOutbox::sendCopies(TimePoint now, Actions &actions)
{
    if (!m_keeper || m_own.bills.empty()) {
        return;
    }
    // Copies that are not acknowledged in time are sent again; without any, the message asks what the keeper has.
    const bool resend = now >= m_copyResend.next;
    const BillSequence from =
        std::max(resend ? m_copiedThrough : std::max(m_copiedThrough, m_copySentThrough), recordedThrough()).next();
    std::vector<Bill> bills = m_own.slice(from, m_options.batchLimit);
    if (!resend && bills.empty()) {
        return;
    }
    m_copySentThrough = BillSequence(from.value() + bills.size() - 1);
    m_copyResend.sent(m_options.copyResendInterval, m_options.maximumResendInterval, now);
    actions.emplace_back(SendLedgerMessage{
        .to = *m_keeper,
        .message = BillsCopied{
            .stream = m_options.self, .first = from, .bills = std::move(bills), .recordedThrough = recordedThrough()}});
}

} // namespace Carawaymill

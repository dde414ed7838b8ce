#include "ledger/LedgerShardOwner.h"

#include <algorithm>
#include <sstream>

namespace Carawaymill {

Result<LedgerShardOwner, InvalidLedgerShardOwnerOptions> LedgerShardOwner::create(LedgerShardOwnerOptions options)
{
    const auto durations = {options.groupInterval,
                            options.periodLength,
                            options.foldInterval,
                            options.executionLimit,
                            options.callTimeout,
                            options.retryPause,
                            options.retryAfter};
    const bool positive = std::ranges::all_of(durations, [](Duration duration) { return duration > 0s; });
    if (!positive || options.store.rememberedPeriods < 2 || options.waitingLimit == 0) {
        return InvalidLedgerShardOwnerOptions{};
    }
    return LedgerShardOwner(options);
}

LedgerShardOwner::LedgerShardOwner(LedgerShardOwnerOptions options)
    : m_options(options)
    , m_store(options.store)
    , m_table(options.executionLimit)
    , m_queue(options.waitingLimit)
{
}

std::vector<ShardOwnerAction> LedgerShardOwner::handle(const ShardOwnerEvent &event, TimePoint now)
{
    Actions actions;
    std::visit(Overloaded{
                   [&](const LeaseAcquired &lease) { leaseAcquired(lease, now, actions); },
                   [&](const LeaseLost &lease) { leaseLost(lease, actions); },
                   [&](const LedgerMessageReceived &received) { message(received, now, actions); },
                   [&](const KeyValueReply &result) { reply(result, now, actions); },
                   [&](const ClaimantGone &gone) { m_table.claimantGone(gone.claimant); },
                   [](const Tick &) {},
               },
               event);
    proceed(now, actions);
    return actions;
}

void LedgerShardOwner::leaseAcquired(const LeaseAcquired &lease, TimePoint now, Actions &actions)
{
    if (lease.scope != shardScope(m_options.store.shard) || lease.fencingNumber <= m_fencingNumber) {
        return;
    }
    if (m_state != State::NotOwner) {
        giveUp(actions);
    }
    m_fencingNumber = lease.fencingNumber;
    m_pausedUntil = now;
    m_resend = false;
    m_state = State::ReadingHead;
}

void LedgerShardOwner::leaseLost(const LeaseLost &lease, Actions &actions)
{
    const bool ours = lease.scope == shardScope(m_options.store.shard) && lease.fencingNumber >= m_fencingNumber;
    if (ours && m_state != State::NotOwner) {
        giveUp(actions);
    }
}

void LedgerShardOwner::message(const LedgerMessageReceived &received, TimePoint now, Actions &actions)
{
    std::visit(Overloaded{
                   [&](const ClaimRequested &request) { claimRequested(received.from, request, now, actions); },
                   [&](const OutcomeReported &report) { outcomeReported(received.from, report, actions); },
                   [&](const BillsReported &report) { billsReported(received.from, report, actions); },
                   [](const auto &) {},
               },
               received.message);
}

void LedgerShardOwner::claimRequested(const HostId &from,
                                      const ClaimRequested &request,
                                      TimePoint now,
                                      Actions &actions)
{
    if (request.shard != m_options.store.shard) {
        return;
    }
    if (m_state != State::Serving) {
        decide(from, request.attempt, unavailable(), actions);
        return;
    }
    // A message that was under way for a whole period may be older than what is remembered.
    if (request.period.next() < m_store.period() || request.period > m_store.period()) {
        actions.emplace_back(SendLedgerMessage{
            .to = from,
            .message =
                ClaimPeriodStale{.shard = request.shard, .attempt = request.attempt, .period = m_store.period()}});
        return;
    }
    if (m_queue.hasClaim(request.attempt)) {
        return;
    }
    if (auto verdict = m_table.verdict(request, now)) {
        decide(from, request.attempt, *verdict, actions);
    } else if (now < m_pausedUntil || !m_queue.addClaim({.from = from, .request = request})) {
        decide(from, request.attempt, unavailable(), actions);
    }
}

void LedgerShardOwner::outcomeReported(const HostId &from, const OutcomeReported &report, Actions &actions)
{
    if (m_state != State::Serving || report.shard != m_options.store.shard) {
        return;
    }
    m_queue.dropClaim(report.attempt);
    if (m_table.changes(report) || m_queue.hasClaim(report.attempt)) {
        m_queue.addOutcome({.from = from, .report = report});
        return;
    }
    acknowledge({.from = from, .report = report}, actions);
}

void LedgerShardOwner::billsReported(const HostId &from, const BillsReported &report, Actions &actions)
{
    if (m_state != State::Serving || report.shard != m_options.store.shard || report.bills.empty()) {
        return;
    }
    const BillSequence through = m_store.bills().recordedThrough(report.stream);
    if (report.first.value() + report.bills.size() - 1 <= through.value()) {
        actions.emplace_back(SendLedgerMessage{
            .to = from, .message = BillsRecorded{.shard = report.shard, .stream = report.stream, .through = through}});
        return;
    }
    m_queue.addBills({.from = from, .report = report});
}

void LedgerShardOwner::reply(const KeyValueReply &reply, TimePoint now, Actions &actions)
{
    if (m_callUnderWay != reply.id) {
        return;
    }
    m_callUnderWay.reset();
    if (m_state == State::Serving) {
        commitReply(reply.result, now, actions);
    } else {
        takeOverReply(reply.result, now, actions);
    }
}

void LedgerShardOwner::takeOverReply(const KeyValueResult &result, TimePoint now, Actions &actions)
{
    if (m_state == State::WritingHead) {
        const CommitFate fate = m_store.judge(result);
        if (fate == CommitFate::TookEffect) {
            m_resend = false;
            m_state = State::Loading;
        } else if (fate == CommitFate::Uncertain || fate == CommitFate::NoEffect) {
            m_resend = true;
            m_pausedUntil = now + m_options.retryPause;
        } else {
            // A former owner may have changed the head meanwhile; reading it again tells who is newer.
            m_resend = false;
            m_state = State::ReadingHead;
        }
        return;
    }
    const auto *range = std::get_if<RangeRead>(&result);
    if (!range) {
        m_pausedUntil = now + m_options.retryPause;
    } else if (m_state == State::Loading) {
        load(*range, now, actions);
    } else {
        auto commit = m_store.takeOver(*range, m_fencingNumber);
        if (auto *write = std::get_if<Commit>(&commit)) {
            m_commit = std::move(*write);
            m_state = State::WritingHead;
        } else {
            giveUp(actions);
        }
    }
}

void LedgerShardOwner::load(const RangeRead &range, TimePoint now, Actions &actions)
{
    const auto loaded = m_store.load(range);
    if (std::holds_alternative<ShardReadStale>(loaded)) {
        m_pausedUntil = now + m_options.retryPause;
        return;
    }
    if (!std::holds_alternative<LoadedShard>(loaded)) {
        giveUp(actions);
        return;
    }
    m_table.forgetAll();
    for (const LoadedEntry &entry : std::get<LoadedShard>(loaded).entries) {
        m_table.apply(entry.entry, entry.period, now);
    }
    m_table.forgetBefore(m_store.firstRememberedPeriod());
    m_state = State::Serving;
    m_nextCommit = now;
    m_nextFold = now + m_options.foldInterval;
    m_periodEnd = now + m_options.periodLength;
    actions.emplace_back(ShardOwnerDecision(ShardServed{.fencingNumber = m_fencingNumber, .claims = m_table.size()}));
}

void LedgerShardOwner::commitReply(const KeyValueResult &result, TimePoint now, Actions &actions)
{
    switch (m_store.judge(result)) {
    case CommitFate::TookEffect:
        tookEffect(now, actions);
        break;
    case CommitFate::NoEffect:
        // Claims are refused at once; outcomes and bills wait for the next commit.
        m_pausedUntil = now + m_options.retryPause;
        refuseClaims(false, actions);
        m_queue.returnGroup();
        break;
    case CommitFate::Uncertain:
        m_resend = true;
        ++m_uncertainReplies;
        if (m_uncertainReplies > 1) {
            m_pausedUntil = now + m_options.retryPause;
            refuseClaims(true, actions);
        }
        break;
    case CommitFate::PrepareAgain:
        m_commit = m_store.prepare(m_group);
        m_resend = true;
        break;
    case CommitFate::Lost:
        giveUp(actions);
        break;
    }
}

void LedgerShardOwner::tookEffect(TimePoint now, Actions &actions)
{
    m_resend = false;
    m_uncertainReplies = 0;
    for (const LedgerEntry &entry : m_group.entries) {
        m_table.apply(entry, m_store.period(), now);
    }
    if (m_group.advancePeriod) {
        m_table.forgetBefore(m_store.firstRememberedPeriod());
        m_periodEnd = now + m_options.periodLength;
    }
    const ShardWork work = m_queue.takeCommitted();
    for (const WaitingClaim &claim : work.claims) {
        decide(claim.from, claim.request.attempt, ClaimGranted{}, actions);
    }
    for (const WaitingOutcome &outcome : work.outcomes) {
        acknowledge(outcome, actions);
    }
    for (const WaitingBills &bills : work.bills) {
        const HostLife &stream = bills.report.stream;
        actions.emplace_back(SendLedgerMessage{
            .to = bills.from,
            .message = BillsRecorded{
                .shard = m_options.store.shard, .stream = stream, .through = m_store.bills().recordedThrough(stream)}});
    }
    answerWaiting(now, actions);
}

void LedgerShardOwner::answerWaiting(TimePoint now, Actions &actions)
{
    std::erase_if(m_queue.waitingClaims(), [&](const WaitingClaim &claim) {
        const auto verdict = m_table.verdict(claim.request, now);
        if (verdict) {
            decide(claim.from, claim.request.attempt, *verdict, actions);
        }
        return verdict.has_value();
    });
}

void LedgerShardOwner::proceed(TimePoint now, Actions &actions)
{
    if (m_state == State::NotOwner || m_callUnderWay || now < m_pausedUntil) {
        return;
    }
    if (m_state != State::Serving) {
        proceedTakeOver(actions);
        return;
    }
    if (m_resend) {
        m_resend = false;
        call(m_commit, actions);
        return;
    }
    const bool due = !m_queue.empty() || now >= m_periodEnd || (now >= m_nextFold && m_store.bills().hasTotals());
    if (due && now >= m_nextCommit) {
        formGroup(now, actions);
    }
}

void LedgerShardOwner::proceedTakeOver(Actions &actions)
{
    if (m_state == State::ReadingHead) {
        call(ReadRange{.prefix = shardHeadKey(m_options.store.shard)}, actions);
    } else if (m_state == State::WritingHead) {
        call(m_commit, actions);
    } else {
        call(ReadRange{.prefix = shardPrefix(m_options.store.shard)}, actions);
    }
}

void LedgerShardOwner::formGroup(TimePoint now, Actions &actions)
{
    m_group = {.advancePeriod = now >= m_periodEnd, .foldUsage = now >= m_nextFold && m_store.bills().hasTotals()};
    m_queue.formGroup(m_store, m_group);
    if (now >= m_nextFold) {
        m_nextFold = now + m_options.foldInterval;
    }
    m_nextCommit = now + m_options.groupInterval;
    m_commit = m_store.prepare(m_group);
    call(m_commit, actions);
}

void LedgerShardOwner::call(KeyValueRequest request, Actions &actions)
{
    m_lastCall = m_lastCall.next();
    m_callUnderWay = m_lastCall;
    actions.emplace_back(
        KeyValueCall{.id = m_lastCall, .request = std::move(request), .timeout = m_options.callTimeout});
}

void LedgerShardOwner::refuseClaims(bool groupMayBeRecorded, Actions &actions)
{
    const std::vector<WaitingClaim> waiting = m_queue.takeWaitingClaims();
    const auto refuse = [&](const std::vector<WaitingClaim> &claims, bool mayBeRecorded) {
        for (const WaitingClaim &claim : claims) {
            decide(claim.from,
                   claim.request.attempt,
                   ClaimUnavailable{.retryAfter = m_options.retryAfter, .mayBeRecorded = mayBeRecorded},
                   actions);
        }
    };
    refuse(waiting, false);
    refuse(m_queue.committingClaims(), groupMayBeRecorded);
    if (const std::size_t claims = waiting.size() + m_queue.committingClaims().size(); claims > 0) {
        actions.emplace_back(ShardOwnerDecision(ClaimsRefused{.claims = claims}));
    }
}

void LedgerShardOwner::giveUp(Actions &actions)
{
    refuseClaims(true, actions);
    m_queue.clear();
    m_callUnderWay.reset();
    m_resend = false;
    m_uncertainReplies = 0;
    m_state = State::NotOwner;
    actions.emplace_back(ShardOwnerDecision(ShardGivenUp{.fencingNumber = m_fencingNumber}));
}

void LedgerShardOwner::acknowledge(const WaitingOutcome &outcome, Actions &actions)
{
    const OutcomeReported &report = outcome.report;
    actions.emplace_back(SendLedgerMessage{
        .to = outcome.from,
        .message = OutcomeRecorded{.shard = report.shard,
                                   .attempt = report.attempt,
                                   .answered = std::holds_alternative<ClaimAnswered>(report.outcome)}});
}

void LedgerShardOwner::decide(const HostId &to,
                              const ClaimAttempt &attempt,
                              ClaimVerdict verdict,
                              Actions &actions) const
{
    actions.emplace_back(SendLedgerMessage{
        .to = to,
        .message = ClaimDecided{.shard = m_options.store.shard, .attempt = attempt, .verdict = std::move(verdict)}});
}

LeaseScopeId shardScope(ShardNumber shard)
{
    return LeaseScopeId("ledger/" + std::to_string(shard.value()));
}

std::string describe(ShardNumber shard, const ShardOwnerDecision &decision)
{
    std::ostringstream text;
    text << "Ledger: shard " << shard;
    std::visit(
        Overloaded{
            [&](const ShardServed &served) {
                text << " is served with fencing number " << served.fencingNumber << " and " << served.claims
                     << " claims";
            },
            [&](const ShardGivenUp &given) { text << " is given up with fencing number " << given.fencingNumber; },
            [&](const ClaimsRefused &refused) { text << " refused " << refused.claims << " claims as not run"; },
        },
        decision);
    return text.str();
}

} // namespace Carawaymill

#include "ledger/LedgerClient.h"

#include <algorithm>
#include <sstream>

namespace Carawaymill {

Result<LedgerClient, InvalidLedgerClientOptions> LedgerClient::create(LedgerClientOptions options)
{
    const auto durations = {options.verdictTimeout,
                            options.resendInterval,
                            options.reportInterval,
                            options.maximumReportInterval - options.reportInterval + 1us,
                            options.retryAfter,
                            options.lateMessageLimit};
    const bool positive = std::ranges::all_of(durations, [](Duration duration) { return duration > 0s; });
    if (!positive || options.shards == 0 || options.reportLimit == 0) {
        return InvalidLedgerClientOptions{};
    }
    return LedgerClient(std::move(options));
}

LedgerClient::LedgerClient(LedgerClientOptions options)
    : m_options(std::move(options))
{
}

std::vector<LedgerClientAction> LedgerClient::handle(const LedgerClientEvent &event, TimePoint now)
{
    Actions actions;
    std::visit(Overloaded{
                   [&](const ClaimWanted &claim) { wanted(claim, now, actions); },
                   [&](const CallEnded &end) { ended(end, now, actions); },
                   [&](const ShardOwnerLearned &learned) {
                       if (learned.owner) {
                           m_owners[learned.shard] = *learned.owner;
                       } else {
                           m_owners.erase(learned.shard);
                       }
                   },
                   [&](const LedgerMessageReceived &message) { received(message.message, now, actions); },
                   [&](const Tick &) { tick(now, actions); },
               },
               event);
    return actions;
}

void LedgerClient::wanted(const ClaimWanted &wanted, TimePoint now, Actions &actions)
{
    const ClaimKey key = claimKey(wanted.organisation, wanted.key);
    const ShardNumber shard = shardOf(key, m_options.shards);
    const ClaimAttempt attempt{.claimant = m_options.self, .number = ++m_lastAttempt};
    OpenClaim claim{.call = wanted.call,
                    .request = {.shard = shard,
                                .attempt = attempt,
                                .key = key,
                                .request = wanted.request,
                                .period = m_periods[shard]},
                    .targetsHonourKey = wanted.targetsHonourKey,
                    .deadline = now + m_options.verdictTimeout};
    if (!m_owners.contains(shard)) {
        giveUp(claim, {.retryAfter = m_options.retryAfter}, now, actions);
        return;
    }
    send(m_open.emplace(attempt, std::move(claim)).first->second, now, actions);
}

void LedgerClient::send(OpenClaim &claim, TimePoint now, Actions &actions)
{
    claim.nextSend = now + m_options.resendInterval;
    if (const auto owner = m_owners.find(claim.request.shard); owner != m_owners.end()) {
        claim.asked.insert(owner->second);
        actions.emplace_back(SendLedgerMessage{.to = owner->second, .message = claim.request});
    }
}

void LedgerClient::received(const LedgerMessage &message, TimePoint now, Actions &actions)
{
    std::visit(Overloaded{
                   [&](const ClaimDecided &verdict) { decided(verdict, now, actions); },
                   [&](const ClaimPeriodStale &stale) { periodStale(stale, now, actions); },
                   [&](const OutcomeRecorded &acknowledged) { recorded(acknowledged); },
                   [](const auto &) {},
               },
               message);
}

void LedgerClient::decided(const ClaimDecided &decided, TimePoint now, Actions &actions)
{
    if (const auto open = m_open.find(decided.attempt); open != m_open.end()) {
        const OpenClaim claim = std::move(open->second);
        m_open.erase(open);
        finish(claim, decided.verdict, now, actions);
        return;
    }
    const auto givenUp = m_givenUp.find(decided.attempt);
    if (givenUp != m_givenUp.end() && std::holds_alternative<ClaimGranted>(decided.verdict)) {
        // The call was told to be not run, so the key has to become free again.
        report(decided.attempt, givenUp->second.key, ClaimReleased{}, now, actions);
    }
}

void LedgerClient::finish(const OpenClaim &claim, const ClaimVerdict &verdict, TimePoint now, Actions &actions)
{
    std::visit(Overloaded{
                   [&](const ClaimUnavailable &refused) { giveUp(claim, refused, now, actions); },
                   [&](const ClaimGranted &granted) {
                       m_running[claim.call] = {.attempt = claim.request.attempt, .key = claim.request.key};
                       actions.emplace_back(CallDecided{.call = claim.call, .verdict = granted});
                   },
                   [&](const auto &other) { actions.emplace_back(CallDecided{.call = claim.call, .verdict = other}); },
               },
               verdict);
}

void LedgerClient::giveUp(const OpenClaim &claim, const ClaimUnavailable &refused, TimePoint now, Actions &actions)
{
    const ClaimRequested &request = claim.request;
    if (claim.targetsHonourKey) {
        m_running[claim.call] = {.attempt = request.attempt, .key = request.key};
        actions.emplace_back(CallDecided{.call = claim.call, .verdict = ClaimWaived{}});
        return;
    }
    m_givenUp[request.attempt] = {.key = request.key, .until = now + m_options.lateMessageLimit};
    const Duration retryAfter = std::max(refused.retryAfter, m_options.retryAfter);
    actions.emplace_back(CallDecided{.call = claim.call, .verdict = ClaimUnavailable{.retryAfter = retryAfter}});
    // An owner answers only for itself, not for a former one that was asked as well.
    if (refused.mayBeRecorded || claim.asked.size() > 1) {
        report(request.attempt, request.key, ClaimReleased{}, now, actions);
    }
}

void LedgerClient::periodStale(const ClaimPeriodStale &stale, TimePoint now, Actions &actions)
{
    LedgerPeriod &period = m_periods[stale.shard];
    period = std::max(period, stale.period);
    const auto open = m_open.find(stale.attempt);
    if (open != m_open.end() && open->second.request.period < period) {
        open->second.request.period = period;
        send(open->second, now, actions);
    }
}

void LedgerClient::ended(const CallEnded &ended, TimePoint now, Actions &actions)
{
    const auto running = m_running.find(ended.call);
    if (running == m_running.end()) {
        return;
    }
    const RunningCall call = running->second;
    if (std::holds_alternative<ClaimOutcomeUnknown>(ended.outcome)) {
        running->second.until = now + m_options.lateMessageLimit;
    } else {
        m_running.erase(running);
    }
    report(call.attempt, call.key, ended.outcome, now, actions);
}

void LedgerClient::report(
    const ClaimAttempt &attempt, const ClaimKey &key, ClaimOutcome outcome, TimePoint now, Actions &actions)
{
    const ShardNumber shard = shardOf(key, m_options.shards);
    Report &report = m_reports[attempt];
    report.message = {.shard = shard, .attempt = attempt, .key = key, .outcome = std::move(outcome)};
    send(report, now, actions);
    if (m_reports.size() > m_options.reportLimit) {
        actions.emplace_back(OutcomeReportDropped{.key = m_reports.begin()->second.message.key});
        m_reports.erase(m_reports.begin());
    }
}

void LedgerClient::send(Report &report, TimePoint now, Actions &actions)
{
    report.pause = std::clamp(2 * report.pause, m_options.reportInterval, m_options.maximumReportInterval);
    report.nextSend = now + report.pause;
    if (const auto owner = m_owners.find(report.message.shard); owner != m_owners.end()) {
        actions.emplace_back(SendLedgerMessage{.to = owner->second, .message = report.message});
    }
}

void LedgerClient::recorded(const OutcomeRecorded &recorded)
{
    const auto waiting = m_reports.find(recorded.attempt);
    if (waiting == m_reports.end()) {
        return;
    }
    // The acknowledgement of an unknown outcome must not end the report of the answer that followed it.
    if (recorded.answered || !std::holds_alternative<ClaimAnswered>(waiting->second.message.outcome)) {
        m_reports.erase(waiting);
    }
}

void LedgerClient::tick(TimePoint now, Actions &actions)
{
    std::vector<OpenClaim> late;
    std::erase_if(m_open, [&](const auto &open) {
        if (now >= open.second.deadline) {
            late.push_back(open.second);
        }
        return now >= open.second.deadline;
    });
    for (const OpenClaim &claim : late) {
        giveUp(claim, {.retryAfter = m_options.retryAfter, .mayBeRecorded = true}, now, actions);
    }
    for (auto &[attempt, claim] : m_open) {
        if (now >= claim.nextSend) {
            send(claim, now, actions);
        }
    }
    for (auto &[attempt, waiting] : m_reports) {
        if (now >= waiting.nextSend) {
            send(waiting, now, actions);
        }
    }
    std::erase_if(m_givenUp, [&](const auto &givenUp) { return now >= givenUp.second.until; });
    std::erase_if(m_running, [&](const auto &call) { return call.second.until && now >= *call.second.until; });
}

std::string describe(const CallDecided &decision)
{
    std::ostringstream text;
    text << "Ledger: call " << decision.call;
    std::visit(Overloaded{
                   [&](const ClaimGranted &) { text << " may run"; },
                   [&](const ClaimWaived &) { text << " may run without a claim, its targets keep the key"; },
                   [&](const AlreadyClaimed &claimed) {
                       std::visit(Overloaded{
                                      [&](const ClaimInProgress &) { text << " is in progress elsewhere"; },
                                      [&](const ClaimAnswered &) { text << " was answered before"; },
                                      [&](const ClaimOutcomeUnknown &) { text << " may have run before"; },
                                  },
                                  claimed.state);
                   },
                   [&](const KeyMismatch &) { text << " repeats the key of another request"; },
                   [&](const ClaimUnavailable &) { text << " is not run, no claim can be made"; },
               },
               decision.verdict);
    return text.str();
}

} // namespace Carawaymill

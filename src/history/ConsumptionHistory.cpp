#include "history/HistoryChecker.h"

#include <algorithm>

/// The checks of limits and bills.
namespace Carawaymill {

HistoryChecker::Violations HistoryChecker::checkLimits() const
{
    Violations violations;
    for (const LimitSeen &limit : m_history.limits) {
        checkLimit(limit, violations);
    }
    return violations;
}

bool HistoryChecker::reachedTarget(const RequestSeen &request) const
{
    const auto isOf = [&](const auto &seen) { return seen.request == request.number; };
    return std::ranges::any_of(m_history.serviceRuns, isOf) || std::ranges::any_of(m_history.jobs, isOf);
}

/// In no period are more requests admitted than the rate, the burst and the stated error allow.
///
/// A request may wait for its turn, so that the time at which it was admitted lies anywhere between its sending and its
/// end: a period is charged with the requests that were both sent and ended in it. A request whose connection was cut
/// may have been waiting still: it was admitted if a target was given it.
void HistoryChecker::checkLimit(const LimitSeen &limit, Violations &violations) const
{
    struct Admitted
    {
        TimePoint sentAt;
        TimePoint endedAt;
    };

    std::vector<Admitted> admitted;
    for (const RequestSeen &request : m_history.requests) {
        const auto *problem = std::get_if<ProblemSeen>(&request.end);
        const bool refused = problem != nullptr && problem->ran == RanClaim::No;
        const bool ended = !std::holds_alternative<NoEndSeen>(request.end);
        const bool waited = std::holds_alternative<ConnectionCut>(request.end) && !reachedTarget(request);
        if (request.organisation == limit.organisation && !refused && ended && !waited) {
            admitted.push_back({.sentAt = request.sentAt, .endedAt = std::max(request.sentAt, request.endedAt)});
        }
    }
    std::ranges::sort(admitted, {}, &Admitted::endedAt);
    for (const Admitted &first : admitted) {
        std::size_t count = 0;
        for (const Admitted &last : admitted) {
            count += last.sentAt >= first.sentAt ? 1 : 0;
            const double seconds = std::chrono::duration<double>(last.endedAt - first.sentAt).count();
            const double allowed = (limit.requestsPerSecond * seconds + limit.burst) * (1 + limit.statedError);
            if (last.sentAt >= first.sentAt && static_cast<double>(count) > allowed) {
                violations.push_back(
                    LimitPassed{.organisation = limit.organisation, .admitted = count, .allowed = allowed});
                return;
            }
        }
    }
}

HistoryChecker::Violations HistoryChecker::checkBills() const
{
    Violations violations;
    for (const UsageSeen &usage : m_history.usage) {
        UsageSeen answered{.organisation = usage.organisation};
        for (const RequestSeen &request : m_history.requests) {
            const auto *ask = std::get_if<ModelAsk>(&request.ask);
            if (ask != nullptr && request.organisation == usage.organisation
                && std::holds_alternative<WholeAnswerSeen>(request.end)) {
                ++answered.jobs;
                answered.tokens += ask->promptTokens + ask->generatedTokens;
            }
        }
        if (answered.jobs != usage.jobs || answered.tokens != usage.tokens) {
            violations.push_back(
                WronglyBilled{.organisation = usage.organisation, .answered = answered.jobs, .billed = usage.jobs});
        }
    }
    return violations;
}

} // namespace Carawaymill

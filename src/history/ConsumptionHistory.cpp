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

/// In no period are more requests admitted than the rate, the burst and the stated error allow.
void HistoryChecker::checkLimit(const LimitSeen &limit, Violations &violations) const
{
    std::vector<TimePoint> admitted;
    for (const RequestSeen &request : m_history.requests) {
        const auto *problem = std::get_if<ProblemSeen>(&request.end);
        const bool refused = problem != nullptr && problem->ran == RanClaim::No;
        if (request.organisation == limit.organisation && !refused) {
            admitted.push_back(request.sentAt);
        }
    }
    std::ranges::sort(admitted);
    for (std::size_t first = 0; first < admitted.size(); ++first) {
        for (std::size_t last = first; last < admitted.size(); ++last) {
            const double seconds = std::chrono::duration<double>(admitted[last] - admitted[first]).count();
            const double allowed = (limit.requestsPerSecond * seconds + limit.burst) * (1 + limit.statedError);
            const std::size_t count = last - first + 1;
            if (static_cast<double>(count) > allowed) {
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

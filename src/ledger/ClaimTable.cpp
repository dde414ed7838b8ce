#include "ledger/ClaimTable.h"

#include <algorithm>

namespace Carawaymill {

/// An answer is final, and so is a release; an unknown outcome may still turn out to be an answer.
static bool mayFollow(const std::optional<ClaimOutcome> &present, const ClaimOutcome &next)
{
    if (!present) {
        return true;
    }
    return std::holds_alternative<ClaimOutcomeUnknown>(*present) && std::holds_alternative<ClaimAnswered>(next);
}

void ClaimTable::apply(const LedgerEntry &entry, LedgerPeriod period, TimePoint now)
{
    std::visit(Overloaded{
                   [&](const ClaimMade &made) {
                       m_claims.insert_or_assign(made.key,
                                                 Claim{.request = made.request,
                                                       .attempt = made.attempt,
                                                       .outcome = std::nullopt,
                                                       .period = period,
                                                       .since = now});
                   },
                   [&](const ClaimEnded &ended) {
                       const auto claim = m_claims.find(ended.key);
                       if (claim == m_claims.end() || claim->second.attempt != ended.attempt) {
                           return;
                       }
                       if (mayFollow(claim->second.outcome, ended.outcome)) {
                           claim->second.outcome = ended.outcome;
                       }
                   },
               },
               entry);
}

std::optional<ClaimVerdict> ClaimTable::verdict(const ClaimRequested &request, TimePoint now) const
{
    const auto found = m_claims.find(request.key);
    if (found == m_claims.end()) {
        return std::nullopt;
    }
    const Claim &claim = found->second;
    if (claim.outcome && std::holds_alternative<ClaimReleased>(*claim.outcome)) {
        // A late double of the attempt that was released must not hold the key again.
        if (claim.attempt == request.attempt) {
            return ClaimUnavailable{};
        }
        return std::nullopt;
    }
    if (claim.request != request.request) {
        return KeyMismatch{};
    }
    const auto present = state(claim, now);
    if (claim.attempt == request.attempt && std::holds_alternative<ClaimInProgress>(present)) {
        return ClaimGranted{};
    }
    return AlreadyClaimed{.state = present};
}

std::variant<ClaimInProgress, ClaimAnswered, ClaimOutcomeUnknown> ClaimTable::state(const Claim &claim,
                                                                                    TimePoint now) const
{
    if (claim.outcome) {
        if (const auto *answered = std::get_if<ClaimAnswered>(&*claim.outcome)) {
            return *answered;
        }
        return ClaimOutcomeUnknown{};
    }
    const auto gone = m_gone.find(claim.attempt.claimant.host);
    const bool claimantGone = gone != m_gone.end() && claim.attempt.claimant.incarnation <= gone->second;
    if (claimantGone || now - claim.since >= m_executionLimit) {
        return ClaimOutcomeUnknown{};
    }
    return ClaimInProgress{};
}

bool ClaimTable::changes(const OutcomeReported &report) const
{
    const auto claim = m_claims.find(report.key);
    return claim != m_claims.end() && claim->second.attempt == report.attempt
           && mayFollow(claim->second.outcome, report.outcome);
}

void ClaimTable::claimantGone(const HostLife &claimant)
{
    IncarnationNumber &gone = m_gone[claimant.host];
    gone = std::max(gone, claimant.incarnation);
}

void ClaimTable::forgetBefore(LedgerPeriod first)
{
    std::erase_if(m_claims, [&](const auto &claim) { return claim.second.period < first; });
}

} // namespace Carawaymill

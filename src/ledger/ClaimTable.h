#pragma once

#include "ledger/LedgerMessages.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace Carawaymill {

/// The claims of one shard that are remembered, as the shard's segments tell.
class ClaimTable
{
public:
    /// A call without an outcome so long after its claim counts as unknown.
    explicit ClaimTable(Duration executionLimit)
        : m_executionLimit(executionLimit)
    {
    }

    /// Takes in an entry that is in the key-value service, in the order of the segments.
    void apply(const LedgerEntry &entry, LedgerPeriod period, TimePoint now);

    /// What is to be answered, or nothing if the key is free for this attempt.
    [[nodiscard]] std::optional<ClaimVerdict> verdict(const ClaimRequested &request, TimePoint now) const;

    /// Whether recording the outcome would change the table.
    [[nodiscard]] bool changes(const OutcomeReported &report) const;

    /// The process has ended: its calls without an outcome may or may not have run.
    void claimantGone(const HostLife &claimant);

    /// Forgets the claims of all periods before `first`.
    void forgetBefore(LedgerPeriod first);

    void forgetAll() { m_claims.clear(); }

    /// Number of remembered claims.
    [[nodiscard]] std::size_t size() const { return m_claims.size(); }

private:
    struct Claim
    {
        RequestHash request;
        ClaimAttempt attempt;
        /// Nothing while the call is in progress.
        std::optional<ClaimOutcome> outcome;
        LedgerPeriod period;
        TimePoint since;
    };

    [[nodiscard]] std::variant<ClaimInProgress, ClaimAnswered, ClaimOutcomeUnknown> state(const Claim &claim,
                                                                                          TimePoint now) const;

    Duration m_executionLimit;
    std::unordered_map<ClaimKey, Claim> m_claims;
    /// Largest incarnation of each host that is known to have ended.
    std::map<HostId, IncarnationNumber> m_gone;
};

} // namespace Carawaymill

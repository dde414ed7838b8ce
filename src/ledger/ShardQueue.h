#pragma once

#include "ledger/LedgerMessages.h"
#include "ledger/ShardStore.h"

#include <optional>
#include <vector>

/// What waits for a commit of one shard.
namespace Carawaymill {

struct WaitingClaim
{
    HostId from;
    ClaimRequested request;
};

struct WaitingOutcome
{
    HostId from;
    OutcomeReported report;
};

struct WaitingBills
{
    HostId from;
    BillsReported report;
};

struct ShardWork
{
    std::vector<WaitingClaim> claims;
    std::vector<WaitingOutcome> outcomes;
    std::vector<WaitingBills> bills;

    [[nodiscard]] bool empty() const { return claims.empty() && outcomes.empty() && bills.empty(); }
};

/// Collects claims, outcomes and bills, each once, and forms groups of them. One group is committed at a time.
class ShardQueue
{
public:
    /// Each kind of work may wait so many times.
    explicit ShardQueue(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// Whether the attempt waits or is being committed.
    [[nodiscard]] bool hasClaim(const ClaimAttempt &attempt) const;

    /// Returns whether there was room.
    [[nodiscard]] bool addClaim(WaitingClaim claim);

    /// Leaves out what waits already and what there is no room for: the sender sends it again.
    /// Of each stream of bills one report waits.
    void addOutcome(WaitingOutcome outcome);
    void addBills(WaitingBills bills);

    /// Removes a waiting claim that its claimant has given up.
    void dropClaim(const ClaimAttempt &attempt);

    /// Whether nothing waits; a group being committed does not count.
    [[nodiscard]] bool empty() const { return m_waiting.empty(); }

    /// Moves as much work as fits into one commit from waiting to being committed.
    void formGroup(const ShardStore &store, ShardGroup &group);

    /// The group took effect.
    [[nodiscard]] ShardWork takeCommitted();

    /// The group had no effect: outcomes and bills wait again, claims are dropped.
    void returnGroup();

    /// Removes the claims that wait, to refuse them.
    [[nodiscard]] std::vector<WaitingClaim> takeWaitingClaims();

    [[nodiscard]] const std::vector<WaitingClaim> &committingClaims() const { return m_committing.claims; }

    /// Claims that wait, to be answered and removed.
    [[nodiscard]] std::vector<WaitingClaim> &waitingClaims() { return m_waiting.claims; }

    void clear();

private:
    /// Cuts the group after `fitting` entries; what is cut off waits again.
    void cutGroup(ShardGroup &group, std::size_t fitting);

    std::size_t m_limit;
    ShardWork m_waiting;
    ShardWork m_committing;
};

} // namespace Carawaymill

#pragma once

#include "lease/LeaseRecords.h"
#include "lease/LeaseSession.h"
#include "support/Random.h"

#include <memory>
#include <optional>
#include <vector>

namespace Carawaymill {

struct LeaseScopeOptions
{
    LeaseScopeId scope;
    HostId host;
    std::uint64_t seed = 1;
    /// See `LeaseManagerOptions`.
    Duration contentionSpread{};
    Duration maximumRetryDelay{};
};

/// All that a scope's decisions depend on besides its own state.
struct LeaseScopeSituation
{
    TimePoint now;
    LeaseScopeRecords records;
    /// Whether `records` have been read yet.
    bool recordsKnown = false;
    /// This host's lease, valid or not.
    std::optional<LeaseId> lease;
    bool leaseValid = false;
    TimePoint validUntil;

    /// Whether the scope's record is bound to this host's lease.
    [[nodiscard]] bool isOurs() const { return lease && records.lease && records.lease->lease == lease; }

    [[nodiscard]] bool isTakenByOther() const { return records.lease && !isOurs(); }
};

/// What the scope wants done; a `Commit` must be answered by one of the handlers below.
using LeaseScopeOutput = std::variant<Commit, LeaseAcquired, LeaseLost>;

/// One scope as seen from this host: waiting for it, trying for it, holding it or giving it up.
///
/// Every acquisition is one commit that demands that the scope's two records are as they were last known, so a commit
/// that arrives late, after others have moved on, cannot take effect.
class LeaseScope
{
public:
    explicit LeaseScope(const LeaseScopeOptions &options);
    ~LeaseScope();
    LeaseScope(LeaseScope &&) noexcept;
    LeaseScope &operator=(LeaseScope &&) noexcept;
    LeaseScope(const LeaseScope &) = delete;
    LeaseScope &operator=(const LeaseScope &) = delete;

    void setWanted(bool wanted);

    /// Makes the decisions that are due.
    [[nodiscard]] std::vector<LeaseScopeOutput> evaluate(const LeaseScopeSituation &situation);

    /// The last commit took effect; the situation includes that.
    [[nodiscard]] std::vector<LeaseScopeOutput> handleCommitted(const LeaseScopeSituation &situation);

    /// The last commit was refused by a condition; the situation includes the present records.
    [[nodiscard]] std::vector<LeaseScopeOutput> handleRefused(const LeaseScopeSituation &situation);

    /// The service could not be reached; the last commit had no effect.
    [[nodiscard]] std::vector<LeaseScopeOutput> handleUnavailable(const LeaseScopeSituation &situation);

    /// The last commit may or may not have taken effect.
    [[nodiscard]] std::vector<LeaseScopeOutput> handleUnanswered(const LeaseScopeSituation &situation);

    /// This host's lease is no longer surely valid.
    [[nodiscard]] std::vector<LeaseScopeOutput> handleLeaseEnded(const LeaseScopeSituation &situation);

    /// Whether a commit has been returned and not been answered.
    [[nodiscard]] bool awaitsAnswer() const;

    /// Whether this host holds the scope, provided that its lease is valid.
    [[nodiscard]] std::optional<FencingNumber> heldNumber() const;

    /// Whether the scope needs this host to have a lease.
    [[nodiscard]] bool needsLease(const LeaseScopeSituation &situation) const;

    /// Whether the scope waits for another host or for the first reading.
    [[nodiscard]] bool waits() const;

    /// Whether the scope is neither wanted, held nor being given up.
    [[nodiscard]] bool isIdle() const;

private:
    struct Machine;

    std::unique_ptr<Machine> m_machine;
};

} // namespace Carawaymill

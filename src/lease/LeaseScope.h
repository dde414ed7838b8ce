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
    /// This and `maximumRetryDelay` are as in `LeaseManagerOptions`.
    Duration contentionSpread{};
    Duration maximumRetryDelay{};
};

/// The input of a scope's decisions, besides its own state.
struct LeaseScopeSituation
{
    TimePoint now;
    LeaseScopeRecords records;
    /// Whether `records` have been read yet.
    bool recordsKnown = false;
    /// This host's lease, valid or expired.
    std::optional<LeaseId> lease;
    bool leaseValid = false;
    TimePoint validUntil;
    /// Era of the key-value service; std::nullopt if it is unknown.
    std::optional<StoreEra> era = std::nullopt;

    /// Whether the scope's record is bound to this host's lease.
    [[nodiscard]] bool isHeldByThisHost() const { return lease && records.lease && records.lease->lease == lease; }

    [[nodiscard]] bool isHeldByOther() const { return records.lease && !isHeldByThisHost(); }
};

/// An action of a scope. The caller reports the result of a `Commit` to one of the handlers of `LeaseScope`.
using LeaseScopeOutput = std::variant<Commit, LeaseAcquired, LeaseLost>;

/// The state machine of one scope on this host: waiting for the scope, acquiring, holding or releasing it.
///
/// A scope is acquired by one commit, on the condition that the scope's two records are unchanged since this host last
/// saw them. A delayed commit therefore has no effect once another host has acquired the scope.
class LeaseScope
{
public:
    explicit LeaseScope(const LeaseScopeOptions &options);
    ~LeaseScope();
    LeaseScope(LeaseScope &&) noexcept;
    LeaseScope &operator=(LeaseScope &&) noexcept;
    LeaseScope(const LeaseScope &) = delete;
    LeaseScope &operator=(const LeaseScope &) = delete;

    void setRequested(bool requested);

    /// Makes the transitions that the situation allows.
    [[nodiscard]] std::vector<LeaseScopeOutput> evaluate(const LeaseScopeSituation &situation);

    /// The last commit took effect; `situation` includes its writes.
    [[nodiscard]] std::vector<LeaseScopeOutput> handleCommitted(const LeaseScopeSituation &situation);

    /// The last commit was rejected by one of its conditions; `situation` includes the current records.
    [[nodiscard]] std::vector<LeaseScopeOutput> handleRefused(const LeaseScopeSituation &situation);

    /// The key-value service could not be reached; the last commit had no effect.
    [[nodiscard]] std::vector<LeaseScopeOutput> handleUnavailable(const LeaseScopeSituation &situation);

    /// The last commit may or may not have taken effect.
    [[nodiscard]] std::vector<LeaseScopeOutput> handleOutcomeUnknown(const LeaseScopeSituation &situation);

    /// It is no longer certain that this host's lease is valid.
    [[nodiscard]] std::vector<LeaseScopeOutput> handleLeaseEnded(const LeaseScopeSituation &situation);

    /// Whether a commit was returned whose result has not been reported.
    [[nodiscard]] bool awaitsResponse() const;

    /// The fencing number if this host holds the scope, provided that its lease is valid.
    [[nodiscard]] std::optional<FencingNumber> heldNumber() const;

    /// Whether the scope needs this host to have a lease.
    [[nodiscard]] bool needsLease(const LeaseScopeSituation &situation) const;

    /// Whether this host waits to acquire the scope.
    [[nodiscard]] bool isWaiting() const;

    /// Whether the scope is neither requested, held nor being released.
    [[nodiscard]] bool isIdle() const;

private:
    struct Machine;

    std::unique_ptr<Machine> m_machine;
};

} // namespace Carawaymill

#pragma once

#include "lease/LeaseScope.h"
#include "support/Backoff.h"
#include "support/Random.h"

#include <optional>
#include <vector>

namespace Carawaymill {

/// Guards and actions of the state machine of a `LeaseScope`.
class LeaseScopeContext
{
public:
    explicit LeaseScopeContext(const LeaseScopeOptions &options);

    [[nodiscard]] bool isRequested(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isNotRequested(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isReadyToAcquire(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isAbandonedButMayBeHeld(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isAbandonedAndFree(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isLeaseValid(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isReadyToRelease(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isReleased(const LeaseScopeSituation &situation) const;

    void sendAcquisition(const LeaseScopeSituation &situation);
    void sendRelease(const LeaseScopeSituation &situation);
    void announceAcquired(const LeaseScopeSituation &situation);
    void announceReleased(const LeaseScopeSituation &situation);
    void announceLost(const LeaseScopeSituation &situation);
    void retryNow(const LeaseScopeSituation &situation);
    void retryWithBackoff(const LeaseScopeSituation &situation);
    /// Records that the commit in flight may still take effect at any time.
    void recordUnknownOutcome(const LeaseScopeSituation &situation);
    void clearUnknownOutcome(const LeaseScopeSituation &situation);

    /// Schedules the next attempt once the scope is free, after a random delay that differs between the waiting hosts.
    void scheduleAttempt(const LeaseScopeSituation &situation);

    /// Whether the key-value service may show this host as the holder, now or after a delayed commit.
    [[nodiscard]] bool mayBeHeld(const LeaseScopeSituation &situation) const;

    bool requested = false;
    bool awaitsResponse = false;
    /// The fencing number that the commit in flight writes; once the scope is held, the number of this holder.
    FencingNumber number;
    std::vector<LeaseScopeOutput> outputs;

private:
    [[nodiscard]] Commit acquireCommit(const LeaseScopeSituation &situation) const;
    [[nodiscard]] Commit releaseCommit(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isDue(const LeaseScopeSituation &situation) const;
    void send(Commit commit);

    LeaseScopeOptions m_options;
    Random m_random;
    Backoff m_backoff;
    std::optional<TimePoint> m_attemptAt;
    /// The lease of a commit whose outcome is unknown and which may still take effect.
    std::optional<LeaseId> m_unconfirmedLease;
};

} // namespace Carawaymill

#pragma once

#include "lease/LeaseScope.h"
#include "support/Backoff.h"
#include "support/Random.h"

#include <optional>
#include <vector>

namespace Carawaymill {

/// What the state machine of a `LeaseScope` tests and does; only the machine calls this.
class LeaseScopeContext
{
public:
    explicit LeaseScopeContext(const LeaseScopeOptions &options);

    [[nodiscard]] bool isWanted(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isNotWanted(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isReadyToAcquire(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isAbandonedButMayBeHeld(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isAbandonedAndFree(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isLeaseValid(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isReadyToSurrender(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isSurrendered(const LeaseScopeSituation &situation) const;

    void sendAcquisition(const LeaseScopeSituation &situation);
    void sendSurrender(const LeaseScopeSituation &situation);
    void announceAcquired(const LeaseScopeSituation &situation);
    void announceReleased(const LeaseScopeSituation &situation);
    void announceLost(const LeaseScopeSituation &situation);
    void tryAgainSoon(const LeaseScopeSituation &situation);
    void tryAgainLater(const LeaseScopeSituation &situation);
    /// The commit in flight may still take effect, at any time.
    void rememberUncertainty(const LeaseScopeSituation &situation);
    void forgetUncertainty(const LeaseScopeSituation &situation);

    /// Sets the time of the next try once the scope is seen free, spread over the hosts that wait for it.
    void planAttempt(const LeaseScopeSituation &situation);

    /// Whether the service may show this host as the holder, now or after a late commit.
    [[nodiscard]] bool mayBeHeld(const LeaseScopeSituation &situation) const;

    bool wanted = false;
    bool awaitsAnswer = false;
    /// The number that the commit in flight writes, then the number held.
    FencingNumber number;
    std::vector<LeaseScopeOutput> outputs;

private:
    [[nodiscard]] Commit acquisition(const LeaseScopeSituation &situation) const;
    [[nodiscard]] Commit surrender(const LeaseScopeSituation &situation) const;
    [[nodiscard]] bool isDue(const LeaseScopeSituation &situation) const;
    void send(Commit commit);

    LeaseScopeOptions m_options;
    Random m_random;
    Backoff m_backoff;
    std::optional<TimePoint> m_attemptAt;
    /// A commit with this lease may still take effect.
    std::optional<LeaseId> m_uncertainLease;
};

} // namespace Carawaymill

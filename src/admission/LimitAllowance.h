#pragma once

#include "admission/ShareMessages.h"
#include "catalogue/Records.h"
#include "support/Time.h"

#include <map>
#include <utility>

namespace Carawaymill {

/// An allocator in one of its lives.
using ShareSource = std::pair<HostId, ProcessEpoch>;

/// What this host may consume of one limit: its own share and the shares that it was granted, until they expire.
///
/// Requests and tokens are counted by token buckets, which fill at the rate of the present share and hold one second
/// of it, or one waiting request. Tokens are reserved at admission and settled at the end.
class LimitAllowance
{
public:
    LimitAllowance(Limits limits, LimitShare ownShare, TimePoint now);

    /// Lets time pass: fills the buckets and ends grants that expire.
    void advance(TimePoint now);
    void setLimits(const Limits &limits, TimePoint now);
    void setOwnShare(LimitShare share, TimePoint now);
    /// Replaces what `source` has granted.
    void setGrant(const ShareSource &source, LimitShare share, TimePoint until, TimePoint now);
    /// Gives back what is held of `source` above `share`.
    void lowerGrant(const ShareSource &source, LimitShare share, TimePoint now);

    /// What `source` has granted and has not expired.
    [[nodiscard]] LimitShare grantedBy(const ShareSource &source) const;
    /// The present share in all.
    [[nodiscard]] LimitShare share() const;

    /// Counts a request towards the demand, once for each request.
    void offer(TokenCount tokens, TimePoint now);
    /// Whether a request of so many tokens fits now.
    [[nodiscard]] bool fits(TokenCount tokens, TimePoint now);
    /// How long until a request of so many tokens may fit; 0 if it fits now. A request that does not fit counts as
    /// waiting for a second.
    [[nodiscard]] Duration timeUntilFit(TokenCount tokens, TimePoint now);
    /// How long the request would have to wait at least if this host had the whole limit from now on.
    [[nodiscard]] Duration leastTimeUntilFit(TokenCount tokens) const;
    /// Takes a request that fits.
    void take(TokenCount tokens, TimePoint now);
    /// Ends a job and returns the reserved tokens that it did not use.
    void settle(TokenCount reserved, TokenCount used, TimePoint now);

    /// The share that this host should ask for besides its own.
    [[nodiscard]] LimitShare wanted(TimePoint now);

    /// Whether no request can ever fit.
    [[nodiscard]] bool allowsNothing() const;

    [[nodiscard]] std::uint32_t jobsInProgress() const { return m_jobs; }

private:
    struct Grant
    {
        LimitShare share;
        TimePoint until;
    };

    /// What was offered in one second.
    struct Offered
    {
        double requests = 0;
        double tokens = 0;
    };

    void fill(Duration duration);
    void clamp();
    void rollWindow(TimePoint now);
    [[nodiscard]] double fraction() const;
    /// Whether the share leaves room for one more job.
    [[nodiscard]] bool jobFits() const;
    /// What the buckets lack for a request; not positive if it fits.
    [[nodiscard]] double missingRequests() const;
    [[nodiscard]] double missingTokens(TokenCount tokens) const;
    [[nodiscard]] double demandedFraction(TimePoint now) const;

    Limits m_limits;
    LimitShare m_ownShare;
    std::map<ShareSource, Grant> m_grants;
    TimePoint m_last;
    double m_requests = 0;
    double m_tokens = 0;
    std::uint32_t m_jobs = 0;
    double m_waitingTokens = 0;
    TimePoint m_waitingUntil{};
    TimePoint m_windowStart;
    Offered m_current;
    Offered m_previous;
};

} // namespace Carawaymill

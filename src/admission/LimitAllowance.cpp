#include "admission/LimitAllowance.h"

#include "support/Seconds.h"

#include <algorithm>
#include <cmath>

namespace Carawaymill {

/// The buckets hold what the share gives in this time.
static constexpr double burstSeconds = 1.0;
static constexpr Duration window = 1s;
/// More is asked for than is used, so that a growing load is not held up.
static constexpr double headroom = 1.25;
/// A request that does not fit counts as waiting for so long, unless it is tried again.
static constexpr Duration waitingTime = 1s;
/// The wait that is told when nothing is known of when a share or a job's end comes.
static constexpr Duration unknownWait = 200ms;
/// Keeps rounding from turning a whole share into a part of a request.
static constexpr double tolerance = 1e-6;

static Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::ceil(value * 1e6) * 1e-6));
}

LimitAllowance::LimitAllowance(Limits limits, LimitShare ownShare, TimePoint now)
    : m_limits(limits)
    , m_ownShare(ownShare)
    , m_last(now)
    , m_windowStart(now)
{
}

LimitShare LimitAllowance::share() const
{
    LimitShare sum = m_ownShare;
    for (const auto &[source, grant] : m_grants) {
        sum += grant.share;
    }
    return std::min(sum, wholeLimit);
}

double LimitAllowance::fraction() const
{
    return static_cast<double>(share().value()) / wholeLimit.value();
}

bool LimitAllowance::allowsNothing() const
{
    return m_limits.requestsPerSecond <= 0 || m_limits.tokensPerSecond <= 0 || m_limits.jobsInProgress == 0;
}

void LimitAllowance::fill(Duration duration)
{
    const double share = fraction() * seconds(duration);
    m_requests += m_limits.requestsPerSecond * share;
    m_tokens += m_limits.tokensPerSecond * share;
    clamp();
}

void LimitAllowance::clamp()
{
    // A bucket that holds less than one request could never admit it; it may save up only while one waits.
    const bool waiting = m_last < m_waitingUntil;
    const double burst = fraction() * burstSeconds;
    const double mostRequests = std::max(m_limits.requestsPerSecond * burst, waiting ? 1.0 : 0.0);
    const double mostTokens = std::max(m_limits.tokensPerSecond * burst, waiting ? m_waitingTokens : 0.0);
    m_requests = std::min(m_requests, mostRequests);
    m_tokens = std::min(m_tokens, mostTokens);
}

void LimitAllowance::advance(TimePoint now)
{
    while (m_last < now) {
        TimePoint end = now;
        for (const auto &[source, grant] : m_grants) {
            end = std::min(end, std::max(grant.until, m_last));
        }
        const Duration elapsed = end - m_last;
        m_last = end;
        fill(elapsed);
        std::erase_if(m_grants, [&](const auto &entry) { return entry.second.until <= m_last; });
    }
    clamp();
}

void LimitAllowance::setLimits(const Limits &limits, TimePoint now)
{
    advance(now);
    m_limits = limits;
    clamp();
}

void LimitAllowance::setOwnShare(LimitShare share, TimePoint now)
{
    advance(now);
    m_ownShare = share;
    clamp();
}

void LimitAllowance::setGrant(const ShareSource &source, LimitShare share, TimePoint until, TimePoint now)
{
    advance(now);
    m_grants.erase(source);
    if (share > LimitShare(0) && until > now) {
        m_grants.emplace(source, Grant{.share = share, .until = until});
    }
    clamp();
}

void LimitAllowance::lowerGrant(const ShareSource &source, LimitShare share, TimePoint now)
{
    advance(now);
    if (const auto found = m_grants.find(source); found != m_grants.end()) {
        found->second.share = std::min(found->second.share, share);
    }
    clamp();
}

LimitShare LimitAllowance::grantedBy(const ShareSource &source) const
{
    const auto found = m_grants.find(source);
    return found == m_grants.end() ? LimitShare(0) : found->second.share;
}

void LimitAllowance::rollWindow(TimePoint now)
{
    if (now < m_windowStart + window) {
        return;
    }
    const bool adjacent = now < m_windowStart + 2 * window;
    m_previous = adjacent ? m_current : Offered{};
    m_current = Offered{};
    m_windowStart = adjacent ? m_windowStart + window : now;
}

void LimitAllowance::offer(TokenCount tokens, TimePoint now)
{
    rollWindow(now);
    m_current.requests += 1;
    m_current.tokens += static_cast<double>(tokens.value());
}

bool LimitAllowance::jobFits() const
{
    return m_jobs + 1.0 <= std::floor(m_limits.jobsInProgress * fraction() + tolerance);
}

double LimitAllowance::missingRequests() const
{
    return 1.0 - m_requests - tolerance;
}

double LimitAllowance::missingTokens(TokenCount tokens) const
{
    return static_cast<double>(tokens.value()) - m_tokens - tolerance;
}

bool LimitAllowance::fits(TokenCount tokens, TimePoint now)
{
    advance(now);
    return jobFits() && missingRequests() <= 0 && missingTokens(tokens) <= 0;
}

Duration LimitAllowance::timeUntilFit(TokenCount tokens, TimePoint now)
{
    if (fits(tokens, now)) {
        return Duration(0);
    }
    const auto cost = static_cast<double>(tokens.value());
    m_waitingTokens = now < m_waitingUntil ? std::max(m_waitingTokens, cost) : cost;
    m_waitingUntil = now + waitingTime;
    const double requestRate = m_limits.requestsPerSecond * fraction();
    const double tokenRate = m_limits.tokensPerSecond * fraction();
    if (!jobFits() || requestRate <= 0 || tokenRate <= 0) {
        return unknownWait;
    }
    return fromSeconds(std::max({missingRequests() / requestRate, missingTokens(tokens) / tokenRate, 1e-6}));
}

Duration LimitAllowance::leastTimeUntilFit(TokenCount tokens) const
{
    const double missing = static_cast<double>(tokens.value()) - m_tokens;
    if (missing <= 0) {
        return Duration(0);
    }
    return m_limits.tokensPerSecond > 0 ? fromSeconds(missing / m_limits.tokensPerSecond) : unknownWait;
}

void LimitAllowance::take(TokenCount tokens, TimePoint now)
{
    advance(now);
    m_requests -= 1;
    m_tokens -= static_cast<double>(tokens.value());
    ++m_jobs;
}

void LimitAllowance::settle(TokenCount reserved, TokenCount used, TimePoint now)
{
    advance(now);
    m_tokens += static_cast<double>(reserved.value()) - static_cast<double>(used.value());
    m_jobs -= m_jobs > 0 ? 1 : 0;
    clamp();
}

double LimitAllowance::demandedFraction(TimePoint now) const
{
    const bool waiting = now < m_waitingUntil;
    const double requests = std::max(m_previous.requests, m_current.requests);
    const double tokens = std::max(m_previous.tokens, m_current.tokens);
    const bool active = waiting || requests > 0 || m_jobs > 0;
    if (!active) {
        return 0;
    }
    double demanded = 0;
    if (m_limits.requestsPerSecond > 0) {
        demanded = std::max(demanded, requests * headroom / m_limits.requestsPerSecond);
    }
    if (m_limits.tokensPerSecond > 0) {
        demanded = std::max(demanded, tokens * headroom / m_limits.tokensPerSecond);
    }
    if (m_limits.jobsInProgress > 0) {
        demanded = std::max(demanded, (m_jobs + 1.0) / m_limits.jobsInProgress);
    }
    return waiting ? std::max(demanded, 2 * fraction()) : demanded;
}

LimitShare LimitAllowance::wanted(TimePoint now)
{
    advance(now);
    rollWindow(now);
    const double demanded = std::min(demandedFraction(now), 1.0) * wholeLimit.value();
    const auto share = LimitShare(static_cast<std::uint32_t>(std::ceil(demanded)));
    return share > m_ownShare ? share - m_ownShare : LimitShare(0);
}

} // namespace Carawaymill

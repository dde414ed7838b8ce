#include "lease/LeaseSession.h"

namespace Carawaymill {

/// The first retry delay is this part of the time to live, so that a renewal can be retried several times.
static constexpr int retriesPerTimeToLive = 16;

static Duration scaled(Duration duration, double ratio)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * ratio));
}

LeaseSession::LeaseSession(const LeaseManagerOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_backoff({.initial = options.timeToLive / retriesPerTimeToLive, .maximum = options.maximumRetryDelay})
{
}

std::optional<KeyValueRequest> LeaseSession::nextRequest(bool needed, TimePoint now)
{
    if (m_inFlight) {
        return std::nullopt;
    }
    if (!needed) {
        if (!m_lease) {
            return std::nullopt;
        }
        const LeaseId lease = *m_lease;
        m_lease.reset();
        return send(RevokeLease{.lease = lease}, now);
    }
    if (now < m_nextAt) {
        return std::nullopt;
    }
    if (m_lease) {
        return send(RenewLease{.lease = *m_lease}, now);
    }
    return send(GrantLease{.timeToLive = m_options.timeToLive}, now);
}

void LeaseSession::handleResponse(const KeyValueResult &result, TimePoint now)
{
    if (!m_inFlight) {
        return;
    }
    const InFlight answered = *m_inFlight;
    m_inFlight.reset();
    if (std::holds_alternative<RevokeLease>(answered.request)) {
        return;
    }
    if (const auto *granted = std::get_if<LeaseGranted>(&result)) {
        m_lease = granted->lease;
        confirm(granted->timeToLive, answered.sentAt, now);
    } else if (const auto *renewed = std::get_if<LeaseRenewed>(&result); renewed != nullptr && m_lease) {
        confirm(renewed->timeToLive, answered.sentAt, now);
    } else if (std::holds_alternative<LeaseNotFound>(result)) {
        m_lease.reset();
        m_nextAt = now;
    } else {
        retryLater(now);
    }
}

void LeaseSession::restart(TimePoint now)
{
    m_lease.reset();
    m_inFlight.reset();
    m_nextAt = now;
}

KeyValueRequest LeaseSession::send(KeyValueRequest request, TimePoint now)
{
    m_inFlight = InFlight{.request = request, .sentAt = now};
    return request;
}

void LeaseSession::confirm(Duration timeToLive, TimePoint sentAt, TimePoint now)
{
    m_validUntil = sentAt + scaled(timeToLive, 1 - m_options.clockDriftRatio);
    m_backoff.reset();
    // Renews early by a random amount, so that hosts which started together do not keep renewing at the same time.
    const double early = 1 - 0.2 * m_random.fraction();
    m_nextAt = std::max(now, sentAt + scaled(timeToLive, m_options.renewalRatio * early));
}

void LeaseSession::retryLater(TimePoint now)
{
    if (isValid(now)) {
        // Retries stay frequent while the lease can still be renewed.
        m_backoff.reset();
    }
    m_nextAt = now + m_backoff.next(m_random);
}

} // namespace Carawaymill

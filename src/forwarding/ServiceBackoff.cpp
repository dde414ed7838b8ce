#include "forwarding/ServiceBackoff.h"

namespace Carawaymill {

void ServiceBackoff::recordCall(TimePoint now)
{
    if (m_nextAt) {
        // Counted from the start of the call: a call without a response takes most of the longest delay itself.
        m_nextAt = now + m_backoff.next(m_random);
    }
}

bool ServiceBackoff::recordFailure(TimePoint now)
{
    if (m_nextAt) {
        return false;
    }
    m_nextAt = now + m_backoff.next(m_random);
    m_failingSince = now;
    return true;
}

std::optional<Duration> ServiceBackoff::recordSuccess(TimePoint now)
{
    if (!m_nextAt) {
        return std::nullopt;
    }
    m_nextAt.reset();
    m_backoff.reset();
    return now - m_failingSince;
}

} // namespace Carawaymill

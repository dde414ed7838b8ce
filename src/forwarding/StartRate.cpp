#include "forwarding/StartRate.h"

#include "support/Seconds.h"

#include <cmath>

namespace Carawaymill {

StartRate::Sums StartRate::sumsAt(TimePoint now) const
{
    if (!m_since) {
        return m_sums;
    }
    const double passed = seconds(now - *m_since);
    const double remaining = std::exp(-passed / seconds(m_options.averagingPeriod));
    return {.starts = m_sums.starts * remaining, .seconds = m_sums.seconds * remaining + passed};
}

void StartRate::setWaiting(bool isWaiting, TimePoint now)
{
    m_sums = sumsAt(now);
    m_since = isWaiting ? std::optional(now) : std::nullopt;
}

void StartRate::started(TimePoint now)
{
    if (m_since) {
        m_sums = sumsAt(now);
        m_since = now;
        m_sums.starts += 1;
    }
}

std::optional<double> StartRate::perSecond(TimePoint now) const
{
    const Sums sums = sumsAt(now);
    if (sums.seconds < seconds(m_options.minimumPeriod)) {
        return std::nullopt;
    }
    // The next start counts already, so that a rate without any start so far is low instead of zero.
    return (sums.starts + 1) / sums.seconds;
}

} // namespace Carawaymill

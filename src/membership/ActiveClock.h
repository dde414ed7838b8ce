#pragma once

#include "support/Time.h"

#include <algorithm>
#include <optional>

namespace Carawaymill {

/// Measures the time during which this process has run. Of a pause of the process, only a bounded part is counted.
///
/// After a pause, acknowledgements that arrived in time are still unread. Timers on this clock continue where they
/// stopped, so that the process reads the received messages before it suspects other hosts.
class ActiveClock
{
public:
    /// A gap between two events that is longer than `longestGap` is counted as `longestGap`.
    explicit ActiveClock(Duration longestGap)
        : m_longestGap(longestGap)
    {
    }

    /// Adds the time since the last call. A `now` before that of the last call adds 0.
    void advance(TimePoint now)
    {
        const Duration gap = m_last ? std::max(now - *m_last, Duration(0)) : Duration(0);
        m_last = now;
        m_active += std::min(gap, m_longestGap);
    }

    /// The active time so far; it starts at 0.
    [[nodiscard]] TimePoint now() const { return m_active; }

private:
    Duration m_longestGap;
    TimePoint m_active{};
    std::optional<TimePoint> m_last;
};

} // namespace Carawaymill

#pragma once

#include "support/Time.h"

#include <algorithm>
#include <optional>

namespace Carawaymill {

/// Time as far as this process has run: a pause of the process counts only in part.
///
/// After a pause, answers that came in time are still unread. Timers on this clock go on where they stood, so that the
/// process reads what has come before it judges others.
class ActiveClock
{
public:
    /// A gap between two events that is longer than `longestGap` counts as `longestGap`.
    explicit ActiveClock(Duration longestGap)
        : m_longestGap(longestGap)
    {
    }

    /// Moves on to `now`.
    void advance(TimePoint now)
    {
        const Duration gap = m_last ? std::max(now - *m_last, Duration(0)) : Duration(0);
        m_last = now;
        m_active += std::min(gap, m_longestGap);
    }

    /// The present active time; it starts at 0.
    [[nodiscard]] TimePoint now() const { return m_active; }

private:
    Duration m_longestGap;
    TimePoint m_active{};
    std::optional<TimePoint> m_last;
};

} // namespace Carawaymill

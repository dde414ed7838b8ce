#pragma once

#include "support/Time.h"

#include <optional>

namespace Carawaymill {

struct StartRateOptions
{
    /// The rate is averaged over about this much time with waiting requests. A host of a large fleet starts a few
    /// requests a second.
    Duration averagingPeriod = 4s;
    /// No rate is known before requests have waited for this time in all.
    Duration minimumPeriod = 500ms;
};

/// The rate at which requests start while others wait. It measures the capacity, where the rate of all starts would
/// measure the demand.
class StartRate
{
public:
    explicit StartRate(StartRateOptions options)
        : m_options(options)
    {
    }

    /// Records whether requests wait from now on.
    void setWaiting(bool isWaiting, TimePoint now);

    /// Records a start; it counts if requests wait.
    void started(TimePoint now);

    /// Starts a second; std::nullopt if requests have not waited for long enough yet.
    [[nodiscard]] std::optional<double> perSecond(TimePoint now) const;

private:
    struct Sums
    {
        double starts = 0;
        double seconds = 0;
    };

    /// The decayed sums up to now.
    [[nodiscard]] Sums sumsAt(TimePoint now) const;

    StartRateOptions m_options;
    Sums m_sums;
    /// Since when requests wait and `m_sums` does not count the time; std::nullopt while none wait.
    std::optional<TimePoint> m_since;
};

} // namespace Carawaymill

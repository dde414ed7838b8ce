#pragma once

#include "support/Time.h"

#include <optional>

namespace Carawaymill {

struct LoopMonitorOptions
{
    Duration tickInterval{};
    /// A tick that is at least this late is reported. Callers and targets notice delays of half a second.
    Duration reportedDelay = 250ms;
};

/// A tick that came late, so that all other events waited as well.
struct LoopDelay
{
    /// How much later than due the tick came.
    Duration delay{};
    /// Processor time that the event loop used since the tick before. Far less than `delay` if the process was not
    /// running or the loop was blocked.
    Duration processorTime{};
};

/// Detects delays of the event loop from the times of its ticks.
class LoopMonitor
{
public:
    explicit LoopMonitor(LoopMonitorOptions options)
        : m_options(options)
    {
    }

    /// Records a tick. `processorTime`: used by the thread of the event loop so far.
    [[nodiscard]] std::optional<LoopDelay> recordTick(TimePoint now, Duration processorTime);

private:
    struct Tick
    {
        TimePoint at;
        Duration processorTime{};
    };

    LoopMonitorOptions m_options;
    std::optional<Tick> m_last;
};

} // namespace Carawaymill

#include "daemon/LoopMonitor.h"

#include <utility>

namespace Carawaymill {

std::optional<LoopDelay> LoopMonitor::recordTick(TimePoint now, Duration processorTime)
{
    const auto last = std::exchange(m_last, Tick{.at = now, .processorTime = processorTime});
    if (!last) {
        return std::nullopt;
    }
    const Duration delay = now - last->at - m_options.tickInterval;
    if (delay < m_options.reportedDelay) {
        return std::nullopt;
    }
    return LoopDelay{.delay = delay, .processorTime = processorTime - last->processorTime};
}

} // namespace Carawaymill

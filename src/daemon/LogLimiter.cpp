#include "daemon/LogLimiter.h"

#include <utility>

namespace Carawaymill {

static bool tellsOfSuccess(std::string_view line)
{
    return line.find("outcome=streamed") != std::string_view::npos
           || line.find("outcome=answered") != std::string_view::npos;
}

void LogLimiter::beginSecond(TimePoint now)
{
    if (now - m_second < 1s) {
        return;
    }
    m_second = now;
    m_lines = 0;
    m_successes = 0;
    m_droppedBefore += std::exchange(m_dropped, 0);
}

bool LogLimiter::admits(std::string_view line, TimePoint now)
{
    beginSecond(now);
    const bool success = tellsOfSuccess(line);
    if (m_lines >= m_options.linesPerSecond || (success && m_successes >= m_options.successesPerSecond)) {
        m_dropped += 1;
        return false;
    }
    m_lines += 1;
    m_successes += success ? 1 : 0;
    return true;
}

std::optional<std::uint64_t> LogLimiter::takeDropped(TimePoint now)
{
    beginSecond(now);
    if (m_droppedBefore == 0) {
        return std::nullopt;
    }
    return std::exchange(m_droppedBefore, 0);
}

} // namespace Carawaymill

#pragma once

#include "support/Time.h"

#include <cstdint>

namespace Carawaymill {

/// The duration as a number of seconds, for rates and shares.
[[nodiscard]] inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// The duration in milliseconds, rounded down, for log lines.
[[nodiscard]] inline std::int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::floor<std::chrono::milliseconds>(duration).count();
}

} // namespace Carawaymill

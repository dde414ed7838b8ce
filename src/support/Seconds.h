#pragma once

#include "support/Time.h"

namespace Carawaymill {

/// The duration as a number of seconds, for rates and shares.
[[nodiscard]] inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace Carawaymill

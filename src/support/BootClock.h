#pragma once

#include "support/Time.h"

namespace Carawaymill {

/// Reads the clock for adapters: monotonic, and it goes on while the machine is suspended, so that a host which slept
/// past its lease knows it. `std::chrono::steady_clock` stands still meanwhile on Linux.
[[nodiscard]] TimePoint readBootClock();

/// Processor time that the calling thread has used since its start.
[[nodiscard]] Duration readThreadProcessorTime();

} // namespace Carawaymill

#include "support/BootClock.h"

#include <cassert>
#include <ctime>

namespace Carawaymill {

TimePoint readBootClock()
{
    timespec time{};
    [[maybe_unused]] const int failed = clock_gettime(CLOCK_BOOTTIME, &time);
    assert(failed == 0);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                          + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace Carawaymill

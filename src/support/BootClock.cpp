#include "support/BootClock.h"

#include <cassert>
#include <ctime>

namespace Carawaymill {

static Duration readClock(clockid_t clock)
{
    timespec time{};
    [[maybe_unused]] const int failed = clock_gettime(clock, &time);
    assert(failed == 0);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

TimePoint readBootClock()
{
    return TimePoint(readClock(CLOCK_BOOTTIME));
}

Duration readThreadProcessorTime()
{
    return readClock(CLOCK_THREAD_CPUTIME_ID);
}

} // namespace Carawaymill

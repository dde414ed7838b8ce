#pragma once

#include <chrono>

namespace Carawaymill {

/// All durations in decisions are whole microseconds.
using Duration = std::chrono::microseconds;

/// The clock of the decisions. It is never read: adapters pass `now` in with each event.
///
/// It is monotonic and local to one process, so time points of two hosts must not be compared.
struct LocalClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<LocalClock>;
    static constexpr bool is_steady = true;
};

using TimePoint = LocalClock::time_point;

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

/// Tells a slice that time has passed; sent every few milliseconds by whoever drives it.
struct Tick
{
};

} // namespace Carawaymill

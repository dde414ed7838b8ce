#include "forwarding/RetryAfter.h"

#include <algorithm>

namespace Carawaymill {

/// `shortest` and `spread` are each at most this fraction of the caller's remaining time.
static constexpr double retryAfterShare = 0.25;

Duration retryAfter(const RetryAfterBounds &bounds, Random &random)
{
    Duration shortest = bounds.shortest;
    Duration spread = bounds.spread;
    if (bounds.timeLeft) {
        const auto limit =
            std::chrono::duration_cast<Duration>(std::max(*bounds.timeLeft, Duration::zero()) * retryAfterShare);
        spread = std::min(spread, limit);
        shortest = std::min(shortest, limit);
    }
    const double jitter = 0.5 + random.fraction() / 2;
    return shortest + std::chrono::duration_cast<Duration>(spread * jitter);
}

} // namespace Carawaymill

#include "forwarding/RetryAfter.h"

#include <algorithm>

namespace Carawaymill {

/// Callers come back after at most this fraction of their remaining time, whatever they are told.
static constexpr double retryAfterShare = 1.0 / 3;
/// A shorter spread would not keep callers that are refused together apart.
static constexpr Duration minimumSpread = 100ms;
/// With at least half of the spread this makes 100 ms.
static constexpr Duration minimumBacklog = 50ms;

RetryAfterBounds
backlogBounds(std::optional<Duration> backlog, Duration unknownSpread, std::optional<Duration> timeLeft)
{
    RetryAfterBounds bounds{.spread = unknownSpread, .timeLeft = timeLeft};
    if (backlog) {
        bounds.shortest = std::max(*backlog, minimumBacklog);
        bounds.spread = std::max(*backlog, minimumSpread);
    }
    return bounds;
}

Duration retryAfter(const RetryAfterBounds &bounds, Random &random)
{
    Duration shortest = bounds.shortest;
    Duration spread = bounds.spread;
    if (bounds.timeLeft) {
        const auto limit =
            std::chrono::duration_cast<Duration>(std::max(*bounds.timeLeft, Duration::zero()) * retryAfterShare);
        // Half of the limit is left to the spread, so that callers with a long backlog do not return together.
        shortest = std::min(shortest, limit / 2);
        spread = std::min(spread, limit - shortest);
    }
    const double jitter = 0.5 + random.fraction() / 2;
    return shortest + std::chrono::duration_cast<Duration>(spread * jitter);
}

} // namespace Carawaymill

#pragma once

#include "support/Random.h"
#include "support/Time.h"

#include <optional>

namespace Carawaymill {

/// What a caller is told when it is refused.
struct RetryAfterBounds
{
    /// No request can be served earlier.
    Duration shortest{};
    /// Time beyond `shortest` over which retries are spread.
    Duration spread{};
    /// Time until the caller's deadline; std::nullopt if it states none.
    std::optional<Duration> timeLeft;
};

/// The bounds for a caller that is refused for lack of capacity. `backlog`: the time in which the requests ahead of it
/// start, std::nullopt if it is not known; then `unknownSpread` bounds the spread.
[[nodiscard]] RetryAfterBounds
backlogBounds(std::optional<Duration> backlog, Duration unknownSpread, std::optional<Duration> timeLeft);

/// The time after which a refused caller should come back. Leaves enough of the caller's remaining time for the retry
/// to succeed, and spreads the retries of callers that are refused at the same time.
[[nodiscard]] Duration retryAfter(const RetryAfterBounds &bounds, Random &random);

} // namespace Carawaymill

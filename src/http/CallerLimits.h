#pragma once

#include "support/Time.h"
#include "support/Units.h"

namespace Carawaymill {

/// What a caller may send, and how long it may take.
struct CallerLimits
{
    ByteCount headerBytes = ByteCount(16384);
    ByteCount bodyBytes = ByteCount(1U << 20U);
    /// A request must be read whole within this time, counted from its first byte.
    Duration readTimeout = 30s;
    /// A connection without a request is closed after this time.
    Duration idleTimeout = 30s;

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

} // namespace Carawaymill

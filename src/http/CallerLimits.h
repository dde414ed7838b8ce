#pragma once

#include "support/Time.h"
#include "support/Units.h"

namespace Carawaymill {

/// Size and time limits for requests of callers.
struct CallerLimits
{
    ByteCount headerBytes = ByteCount(16384);
    ByteCount bodyBytes = ByteCount(1U << 20U);
    /// Maximum time from the first byte of a request until it has been read completely.
    Duration readTimeout = 30s;
    /// A connection is closed if no request arrives on it within this time.
    Duration idleTimeout = 30s;

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

} // namespace Carawaymill

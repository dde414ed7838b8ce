#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>

namespace Carawaymill {

struct LeaseManagerOptions
{
    HostId host;
    /// Seeds the random delays of calls; must differ between hosts.
    std::uint64_t seed = 1;
    /// The key-value service ends this host's lease this long after its last renewal.
    Duration timeToLive = 10s;
    /// Fraction of the time to live, from 0 to below 1, by which this host ends its lease early, because the clocks of
    /// this host and of the key-value service may run at different speeds.
    double clockDriftRatio = 0.02;
    /// A renewal starts when this fraction of the time to live has passed since the last one; above 0, at most 0.5.
    double renewalRatio = 0.33;
    /// Time limit of a call.
    Duration callTimeout = 1500ms;
    /// Longest delay between retries while the key-value service does not respond.
    Duration maximumRetryDelay = 10s;
    /// Once a scope is free, each waiting host contends for it after a random delay of at most this length.
    Duration contentionSpread = 500ms;
    /// The key-value service responds to a watch after this time even if nothing has changed.
    Duration watchWait = 20s;
    /// Interval between complete reads of the lease records, since a watch can stop reporting changes.
    Duration rereadInterval = 60s;
};

} // namespace Carawaymill

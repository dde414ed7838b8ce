#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>

namespace Carawaymill {

struct LeaseManagerOptions
{
    HostId host;
    /// Seeds the spreading of calls over time; differs between hosts.
    std::uint64_t seed = 1;
    /// The service ends this host's lease so long after its last renewal.
    Duration timeToLive = 10s;
    /// Share of the time to live, from 0 to below 1, that is given away because the clocks of this host and of the
    /// service may run at different speeds.
    double clockDriftRatio = 0.02;
    /// A renewal starts when this share of the time to live has passed since the last one.
    double renewalRatio = 0.33;
    /// Time limit of a call.
    Duration callTimeout = 1500ms;
    /// Longest delay between retries while the service does not answer.
    Duration maximumRetryDelay = 10s;
    /// Hosts that wait for the same scope try for it at random within this time once it is free.
    Duration contentionSpread = 500ms;
    /// A watch is answered after so long even when nothing has changed.
    Duration watchWait = 20s;
    /// The records are read anew so often, because a watch can go silent.
    Duration rereadInterval = 60s;
};

} // namespace Carawaymill

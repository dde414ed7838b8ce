#pragma once

#include "forwarding/RelayedWatchMessages.h"
#include "support/Time.h"

namespace Carawaymill {

/// Times within which hosts act on what the key-value service has acknowledged.
struct PropagationBounds
{
    /// A target runs requests for this time after the service listed it as leaving.
    Duration drainPeriod = 2s;
    /// A configuration is in force on all hosts this long after the service acknowledged it.
    Duration configurationApplyPeriod = 2s;
};

/// Longest time since the service's last confirmation of a range for which a host relies on another host's watch. After
/// that the host may have missed a change that the service has acknowledged, and asks the service itself.
struct RelayedRangeAges
{
    Duration configuration = 1500ms;
    Duration directory = 1500ms;
    /// No bound depends on the register of hosts.
    Duration hosts = 6500ms;

    [[nodiscard]] Duration of(RelayedRange range) const;
};

[[nodiscard]] RelayedRangeAges relayedRangeAges(const PropagationBounds &bounds);

/// The wait of a host's own watch with which a range that is in order is always confirmed again before other hosts stop
/// relying on it; at most `longest`.
[[nodiscard]] Duration relayedWatchWait(Duration maximumAge, Duration longest);

} // namespace Carawaymill

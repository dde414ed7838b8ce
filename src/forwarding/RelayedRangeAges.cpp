#include "forwarding/RelayedRangeAges.h"

#include <algorithm>

namespace Carawaymill {

/// Time in which a host that no longer relies on another one asks the service and acts on the reply.
static constexpr Duration fallbackMargin = 500ms;
/// A longer outage of another host's link to the service is noticed after this time, even if later would do.
static constexpr Duration longestConfigurationAge = 2s;
static constexpr Duration longestDirectoryAge = 3s;
/// Response times of the service and of the other host, which come on top of two waits: a confirmation counts from the
/// start of the call and holds until the reply to the next one.
static constexpr Duration responseAllowance = 400ms;
static constexpr Duration shortestWait = 100ms;

Duration RelayedRangeAges::of(RelayedRange range) const
{
    switch (range) {
    case RelayedRange::Configuration:
        return configuration;
    case RelayedRange::Directory:
        return directory;
    case RelayedRange::Hosts:
        break;
    }
    return hosts;
}

RelayedRangeAges relayedRangeAges(const PropagationBounds &bounds)
{
    return {.configuration = std::min(longestConfigurationAge, bounds.configurationApplyPeriod - fallbackMargin),
            .directory = std::min(longestDirectoryAge, bounds.drainPeriod - fallbackMargin)};
}

Duration relayedWatchWait(Duration maximumAge, Duration longest)
{
    return std::clamp((maximumAge - responseAllowance) / 2, shortestWait, longest);
}

} // namespace Carawaymill

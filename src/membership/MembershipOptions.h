#pragma once

#include "membership/MembershipMessages.h"
#include "support/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Carawaymill {

/// A host from the settings.
struct ConfiguredMember
{
    HostId host;
    MemberProfile profile;
};

struct MembershipOptions
{
    HostId self;
    MemberProfile profile;
    /// Must be higher than at any earlier start of this host, for example its start time in seconds. A number that is
    /// too low is raised as soon as a message from another host shows this.
    IncarnationNumber incarnation = IncarnationNumber(1);
    /// Initial members, in addition to those of the host list.
    std::vector<ConfiguredMember> configured;
    /// Seeds the random choices, such as the probe targets; must differ between hosts.
    std::uint64_t seed = 0;
    /// One member is probed in each period.
    Duration probePeriod = 600ms;
    /// Time without an acknowledgement after which other members are requested to probe. Must exceed the round trip
    /// between regions; the rest of the period must be enough for a probe through another member.
    Duration probeTimeout = 200ms;
    /// Number of other members that are requested to probe.
    std::size_t indirectProbes = 3;
    /// Interval between probes of dead members, which may be alive again after a network partition has ended.
    Duration deadProbePeriod = 4s;
    /// How long a host must be missing from the host list before it is Leaving, and is dropped once dead.
    Duration dropDelay = 60s;
    /// Most new updates that this host sends in a period, over all its messages.
    std::size_t updatesPerPeriod = 20;
    std::size_t updatesPerMessage = 10;
    /// Number of members that a leaving host notifies at once.
    std::size_t leaveFanOut = 8;
    /// A longer gap between two events counts as a pause of the process. Events come every few milliseconds.
    Duration pauseThreshold = 200ms;
};

/// Error: an option is out of range.
struct InvalidMembershipOptions
{
    /// Name of the option.
    std::string option;
};

} // namespace Carawaymill

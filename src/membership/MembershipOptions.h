#pragma once

#include "membership/MembershipMessages.h"
#include "support/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Carawaymill {

/// A host that the settings name.
struct ConfiguredMember
{
    HostId host;
    MemberProfile profile;
};

struct MembershipOptions
{
    HostId self;
    MemberProfile profile;
    /// Higher than at any earlier start of this host, for example its start time in seconds. A number that turns out
    /// to be too low is raised as soon as another host answers.
    IncarnationNumber incarnation = IncarnationNumber(1);
    /// Hosts to start with, besides those of the host list.
    std::vector<ConfiguredMember> configured;
    /// Seeds the choice of whom to probe; differs from host to host.
    std::uint64_t seed = 0;
    /// One member is probed in each period.
    Duration probePeriod = 600ms;
    /// After that time without an answer, other members are asked to probe. Above the round trip between regions; the
    /// rest of the period has to be enough for the way through another member.
    Duration probeTimeout = 200ms;
    /// How many other members are asked.
    std::size_t indirectProbes = 3;
    /// A dead member is probed so often, in case it lives behind a healed link.
    Duration deadProbePeriod = 4s;
    /// See `MemberTable`.
    Duration dropDelay = 60s;
    /// Gossip that this host sends in a period, over all its messages.
    std::size_t updatesPerPeriod = 20;
    std::size_t updatesPerMessage = 10;
    /// Members that a host which leaves tells at once.
    std::size_t leaveFanOut = 8;
    /// A longer gap between two events counts as a pause of the process. Events come every few milliseconds.
    Duration pauseThreshold = 200ms;
};

/// An option that cannot work.
struct InvalidMembershipOptions
{
    /// Name of the option.
    std::string option;
};

} // namespace Carawaymill

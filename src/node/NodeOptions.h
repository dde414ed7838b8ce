#pragma once

#include "membership/MembershipOptions.h"
#include "node/CompletionApi.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Carawaymill {

/// What one node needs to know of itself.
struct NodeOptions
{
    HostId host;
    FailureDomainId failureDomain;
    RegionId region;
    /// Where peers send to.
    std::string peerAddress;
    /// Hosts to begin with, besides those of the platform's host list.
    std::vector<ConfiguredMember> configuredMembers;
    /// Different for each start of the process, so that job ids are never used twice.
    IncarnationNumber incarnation;
    std::uint64_t seed = 0;
    /// SHA-256 (hexadecimal) of the operators' token.
    std::string operatorTokenHash;
    CompletionLimits completions;
    /// Set only when the whole deployment starts for the first time; see `SharedLimitsOptions`.
    bool firstStartOfDeployment = false;
    /// A job that isn't answered after this is given up.
    Duration jobTimeout = 120s;
};

} // namespace Carawaymill

#pragma once

#include "forwarding/FleetRetryBudget.h"
#include "forwarding/PublicationFormat.h"
#include "membership/MembershipOptions.h"
#include "node/CompletionApi.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// A node that forwards requests by routes which the operators publish, to targets of a directory.
struct ForwardingOptions
{
    PublicationFormat publications;
    FleetRetryBudgetOptions retries;
    /// A configuration that was not confirmed for so long no longer vouches for any key.
    Duration configurationMaximumAge = 3500ms;
    /// A host that shuts down still takes requests for so long: until the balancer has noticed, and so that streams end
    /// before the process is killed.
    Duration drainAcceptPeriod = 2800ms;
    /// Part of an accelerator's memory that placement leaves to the KV cache at least, also when it closes a gap.
    double cacheShare = 0.12;
};

/// Options of one node.
struct NodeOptions
{
    HostId host;
    FailureDomainId failureDomain;
    RegionId region;
    /// The address at which peers reach this host.
    std::string peerAddress;
    /// Hosts known at start, in addition to those on the platform's host list.
    std::vector<ConfiguredMember> configuredMembers;
    /// Different for each start of the process, so that job ids are never used twice.
    IncarnationNumber incarnation;
    std::uint64_t seed = 0;
    /// SHA-256 (hexadecimal) of the operators' token.
    std::string operatorTokenHash;
    CompletionLimits completions;
    /// Set only when the whole deployment starts for the first time; see `SharedLimitsOptions`.
    bool firstStartOfDeployment = false;
    /// Maximum number of jobs that run concurrently on this host; further jobs are queued.
    std::size_t maximumConcurrentJobs = 256;
    /// Time limit of a job; a job that exceeds it is abandoned.
    Duration jobTimeout = 120s;
    /// The service ends this host's leases so long after their last renewal.
    Duration leaseTimeToLive = 10s;
    /// Hosts that try for each scope at a time.
    std::uint32_t candidatesPerScope = 1;
    /// Set where requests are forwarded by published routes; the catalogue, the ledger and the shared limits rest then.
    std::optional<ForwardingOptions> forwarding = std::nullopt;
};

} // namespace Carawaymill

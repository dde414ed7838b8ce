#pragma once

#include "forwarding/FleetRetryBudget.h"
#include "forwarding/PublicationFormat.h"
#include "forwarding/RelayedRangeAges.h"
#include "forwarding/ResponseBuffers.h"
#include "membership/MembershipOptions.h"
#include "node/CompletionApi.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// Options of a node that forwards requests along the routes that operators publish, to the targets in the directory.
struct ForwardingOptions
{
    PublicationFormat publications;
    FleetRetryBudgetOptions retries;
    /// Requests that need a caller's key are refused when the configuration was last confirmed longer ago than this:
    /// the key may have been revoked since.
    Duration configurationMaximumAge = 3500ms;
    PropagationBounds propagation = {};
    /// Time for which a draining host still accepts requests. Long enough for the balancer to stop sending them, and
    /// short enough that the streams accepted last end before the process is killed.
    Duration drainAcceptPeriod = 2800ms;
    /// Memory for targets' responses that are not complete.
    ResponseBuffersOptions buffers = {};
    /// Minimum fraction of an accelerator's memory that placement leaves to the KV cache, even when it assigns layers
    /// to fill a gap in a chain.
    double cacheShare = 0.12;
    /// IP address and port at which this host passes on requests of other hosts to targets; empty if it does not.
    std::string relayAddress = {};
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
    /// Unique to each start of the process on this host, so that job ids are never reused.
    IncarnationNumber incarnation;
    std::uint64_t seed = 0;
    /// SHA-256 (hexadecimal) of the operators' token.
    std::string operatorTokenHash;
    CompletionLimits completions;
    /// True only when the whole deployment starts for the first time; see `SharedLimitsOptions`.
    bool firstStartOfDeployment = false;
    /// Maximum number of jobs that run concurrently on this host; further jobs are queued.
    std::size_t maximumConcurrentJobs = 256;
    /// Time limit of a job; a job that exceeds it is abandoned.
    Duration jobTimeout = 120s;
    /// Time after its last renewal at which the key-value service ends a lease of this host.
    Duration leaseTimeToLive = 10s;
    /// Number of hosts that contend for each lease scope at the same time.
    std::uint32_t candidatesPerScope = 1;
    /// Set if this node forwards requests along published routes; the catalogue, the ledger and the limits of
    /// organisations and entries are not used then.
    std::optional<ForwardingOptions> forwarding = std::nullopt;
};

} // namespace Carawaymill

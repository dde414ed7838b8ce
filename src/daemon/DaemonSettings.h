#pragma once

#include "forwarding/FleetRetryBudget.h"
#include "forwarding/RelayedRangeAges.h"
#include "hostlist/HostListMessages.h"
#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// One listener's address.
struct ListenSettings
{
    /// IP number.
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
};

/// Settings of a host that forwards requests by the routes which its platform publishes.
struct ForwardingSettings
{
    /// Where the platform asks whether the host may be given new connections.
    ListenSettings readiness;
    /// Where counters and latencies are served; port 0 serves none.
    ListenSettings metrics;
    /// Where requests of other hosts are taken that have lost their links to the targets; port 0 takes none.
    ListenSettings relay;
    FleetRetryBudgetOptions retries;
    /// A configuration that was not confirmed for so long no longer vouches for any key.
    Duration configurationMaximumAge = 3500ms;
    PropagationBounds propagation = {};
    /// Time for which a draining host still accepts requests. Long enough for the balancer to stop sending them.
    Duration drainAcceptPeriod = 2800ms;
};

/// Everything that a daemon is told at its start, from one JSON file.
struct DaemonSettings
{
    HostId host;
    FailureDomainId failureDomain;
    RegionId region;
    ListenSettings callers;
    ListenSettings operators;
    /// nng address that peers send to, for example `tcp://127.0.0.1:7400`.
    std::string peerAddress;
    /// Shared by all our hosts.
    std::string peerKey;
    /// SHA-256 (hexadecimal) of the operators' token.
    std::string operatorTokenHash;
    /// IP number and port of the platform's key-value service and host list.
    std::string keyValueService;
    std::string hostListService;
    /// Hosts to send to before the host list was first read.
    std::vector<ListedHost> peers;
    /// Set only when all hosts start together for the first time: the organisations' limits can then be used in full at
    /// once, since no earlier process can have lent a part of them.
    bool firstStartOfDeployment = false;
    ByteCount bodyLimit = ByteCount(1U << 20U);
    /// Descriptors for connections. Callers may use three eighths of them, since each request in progress needs another
    /// one to its target; other hosts an eighth for requests that are passed on, and each other listener a sixteenth.
    std::uint32_t connectionLimit = 4096;
    /// Memory of this host. An eighth of it at most is held for targets' responses that are not complete, and as much
    /// for those that callers, or other hosts, have not received yet.
    ByteCount memory = ByteCount(256U << 20U);
    /// Bytes of callers' and other hosts' requests that are held until they are answered, with their copies; 0: an
    /// eighth of `memory`.
    ByteCount requestMemory;
    /// How long a shutdown waits for requests in progress.
    Duration drainTimeout = 300s;
    /// A shutdown takes at least so long, since callers are still sent here until the balancer has noticed.
    Duration drainAtLeast{};
    /// The key-value service ends this host's leases so long after their last renewal.
    Duration leaseTimeToLive = 10s;
    std::optional<ForwardingSettings> forwarding;
};

/// What is wrong with one setting; `field` is its JSON pointer.
struct SettingFault
{
    std::string field;
    std::string reason;

    friend bool operator==(const SettingFault &, const SettingFault &) = default;
};

/// The settings cannot be used; all that is wrong with them.
struct InvalidSettings
{
    std::vector<SettingFault> faults;

    friend bool operator==(const InvalidSettings &, const InvalidSettings &) = default;
};

/// Reads and checks settings. Unknown fields are refused, so that a misspelt one is noticed.
[[nodiscard]] Result<DaemonSettings, InvalidSettings> readDaemonSettings(const std::string &text);

} // namespace Carawaymill

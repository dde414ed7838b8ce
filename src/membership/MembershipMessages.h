#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages by which the hosts of the system detect which of them are alive.
///
/// On the wire all are arrays, to be small, since these messages are sent all the time: a message is
/// `[kind, sequence, sender, updates]` (a `ProbeRequest` adds its target), an update is `[host, incarnation, status]`
/// or `[host, incarnation, status, peerAddress, failureDomain, region]`.
namespace Carawaymill {

/// Location and address of a host.
struct MemberProfile
{
    /// Peer address, for example `tcp://10.0.0.4:7400`.
    std::string peerAddress;
    FailureDomainId failureDomain;
    RegionId region;

    friend bool operator==(const MemberProfile &, const MemberProfile &) = default;
};

/// Whether a host acknowledges probes, as known to one host.
enum class MemberLiveness : std::uint8_t {
    Alive,
    Suspect,
    Dead,
};

/// The state of a host as known to the sender. Of two updates on a host, the one with the higher incarnation is newer;
/// within one incarnation Suspect and Dead override Alive. The receiver treats Dead as Suspect only.
struct MemberUpdate
{
    HostId host;
    /// Only the host itself raises its incarnation, so a refutation always overrides the suspicion.
    IncarnationNumber incarnation;
    MemberLiveness liveness = MemberLiveness::Alive;
    /// The host is leaving. Set and cleared only by the host itself, with a new incarnation.
    bool leaving = false;
    /// Sent when the receiver may not know the host yet.
    std::optional<MemberProfile> profile = std::nullopt;

    friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

/// Requests an `Acknowledgement` from the receiver.
struct Probe
{
    friend bool operator==(const Probe &, const Probe &) = default;
};

/// Requests that the receiver probes `target` and acknowledges once `target` has acknowledged.
struct ProbeRequest
{
    HostId target;

    friend bool operator==(const ProbeRequest &, const ProbeRequest &) = default;
};

/// The response to a `Probe`, or to a `ProbeRequest` once its target has acknowledged.
struct Acknowledgement
{
    friend bool operator==(const Acknowledgement &, const Acknowledgement &) = default;
};

struct MembershipMessage
{
    std::variant<Probe, ProbeRequest, Acknowledgement> body;
    /// Chosen by the probing host; the acknowledgement has the same number.
    std::uint32_t sequence = 0;
    /// The sender's own state.
    MemberUpdate sender;
    /// Gossip on hosts; at most one update more than `MembershipOptions::updatesPerMessage`.
    std::vector<MemberUpdate> updates;

    friend bool operator==(const MembershipMessage &, const MembershipMessage &) = default;
};

void to_json(nlohmann::json &json, const MembershipMessage &message);
void from_json(const nlohmann::json &json, MembershipMessage &message);

} // namespace Carawaymill

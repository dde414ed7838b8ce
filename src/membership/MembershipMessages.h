#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages that our own hosts send each other to find out who is alive.
///
/// On the wire everything is an array, since these messages are sent all the time: a message is
/// `[kind, sequence, sender, updates]` (a `ProbeRequest` adds its target), an update is `[host, incarnation, status]`
/// or `[host, incarnation, status, peerAddress, failureDomain, region]`.
namespace Carawaymill {

/// Where a host is, and how it is reached.
struct MemberProfile
{
    /// Peer address, for example `tcp://10.0.0.4:7400`.
    std::string peerAddress;
    FailureDomainId failureDomain;
    RegionId region;

    friend bool operator==(const MemberProfile &, const MemberProfile &) = default;
};

/// Whether a host answers, as one host knows it.
enum class MemberLiveness : std::uint8_t {
    Alive,
    Suspect,
    Dead,
};

/// What one host knows of another. Of two updates on a host, the higher incarnation is newer; within one incarnation
/// Suspect and Dead override Alive. Another's dead verdict counts as a suspicion only.
struct MemberUpdate
{
    HostId host;
    /// Only the host itself raises it, so a refutation always overrides the suspicion.
    IncarnationNumber incarnation;
    MemberLiveness liveness = MemberLiveness::Alive;
    /// The host has said that it leaves. Set and cleared by the host itself only, with a new incarnation.
    bool leaving = false;
    /// Sent when the receiver may not know the host yet.
    std::optional<MemberProfile> profile = std::nullopt;

    friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

/// Asks the receiver for an `Acknowledgement`.
struct Probe
{
    friend bool operator==(const Probe &, const Probe &) = default;
};

/// Asks the receiver to probe `target` and to pass on its acknowledgement.
struct ProbeRequest
{
    HostId target;

    friend bool operator==(const ProbeRequest &, const ProbeRequest &) = default;
};

/// Answers a `Probe` or, when its target has answered, a `ProbeRequest`.
struct Acknowledgement
{
    friend bool operator==(const Acknowledgement &, const Acknowledgement &) = default;
};

struct MembershipMessage
{
    std::variant<Probe, ProbeRequest, Acknowledgement> body;
    /// Chosen by the host that probes; its acknowledgement repeats it.
    std::uint32_t sequence = 0;
    /// What the sender says of itself.
    MemberUpdate sender;
    /// Gossip on other hosts, bounded in number.
    std::vector<MemberUpdate> updates;

    friend bool operator==(const MembershipMessage &, const MembershipMessage &) = default;
};

void to_json(nlohmann::json &json, const MembershipMessage &message);
void from_json(const nlohmann::json &json, MembershipMessage &message);

} // namespace Carawaymill

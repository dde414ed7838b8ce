#pragma once

#include "membership/Membership.h"
#include "node/NodeOptions.h"
#include "node/NodeOutput.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

/// Identifies the slice that a peer message is for. The values are part of the peer protocol.
enum class PeerChannel : std::uint8_t {
    Membership = 0,
    Catalogue = 1,
    Ledger = 2,
    Limits = 3,
    Quarantine = 4,
    Configuration = 5,
    Load = 6,
    Range = 7,
    RetryLoans = 8,
    TargetObservations = 9,
};

/// A peer's message and the channel it was sent on.
struct ChannelMessage
{
    PeerChannel channel = PeerChannel::Membership;
    nlohmann::json body;
};

/// Tracks the state and peer address of the other hosts, and wraps messages to them in an envelope.
class Fleet
{
public:
    [[nodiscard]] static Result<Fleet, InvalidMembershipOptions> create(const NodeOptions &options);

    /// The following three functions return whether the state of any host changed.
    [[nodiscard]] bool tick(TimePoint now, NodeOutput &output);
    [[nodiscard]] bool hostListRead(const HostListRead &list, TimePoint now, NodeOutput &output);
    [[nodiscard]] bool
    membershipReceived(const HostId &from, const nlohmann::json &body, TimePoint now, NodeOutput &output);
    void leave(TimePoint now, NodeOutput &output);

    /// Sends a message to a host; drops it when the host's address is unknown.
    void send(const HostId &to, PeerChannel channel, nlohmann::json body, NodeOutput &output) const;

    [[nodiscard]] const Membership &membership() const { return m_membership; }

    /// All hosts on the platform's host list or known to be alive, including this host.
    [[nodiscard]] std::vector<Member> members() const { return m_membership.members(); }

private:
    explicit Fleet(HostId self, Membership membership);

    [[nodiscard]] bool perform(std::vector<MembershipAction> actions, NodeOutput &output);
    void refreshAddresses();

    HostId m_self;
    Membership m_membership;
    std::map<HostId, std::string> m_addresses;
};

/// The state's name in logs and status reports, for example `alive`.
[[nodiscard]] const char *memberStateName(MemberState state);

/// Unwraps a message; std::nullopt when it is malformed or its channel is unknown.
[[nodiscard]] std::optional<ChannelMessage> readEnvelope(const nlohmann::json &message);

} // namespace Carawaymill

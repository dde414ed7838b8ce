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

/// The slices that exchange messages with their like on other hosts. The values are part of the peer protocol.
enum class PeerChannel : std::uint8_t {
    Membership = 0,
    Catalogue = 1,
    Ledger = 2,
    Limits = 3,
    Quarantine = 4,
    Configuration = 5,
    Load = 6,
    Range = 7,
};

/// A peer's message together with the slice that it is for.
struct ChannelMessage
{
    PeerChannel channel = PeerChannel::Membership;
    nlohmann::json body;
};

/// Our other hosts: who is alive, where they are reached, and the envelope around every message between us.
class Fleet
{
public:
    [[nodiscard]] static Result<Fleet, InvalidMembershipOptions> create(const NodeOptions &options);

    /// These tell whether some host's state changed.
    [[nodiscard]] bool tick(TimePoint now, NodeOutput &output);
    [[nodiscard]] bool hostListRead(const HostListRead &list, TimePoint now, NodeOutput &output);
    [[nodiscard]] bool
    membershipReceived(const HostId &from, const nlohmann::json &body, TimePoint now, NodeOutput &output);
    void leave(TimePoint now, NodeOutput &output);

    /// Sends to a known host; a message to an unknown one is dropped.
    void send(const HostId &to, PeerChannel channel, nlohmann::json body, NodeOutput &output) const;

    [[nodiscard]] const Membership &membership() const { return m_membership; }

    /// All hosts that the platform's list names or that we know to be alive, this one included.
    [[nodiscard]] std::vector<Member> members() const { return m_membership.members(); }

private:
    explicit Fleet(HostId self, Membership membership);

    [[nodiscard]] bool perform(std::vector<MembershipAction> actions, NodeOutput &output);
    void refreshAddresses();

    HostId m_self;
    Membership m_membership;
    std::map<HostId, std::string> m_addresses;
};

/// For people, for example `alive`.
[[nodiscard]] const char *memberStateName(MemberState state);

/// Unwraps a message; nothing when it has another shape.
[[nodiscard]] std::optional<ChannelMessage> readEnvelope(const nlohmann::json &message);

} // namespace Carawaymill

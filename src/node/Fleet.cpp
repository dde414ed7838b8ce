#include "node/Fleet.h"

#include "support/Hash.h"

namespace Carawaymill {

static nlohmann::json envelope(PeerChannel channel, nlohmann::json body)
{
    return nlohmann::json::array({static_cast<unsigned>(channel), std::move(body)});
}

std::optional<ChannelMessage> readEnvelope(const nlohmann::json &message)
{
    if (!message.is_array() || message.size() != 2 || !message[0].is_number_unsigned()
        || message[0] > static_cast<unsigned>(PeerChannel::TargetObservations)) {
        return std::nullopt;
    }
    return ChannelMessage{.channel = static_cast<PeerChannel>(message[0].get<unsigned>()), .body = message[1]};
}

const char *memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "";
}

Result<Fleet, InvalidMembershipOptions> Fleet::create(const NodeOptions &options)
{
    auto membership = Membership::create({.self = options.host,
                                          .profile = {.peerAddress = options.peerAddress,
                                                      .failureDomain = options.failureDomain,
                                                      .region = options.region},
                                          .incarnation = options.incarnation,
                                          .configured = options.configuredMembers,
                                          .seed = stableHash("membership", options.seed)});
    if (auto *invalid = std::get_if<InvalidMembershipOptions>(&membership)) {
        return std::move(*invalid);
    }
    return Fleet(options.host, std::get<Membership>(std::move(membership)));
}

Fleet::Fleet(HostId self, Membership membership)
    : m_self(std::move(self))
    , m_membership(std::move(membership))
{
    refreshAddresses();
}

bool Fleet::tick(TimePoint now, NodeOutput &output)
{
    return perform(m_membership.handle(Tick{}, now), output);
}

bool Fleet::hostListRead(const HostListRead &list, TimePoint now, NodeOutput &output)
{
    const bool changed = perform(m_membership.handle(list, now), output);
    refreshAddresses();
    return changed;
}

bool Fleet::membershipReceived(const HostId &from, const nlohmann::json &body, TimePoint now, NodeOutput &output)
{
    auto message = decode<MembershipMessage>(body);
    if (auto *read = std::get_if<MembershipMessage>(&message)) {
        return perform(m_membership.handle(MembershipMessageReceived{.from = from, .message = std::move(*read)}, now),
                       output);
    }
    return false;
}

void Fleet::leave(TimePoint now, NodeOutput &output)
{
    (void)perform(m_membership.handle(LeaveRequested{}, now), output);
}

void Fleet::send(const HostId &to, PeerChannel channel, nlohmann::json body, NodeOutput &output) const
{
    if (const auto address = m_addresses.find(to); address != m_addresses.end()) {
        output.add(SendToPeer{.to = to, .address = address->second, .message = envelope(channel, std::move(body))});
    }
}

bool Fleet::perform(std::vector<MembershipAction> actions, NodeOutput &output)
{
    bool changed = false;
    for (MembershipAction &action : actions) {
        if (auto *send = std::get_if<SendMembershipMessage>(&action)) {
            output.add(SendToPeer{.to = send->to,
                                  .address = send->peerAddress,
                                  .message = envelope(PeerChannel::Membership, send->message)});
            continue;
        }
        const auto &change = std::get<MemberChanged>(action);
        output.log("Membership: host " + change.host.value() + " is " + memberStateName(change.state) + ".");
        changed = true;
    }
    if (changed) {
        refreshAddresses();
    }
    return changed;
}

void Fleet::refreshAddresses()
{
    m_addresses.clear();
    for (const Member &member : m_membership.members()) {
        if (member.host != m_self) {
            m_addresses.emplace(member.host, member.profile.peerAddress);
        }
    }
}

} // namespace Carawaymill

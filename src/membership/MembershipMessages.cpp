#include "membership/MembershipMessages.h"

#include "support/Variant.h"

namespace Carawaymill {

static constexpr unsigned livenessBits = 0x3;
static constexpr unsigned leavingBit = 0x4;

enum class MessageKind : std::uint8_t {
    Probe,
    ProbeRequest,
    Acknowledgement,
};

static void to_json(nlohmann::json &json, const MemberUpdate &update)
{
    const unsigned status = static_cast<unsigned>(update.liveness) | (update.leaving ? leavingBit : 0U);
    json = nlohmann::json::array({update.host, update.incarnation, status});
    if (update.profile) {
        json.push_back(update.profile->peerAddress);
        json.push_back(update.profile->failureDomain);
        json.push_back(update.profile->region);
    }
}

static MemberLiveness livenessOf(unsigned status)
{
    switch (status & livenessBits) {
    case 0:
        return MemberLiveness::Alive;
    case 1:
        return MemberLiveness::Suspect;
    default:
        return MemberLiveness::Dead;
    }
}

static void from_json(const nlohmann::json &json, MemberUpdate &update)
{
    json.at(0).get_to(update.host);
    json.at(1).get_to(update.incarnation);
    const auto status = json.at(2).get<unsigned>();
    update.liveness = livenessOf(status);
    update.leaving = (status & leavingBit) != 0;
    if (json.size() > 3) {
        update.profile = MemberProfile{.peerAddress = json.at(3).get<std::string>(),
                                       .failureDomain = json.at(4).get<FailureDomainId>(),
                                       .region = json.at(5).get<RegionId>()};
    }
}

void to_json(nlohmann::json &json, const MembershipMessage &message)
{
    json = nlohmann::json::array({message.body.index(), message.sequence, message.sender, message.updates});
    if (const auto *request = std::get_if<ProbeRequest>(&message.body)) {
        json.push_back(request->target);
    }
}

void from_json(const nlohmann::json &json, MembershipMessage &message)
{
    switch (static_cast<MessageKind>(json.at(0).get<std::uint8_t>())) {
    case MessageKind::Probe:
        message.body = Probe{};
        break;
    case MessageKind::ProbeRequest:
        message.body = ProbeRequest{.target = json.at(4).get<HostId>()};
        break;
    case MessageKind::Acknowledgement:
        message.body = Acknowledgement{};
        break;
    default:
        throw nlohmann::json::other_error::create(501, "/0: unknown kind of membership message", &json);
    }
    json.at(1).get_to(message.sequence);
    json.at(2).get_to(message.sender);
    json.at(3).get_to(message.updates);
}

} // namespace Carawaymill

#include "hostlist/HostListCodec.h"

#include "support/Codec.h"

namespace Carawaymill {

static const char *stateName(HostListState state)
{
    return state == HostListState::Live ? "live" : "leaving";
}

static HostListState stateFrom(const nlohmann::json &json)
{
    const auto name = json.at("state").get<std::string>();
    if (name == "live") {
        return HostListState::Live;
    }
    if (name == "leaving") {
        return HostListState::Leaving;
    }
    throw nlohmann::json::other_error::create(501, "state: live or leaving", &json);
}

void to_json(nlohmann::json &json, const HostListRead &list)
{
    json = {{"hosts", nlohmann::json::array()}, {"targets", nlohmann::json::array()}};
    for (const ListedHost &host : list.hosts) {
        json["hosts"].push_back({{"host", host.host},
                                 {"state", stateName(host.state)},
                                 {"peerAddress", host.peerAddress},
                                 {"failureDomain", host.failureDomain},
                                 {"region", host.region}});
    }
    for (const ListedTarget &target : list.targets) {
        json["targets"].push_back({{"target", target.target}, {"state", stateName(target.state)}});
    }
}

void from_json(const nlohmann::json &json, HostListRead &list)
{
    list = HostListRead{};
    for (const nlohmann::json &host : json.at("hosts")) {
        list.hosts.push_back(ListedHost{.host = host.at("host").get<HostId>(),
                                        .state = stateFrom(host),
                                        .peerAddress = host.at("peerAddress").get<std::string>(),
                                        .failureDomain = host.at("failureDomain").get<FailureDomainId>(),
                                        .region = host.at("region").get<RegionId>()});
    }
    for (const nlohmann::json &target : json.at("targets")) {
        list.targets.push_back(ListedTarget{.target = target.at("target").get<TargetId>(), .state = stateFrom(target)});
    }
}

} // namespace Carawaymill

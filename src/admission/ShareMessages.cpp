#include "admission/ShareMessages.h"

#include "support/Variant.h"

namespace Carawaymill {

LimitName limitName(const OrganisationId &organisation)
{
    return LimitName("organisation/" + organisation.value());
}

LimitName limitName(const EntryId &entry)
{
    return LimitName("entry/" + entry.value());
}

static void to_json(nlohmann::json &json, const ShareDemand &demand)
{
    json = nlohmann::json::array({demand.key, demand.held, demand.wanted});
}

static void from_json(const nlohmann::json &json, ShareDemand &demand)
{
    json.at(0).get_to(demand.key);
    json.at(1).get_to(demand.held);
    json.at(2).get_to(demand.wanted);
}

static void to_json(nlohmann::json &json, const ShardRequest &request)
{
    json = nlohmann::json::array({request.shard, request.loan, request.demands});
}

static void from_json(const nlohmann::json &json, ShardRequest &request)
{
    json.at(0).get_to(request.shard);
    json.at(1).get_to(request.loan);
    json.at(2).get_to(request.demands);
}

void to_json(nlohmann::json &json, const ShareMessage &message)
{
    std::visit(
        Overloaded{[&](const ShareRequest &request) {
                       json = nlohmann::json::array({0,
                                                     request.sequence,
                                                     request.epoch,
                                                     request.allocatorEpoch,
                                                     request.allocatorClock,
                                                     request.loanTime,
                                                     request.shards});
                   },
                   [&](const ShareReply &reply) {
                       json = nlohmann::json::array(
                           {1, reply.sequence, reply.epoch, reply.allocatorClock, reply.grantTime, reply.shares});
                   }},
        message);
}

void from_json(const nlohmann::json &json, ShareMessage &message)
{
    if (json.at(0).get<int>() == 0) {
        message = ShareRequest{.sequence = json.at(1).get<std::uint32_t>(),
                               .epoch = json.at(2).get<ProcessEpoch>(),
                               .allocatorEpoch = json.at(3).get<ProcessEpoch>(),
                               .allocatorClock = json.at(4).get<std::uint64_t>(),
                               .loanTime = json.at(5).get<std::uint32_t>(),
                               .shards = json.at(6).get<std::vector<ShardRequest>>()};
    } else {
        message = ShareReply{.sequence = json.at(1).get<std::uint32_t>(),
                             .epoch = json.at(2).get<ProcessEpoch>(),
                             .allocatorClock = json.at(3).get<std::uint64_t>(),
                             .grantTime = json.at(4).get<std::uint32_t>(),
                             .shares = json.at(5).get<std::vector<LimitShare>>()};
    }
}

} // namespace Carawaymill

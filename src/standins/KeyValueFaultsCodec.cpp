#include "standins/KeyValueFaultsCodec.h"

namespace Carawaymill {

static WatchFault watchFaultFrom(const nlohmann::json &json)
{
    const auto name = json.get<std::string>();
    if (name == "none") {
        return WatchFault::None;
    }
    if (name == "silent") {
        return WatchFault::Silent;
    }
    if (name == "skipping") {
        return WatchFault::Skipping;
    }
    throw nlohmann::json::other_error::create(501, "watches: none, silent or skipping", &json);
}

static Result<KeyValueFaults, DecodeFailure> readFaults(const nlohmann::json &json, KeyValueFaults faults)
{
    try {
        for (const auto &[name, value] : json.items()) {
            if (name == "outage") {
                value.get_to(faults.outage);
            } else if (name == "nextAnswersLost") {
                value.get_to(faults.nextAnswersLost);
            } else if (name == "nextCallsLost") {
                value.get_to(faults.nextCallsLost);
            } else if (name == "answerLossProbability") {
                value.get_to(faults.answerLossProbability);
            } else if (name == "callLossProbability") {
                value.get_to(faults.callLossProbability);
            } else if (name == "watches") {
                faults.watches = watchFaultFrom(value);
            } else if (name != "freezeReads" || !value.is_boolean()) {
                return DecodeFailure{.field = "/" + name};
            }
        }
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = exception.what()};
    }
    return faults;
}

Result<Done, DecodeFailure> applyFaults(const nlohmann::json &json, KeyValueStore &store)
{
    if (!json.is_object()) {
        return DecodeFailure{.field = "/"};
    }
    const auto faults = readFaults(json, store.faults());
    if (const auto *failure = std::get_if<DecodeFailure>(&faults)) {
        return *failure;
    }
    store.faults() = std::get<KeyValueFaults>(faults);
    if (json.contains("freezeReads")) {
        json.at("freezeReads").get<bool>() ? store.freezeReads() : store.thawReads();
    }
    return Done{};
}

void to_json(nlohmann::json &json, const KeyValueCounts &counts)
{
    json = {{"reads", counts.reads},
            {"watches", counts.watches},
            {"commits", counts.commits},
            {"grants", counts.grants},
            {"renewals", counts.renewals},
            {"revocations", counts.revocations},
            {"refused", counts.refused},
            {"writes", counts.writes()}};
}

} // namespace Carawaymill

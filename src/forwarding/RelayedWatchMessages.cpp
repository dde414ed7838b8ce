#include "forwarding/RelayedWatchMessages.h"

namespace Carawaymill {

static constexpr const char *requestKind = "asked";
static constexpr const char *responseKind = "told";
static constexpr const char *unavailableKind = "unknown";

static RelayedRange rangeOf(const nlohmann::json &json)
{
    const auto number = json.get<std::uint8_t>();
    if (number > static_cast<std::uint8_t>(RelayedRange::Hosts)) {
        throw nlohmann::json::other_error::create(501, "no such range", &json);
    }
    return static_cast<RelayedRange>(number);
}

void to_json(nlohmann::json &json, const RangeWatchMessage &message)
{
    std::visit(
        Overloaded{[&](const RangeWatchRequest &request) {
                       json = {requestKind, request.number, request.range, request.after.value(), request.wait.count()};
                   },
                   [&](const RangeWatchResponse &response) {
                       nlohmann::json written = nlohmann::json::array();
                       for (const KeyValueRecord &record : response.written) {
                           written.push_back({record.key, record.value, record.revision.value()});
                       }
                       json = {responseKind,
                               response.number,
                               response.range,
                               response.revision.value(),
                               response.age.count(),
                               std::move(written),
                               response.deletedKeys};
                   },
                   [&](const RangeWatchUnavailable &unavailable) {
                       json = {unavailableKind, unavailable.number};
                   }},
        message);
}

void from_json(const nlohmann::json &json, RangeWatchMessage &message)
{
    const auto number = json.at(1).get<std::uint64_t>();
    if (json.at(0) == requestKind) {
        message = RangeWatchRequest{.number = number,
                                    .range = rangeOf(json.at(2)),
                                    .after = Revision(json.at(3).get<std::uint64_t>()),
                                    .wait = Duration(json.at(4).get<Duration::rep>())};
        return;
    }
    if (json.at(0) == unavailableKind) {
        message = RangeWatchUnavailable{.number = number};
        return;
    }
    RangeWatchResponse response{.number = number,
                                .range = rangeOf(json.at(2)),
                                .written = {},
                                .deletedKeys = json.at(6).get<std::vector<std::string>>(),
                                .revision = Revision(json.at(3).get<std::uint64_t>()),
                                .age = Duration(json.at(4).get<Duration::rep>())};
    for (const nlohmann::json &record : json.at(5)) {
        response.written.push_back({.key = record.at(0).get<std::string>(),
                                    .value = record.at(1).get<std::string>(),
                                    .revision = Revision(record.at(2).get<std::uint64_t>()),
                                    .lease = std::nullopt});
    }
    message = std::move(response);
}

} // namespace Carawaymill

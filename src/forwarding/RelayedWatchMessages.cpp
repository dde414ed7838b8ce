#include "forwarding/RelayedWatchMessages.h"

namespace Carawaymill {

static constexpr const char *requestKind = "asked";
static constexpr const char *responseKind = "told";
static constexpr const char *unavailableKind = "unknown";

static constexpr std::size_t requestEraPosition = 5;
static constexpr std::size_t responseEraPosition = 7;

const char *rangeName(RelayedRange range)
{
    switch (range) {
    case RelayedRange::Configuration:
        return "configuration";
    case RelayedRange::Directory:
        return "directory";
    case RelayedRange::Hosts:
        break;
    }
    return "hosts";
}

static RelayedRange rangeOf(const nlohmann::json &json)
{
    const auto number = json.get<std::uint8_t>();
    if (number > static_cast<std::uint8_t>(RelayedRange::Hosts)) {
        throw nlohmann::json::other_error::create(501, "no such range", &json);
    }
    return static_cast<RelayedRange>(number);
}

/// The era is the last element. Messages of releases that know no eras lack it, and these releases ignore it.
static void writeEra(nlohmann::json &json, const std::optional<StoreEra> &era)
{
    if (era) {
        json.push_back(era->value());
    }
}

static std::optional<StoreEra> readEra(const nlohmann::json &json, std::size_t position)
{
    return json.size() > position ? std::optional(StoreEra(json.at(position).get<std::uint64_t>())) : std::nullopt;
}

void to_json(nlohmann::json &json, const RangeWatchMessage &message)
{
    std::visit(
        Overloaded{[&](const RangeWatchRequest &request) {
                       json = {requestKind, request.number, request.range, request.after.value(), request.wait.count()};
                       writeEra(json, request.era);
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
                       writeEra(json, response.era);
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
                                    .wait = Duration(json.at(4).get<Duration::rep>()),
                                    .era = readEra(json, requestEraPosition)};
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
                                .age = Duration(json.at(4).get<Duration::rep>()),
                                .era = readEra(json, responseEraPosition)};
    for (const nlohmann::json &record : json.at(5)) {
        response.written.push_back({.key = record.at(0).get<std::string>(),
                                    .value = record.at(1).get<std::string>(),
                                    .revision = Revision(record.at(2).get<std::uint64_t>()),
                                    .lease = std::nullopt});
    }
    message = std::move(response);
}

} // namespace Carawaymill

#include "node/RouteQuestions.h"

#include "administration/AdministrationReplies.h"
#include "http/PercentEncoding.h"
#include "support/Seconds.h"

#include <charconv>
#include <cmath>
#include <map>
#include <string_view>

namespace Carawaymill {

static constexpr std::string_view questionPath = "/administration/v1/explain-route";
/// More tokens than any model's context; keeps the router's sums far from overflow.
static constexpr std::uint64_t maximumTokens = 100'000'000;

namespace {

/// A parameter of the query is missing or cannot be read.
struct InvalidParameter
{
    std::string name;
    std::string reason;
};

} // namespace

bool isRouteQuestion(const HttpRequest &request)
{
    return request.method == "GET"
           && std::string_view(request.target).substr(0, request.target.find('?')) == questionPath;
}

/// Values are repeated in responses, and JSON cannot hold other bytes.
static bool isUtf8(const std::string &text)
{
    const std::string valid = nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
    return nlohmann::json::parse(valid) == text;
}

static Result<std::map<std::string, std::string>, InvalidParameter> readParameters(std::string_view target)
{
    std::map<std::string, std::string> parameters;
    target.remove_prefix(std::min(target.find('?'), target.size() - 1) + 1);
    while (!target.empty()) {
        const std::string_view pair = target.substr(0, target.find('&'));
        target.remove_prefix(std::min(pair.size() + 1, target.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        const auto value = percentDecoded(pair.substr(std::min(equals + 1, pair.size())));
        if (!value || !isUtf8(*value)) {
            return InvalidParameter{.name = "query", .reason = "is not percent-encoded UTF-8."};
        }
        parameters[std::string(pair.substr(0, equals))] = *value;
    }
    return parameters;
}

static Result<std::optional<TokenCount>, InvalidParameter>
readTokens(const std::map<std::string, std::string> &parameters, const std::string &name)
{
    const auto found = parameters.find(name);
    if (found == parameters.end()) {
        return std::optional<TokenCount>();
    }
    const std::string &text = found->second;
    std::uint64_t tokens = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), tokens);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || tokens > maximumTokens) {
        return InvalidParameter{.name = name,
                                .reason = "is not a whole number up to " + std::to_string(maximumTokens) + "."};
    }
    return std::optional(TokenCount(tokens));
}

static Result<RouteQuestion, InvalidParameter> readQuestion(const std::string &target)
{
    auto read = readParameters(target);
    if (const auto *invalid = std::get_if<InvalidParameter>(&read)) {
        return *invalid;
    }
    const auto &parameters = std::get<std::map<std::string, std::string>>(read);
    RouteQuestion question;
    for (const auto &[name, place] : {std::pair("hostName", &question.hostName), std::pair("path", &question.path)}) {
        const auto found = parameters.find(name);
        if (found == parameters.end() || found->second.empty()) {
            return InvalidParameter{.name = name, .reason = "is needed."};
        }
        *place = found->second;
    }
    if (const auto found = parameters.find("keyHolder"); found != parameters.end()) {
        question.organisation = OrganisationId(found->second);
    }
    for (const auto &[name, place] :
         {std::pair("promptTokens", &question.promptTokens), std::pair("expectedTokens", &question.expectedTokens)}) {
        auto tokens = readTokens(parameters, name);
        if (const auto *invalid = std::get_if<InvalidParameter>(&tokens)) {
            return *invalid;
        }
        *place = std::get<std::optional<TokenCount>>(tokens);
    }
    return question;
}

/// Whole thousandths, since further digits of an estimate mean nothing; null if there is no number.
static nlohmann::json rounded(std::optional<double> value)
{
    static constexpr double steps = 1000;
    return value && std::isfinite(*value) ? nlohmann::json(std::round(*value * steps) / steps) : nlohmann::json();
}

static nlohmann::json costMilliseconds(std::optional<double> seconds)
{
    static constexpr double millisecondsPerSecond = 1000;
    return rounded(seconds ? std::optional(*seconds * millisecondsPerSecond) : std::nullopt);
}

static nlohmann::json stageJson(const ExplainedStage &stage)
{
    nlohmann::json alternatives = nlohmann::json::array();
    for (const ExplainedAlternative &alternative : stage.alternatives) {
        alternatives.push_back(
            {{"target", alternative.target}, {"costMilliseconds", costMilliseconds(alternative.cost)}});
    }
    nlohmann::json json = {{"target", stage.target},
                           {"address", stage.address},
                           {"costMilliseconds", costMilliseconds(stage.cost)},
                           {"alternatives", std::move(alternatives)}};
    if (!stage.layers.empty()) {
        json["layers"] = nlohmann::json::array({stage.layers.first, stage.layers.end});
        json["openLayers"] = rounded(stage.openLayers);
        json["cacheOccupancy"] = rounded(stage.cacheOccupancy);
        json["pace"] = rounded(stage.pace);
        json["unreadLayerTokens"] = rounded(stage.unreadLayerTokens);
    }
    return json;
}

static nlohmann::json excludedJson(const std::vector<ExcludedTarget> &excluded)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ExcludedTarget &target : excluded) {
        list.push_back({{"target", target.target}, {"reason", targetExclusionName(target.reason)}});
    }
    return list;
}

static nlohmann::json explanationJson(const RouteExplanation &explanation, const HostId &host)
{
    nlohmann::json services = nlohmann::json::array();
    for (const ServiceShare &share : explanation.route.services) {
        services.push_back({{"service", share.service}, {"weight", share.weight}});
    }
    nlohmann::json path = nlohmann::json::array();
    for (const ExplainedStage &stage : explanation.path) {
        path.push_back(stageJson(stage));
    }
    nlohmann::json json = {{"host", host},
                           {"configurationVersion", explanation.version},
                           {"route", explanation.route.name},
                           {"hostName", explanation.route.host},
                           {"prefix", explanation.route.prefix},
                           {"organisation", nullptr},
                           {"rank", explanation.rank},
                           {"service", explanation.service},
                           {"services", std::move(services)},
                           {"promptTokens", explanation.promptTokens},
                           {"expectedTokens", explanation.expectedTokens},
                           {"outcome", routeOutcomeName(explanation.outcome)},
                           {"refusal", nullptr},
                           {"waitsFor", routeWaitName(explanation.waitsFor)},
                           {"waitingAhead", explanation.ahead},
                           {"expectedWaitMilliseconds", nullptr},
                           {"path", std::move(path)},
                           {"excluded", excludedJson(explanation.excluded)}};
    if (explanation.organisation) {
        json["organisation"] = *explanation.organisation;
    }
    if (explanation.refusal) {
        json["refusal"] = forwardFailureName(*explanation.refusal);
    }
    if (explanation.expectedWait) {
        json["expectedWaitMilliseconds"] = wholeMilliseconds(*explanation.expectedWait);
    }
    return json;
}

static HttpResponse pathMissingResponse(const PathMissing &missing)
{
    nlohmann::json members = {
        {"service", missing.service}, {"layer", nullptr}, {"excluded", excludedJson(missing.excluded)}};
    std::string detail = "No target of service " + missing.service.value() + " can be used.";
    if (missing.layer) {
        members["layer"] = *missing.layer;
        detail = "No usable target of service " + missing.service.value() + " holds layer "
                 + std::to_string(missing.layer->value()) + ".";
    }
    return administrationProblemResponse(
        {.status = 503, .type = "no-chain", .detail = std::move(detail), .members = std::move(members)});
}

HttpResponse respondToRouteQuestion(const std::string &target,
                                    const HostId &host,
                                    const std::function<RouteExplanationResult(const RouteQuestion &)> &explain)
{
    const auto question = readQuestion(target);
    if (const auto *invalid = std::get_if<InvalidParameter>(&question)) {
        return administrationProblemResponse({.status = 400,
                                              .type = "bad-request",
                                              .detail = invalid->name + " " + invalid->reason,
                                              .members = {{"field", invalid->name}}});
    }
    return std::visit(
        Overloaded{
            [&](const RouteExplanation &explanation) { return jsonResponse(explanationJson(explanation, host)); },
            [](const RouteTableMissing &) {
                return administrationProblemResponse(
                    {.status = 503, .type = "no-configuration", .detail = "The host has not read the configuration."});
            },
            [](const RouteMissing &missing) {
                return administrationProblemResponse(
                    {.status = 404,
                     .type = "no-route",
                     .detail = "No route of host name " + missing.hostName + " has a prefix of " + missing.path + ".",
                     .members = {{"hostName", missing.hostName}, {"path", missing.path}}});
            },
            [](const OrganisationMissing &missing) {
                return administrationProblemResponse(
                    {.status = 404,
                     .type = "organisation-unknown",
                     .detail = "There is no organisation " + missing.organisation.value() + ".",
                     .members = {{"organisation", missing.organisation}}});
            },
            [](const PathMissing &missing) { return pathMissingResponse(missing); }},
        explain(std::get<RouteQuestion>(question)));
}

} // namespace Carawaymill

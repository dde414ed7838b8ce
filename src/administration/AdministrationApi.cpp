#include "administration/AdministrationApi.h"

#include "administration/AdministrationReplies.h"
#include "support/Hash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace Carawaymill {

static constexpr std::string_view pathPrefix = "/administration/v1/";
static constexpr std::string_view bearerPrefix = "Bearer ";
static constexpr std::size_t sha256HexLength = 64;
static constexpr std::array<std::string_view, 4> recordKinds{"organisation", "entry", "model", "target"};

static std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        parts.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

static std::optional<Revision> parseRevision(std::string_view text)
{
    // An entity tag comes in quotes.
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return Revision(number);
}

static AdministrationReply reply(CallId id, HttpResponse response)
{
    return {.id = id, .response = std::move(response)};
}

static AdministrationReply problem(CallId id, const AdministrationProblem &problem)
{
    return reply(id, administrationProblemResponse(problem));
}

static AdministrationReply notFound(CallId id)
{
    return problem(id, {.status = 404, .type = "not-found", .detail = "There is nothing of this name."});
}

static AdministrationReply badRequest(CallId id, const std::string &field, const std::string &detail)
{
    return problem(
        id, {.status = 400, .type = "bad-request", .detail = field + " " + detail, .members = {{"field", field}}});
}

static nlohmann::json itemJson(const std::string &key, const CatalogueTable::Item &item)
{
    return {{"key", key}, {"revision", item.revision}, {"record", *item.record}};
}

static nlohmann::json changesAfter(Revision after, const CatalogueReplica &catalogue)
{
    nlohmann::json changes = nlohmann::json::array();
    for (const auto &[key, item] : catalogue.table().items()) {
        if (item.revision > after && key != catalogueHeadKey) {
            changes.push_back({{"key", key}, {"revision", item.revision}, {"deleted", !item.record}});
        }
    }
    return {{"revision", catalogue.revision()}, {"changes", std::move(changes)}};
}

Result<AdministrationApi, InvalidAdministrationOptions> AdministrationApi::create(AdministrationOptions options)
{
    if (options.tokenHash.size() != sha256HexLength) {
        return InvalidAdministrationOptions{.field = "tokenHash"};
    }
    return AdministrationApi(std::move(options));
}

std::vector<AdministrationAction>
AdministrationApi::handle(const AdministrationEvent &event, const CatalogueReplica &catalogue, TimePoint now)
{
    return std::visit(
        Overloaded{[&](const Tick &) { return tick(catalogue, now); },
                   [&](const AdministrationRequest &request) { return handleRequest(request, catalogue, now); },
                   [&](const AdministrationAnswer &answer) { return handleAnswer(answer, catalogue, now); },
                   [&](const EditFinished &finished) { return handleFinished(finished); }},
        event);
}

AdministrationApi::Route AdministrationApi::routeOf(const HttpRequest &request)
{
    const std::string_view target = request.target;
    const std::size_t question = std::min(target.find('?'), target.size());
    Route route{.method = request.method};
    if (target.starts_with(pathPrefix)) {
        route.path = split(target.substr(0, question).substr(pathPrefix.size()), '/');
    }
    for (const std::string &parameter : split(target.substr(std::min(question + 1, target.size())), '&')) {
        const std::size_t equals = std::min(parameter.find('='), parameter.size());
        route.query[parameter.substr(0, equals)] = parameter.substr(std::min(equals + 1, parameter.size()));
    }
    return route;
}

bool AdministrationApi::isAuthorised(const HttpRequest &request) const
{
    const std::string header = headerValue(request.headers, "Authorization");
    // Comparing hashes gives nothing away by its duration.
    return header.starts_with(bearerPrefix) && sha256Hex(header.substr(bearerPrefix.size())) == m_options.tokenHash;
}

AdministrationApi::Actions
AdministrationApi::handleRequest(const AdministrationRequest &request, const CatalogueReplica &catalogue, TimePoint now)
{
    if (!isAuthorised(request.request)) {
        return {
            problem(request.id, {.status = 401, .type = "unauthorised", .detail = "A valid bearer token is needed."})};
    }
    const Route route = routeOf(request.request);
    const std::string resource = route.path.empty() ? "" : route.path.front();
    const std::string argument = route.path.size() == 2 ? route.path.at(1) : "";
    const auto is = [&](std::string_view method, std::string_view name, bool takesArgument) {
        return route.method == method && resource == name && route.path.size() == (takesArgument ? 2U : 1U);
    };
    if (resource == "records") {
        return handleRecords(request, route, catalogue);
    }
    if (is("GET", "in-force", true)) {
        return handleInForce(request.id, route, catalogue);
    }
    if (is("GET", "watch", false)) {
        return handleWatch(request.id, route, catalogue, now);
    }
    if (is("GET", "status", false)) {
        return handleQuery(request.id, AdministrationQueryKind::Status, argument, now);
    }
    if (is("GET", "decisions", true)) {
        return handleQuery(request.id, AdministrationQueryKind::Decisions, argument, now);
    }
    if (is("POST", "drain", true)) {
        return handleQuery(request.id, AdministrationQueryKind::Drain, argument, now);
    }
    if (is("GET", "usage", true)) {
        return handleQuery(request.id, AdministrationQueryKind::Usage, argument, now);
    }
    if (is("GET", "suspects", false)) {
        return handleQuery(request.id, AdministrationQueryKind::Suspects, argument, now);
    }
    if (is("DELETE", "suspects", true)) {
        return handleQuery(request.id, AdministrationQueryKind::LiftSuspect, argument, now);
    }
    return {notFound(request.id)};
}

AdministrationApi::Actions AdministrationApi::handleRecords(const AdministrationRequest &request,
                                                            const Route &route,
                                                            const CatalogueReplica &catalogue)
{
    const auto isKind = [](const std::string &kind) {
        return std::ranges::find(recordKinds, kind) != recordKinds.end();
    };
    if (route.path.size() == 3 && isKind(route.path.at(1))) {
        if (route.method == "PUT" || route.method == "DELETE") {
            return handleEdit(request, route);
        }
        const std::string key = cataloguePrefix + route.path.at(1) + "/" + route.path.at(2);
        const CatalogueTable::Item *item = catalogue.table().item(key);
        if (item == nullptr || !item->record || route.method != "GET") {
            return {notFound(request.id)};
        }
        HttpResponse response = jsonResponse(itemJson(key, *item));
        response.headers.emplace_back("ETag", std::to_string(item->revision.value()));
        return {reply(request.id, std::move(response))};
    }
    const auto kind = route.query.find("kind");
    if (route.path.size() != 1 || route.method != "GET" || (kind != route.query.end() && !isKind(kind->second))) {
        return {notFound(request.id)};
    }
    const std::string prefix = kind == route.query.end() ? "" : cataloguePrefix + kind->second + "/";
    nlohmann::json records = nlohmann::json::array();
    for (const auto &[key, item] : catalogue.table().items()) {
        if (item.record && key.starts_with(prefix)) {
            records.push_back(itemJson(key, item));
        }
    }
    return {reply(request.id, jsonResponse({{"records", std::move(records)}, {"revision", catalogue.revision()}}))};
}

AdministrationApi::Actions AdministrationApi::handleEdit(const AdministrationRequest &request, const Route &route)
{
    const HttpHeaders &headers = request.request.headers;
    const std::string edit = headerValue(headers, "Edit-Id");
    if (edit.empty()) {
        return {badRequest(request.id, "Edit-Id", "is needed, so that a repeat of the edit is recognised.")};
    }
    const std::string match = headerValue(headers, "If-Match");
    if (match.empty()) {
        return {problem(request.id,
                        {.status = 428,
                         .type = "precondition-required",
                         .detail = "If-Match must give the record's revision, or 0 for a new record."})};
    }
    const std::optional<Revision> expected = parseRevision(match);
    if (!expected) {
        return {badRequest(request.id, "If-Match", "is not a revision.")};
    }
    EditAsked asked{.edit = EditId(edit),
                    .key = cataloguePrefix + route.path.at(1) + "/" + route.path.at(2),
                    .expected = *expected};
    if (route.method == "PUT") {
        const auto parsed = parseJson(request.request.body);
        if (const auto *failure = std::get_if<DecodeFailure>(&parsed)) {
            return {badRequest(request.id, failure->field, "The body is not JSON.")};
        }
        auto decoded = decodeOperatorsRecord(std::get<nlohmann::json>(parsed));
        if (const auto *invalid = std::get_if<InvalidRecord>(&decoded)) {
            return {reply(request.id, editResponse(EditRefused{.reason = *invalid}))};
        }
        asked.record = std::move(std::get<CatalogueRecord>(decoded));
    }
    m_edits.emplace(asked.edit, request.id);
    return {std::move(asked)};
}

AdministrationApi::Actions
AdministrationApi::handleInForce(CallId id, const Route &route, const CatalogueReplica &catalogue)
{
    const std::optional<Revision> revision = parseRevision(route.path.at(1));
    if (!revision) {
        return {badRequest(id, "revision", "is not a revision.")};
    }
    nlohmann::json body = {{"revision", *revision}, {"confirmed", nullptr}, {"hosts", nullptr}};
    if (const std::optional<InForceCount> count = catalogue.inForceOn(*revision)) {
        body["confirmed"] = count->confirmed;
        body["hosts"] = count->hosts;
    }
    return {InForceAsked{.revision = *revision}, reply(id, jsonResponse(body))};
}

AdministrationApi::Actions
AdministrationApi::handleWatch(CallId id, const Route &route, const CatalogueReplica &catalogue, TimePoint now)
{
    const auto after = route.query.find("after");
    const std::optional<Revision> revision =
        after == route.query.end() ? catalogue.revision() : parseRevision(after->second);
    if (!revision) {
        return {badRequest(id, "after", "is not a revision.")};
    }
    m_watches[id] = Watch{.after = *revision, .until = now + m_options.watchWait};
    return tick(catalogue, now);
}

AdministrationApi::Actions
AdministrationApi::handleQuery(CallId id, AdministrationQueryKind kind, std::string argument, TimePoint now)
{
    m_queries[id] = Query{.kind = kind, .expiresAt = now + m_options.queryTimeout};
    return {AdministrationQuery{.id = id, .kind = kind, .argument = std::move(argument)}};
}

static nlohmann::json catalogueStatus(const CatalogueReplica &catalogue, TimePoint now)
{
    const auto seconds = [](std::optional<Duration> duration) {
        return duration ? nlohmann::json(std::chrono::duration<double>(*duration).count()) : nlohmann::json(nullptr);
    };
    return {{"revision", catalogue.revision()},
            {"loaded", catalogue.loaded()},
            {"takesNewJobs", catalogue.takesNewJobs(now)},
            {"watches", catalogue.watches(now)},
            {"secondsSinceServiceAnswered", seconds(catalogue.age(now))},
            {"stalenessSeconds", seconds(catalogue.staleness(now))}};
}

AdministrationApi::Actions
AdministrationApi::handleAnswer(const AdministrationAnswer &answer, const CatalogueReplica &catalogue, TimePoint now)
{
    const auto found = m_queries.find(answer.id);
    if (found == m_queries.end()) {
        return {};
    }
    const bool isStatus = found->second.kind == AdministrationQueryKind::Status;
    m_queries.erase(found);
    return {std::visit(Overloaded{[&](const nlohmann::json &json) {
                                      nlohmann::json body = json;
                                      if (isStatus) {
                                          body["catalogue"] = catalogueStatus(catalogue, now);
                                      }
                                      return reply(answer.id, jsonResponse(body));
                                  },
                                  [&](const AdministrationSubjectUnknown &) { return notFound(answer.id); },
                                  [&](const AdministrationUnavailable &) {
                                      return problem(answer.id,
                                                     {.status = 503,
                                                      .type = "service-unavailable",
                                                      .detail = "This cannot be answered at present."});
                                  }},
                       answer.result)};
}

AdministrationApi::Actions AdministrationApi::handleFinished(const EditFinished &finished)
{
    Actions actions;
    const auto [first, last] = m_edits.equal_range(finished.edit);
    for (auto waiting = first; waiting != last; ++waiting) {
        actions.emplace_back(reply(waiting->second, editResponse(finished.outcome)));
    }
    m_edits.erase(first, last);
    return actions;
}

AdministrationApi::Actions AdministrationApi::tick(const CatalogueReplica &catalogue, TimePoint now)
{
    Actions actions;
    std::erase_if(m_watches, [&](const auto &waiting) {
        const auto &[id, watch] = waiting;
        if (catalogue.revision() <= watch.after && now < watch.until) {
            return false;
        }
        actions.emplace_back(reply(id, jsonResponse(changesAfter(watch.after, catalogue))));
        return true;
    });
    std::erase_if(m_queries, [&](const auto &waiting) {
        const auto &[id, query] = waiting;
        if (now < query.expiresAt) {
            return false;
        }
        // A drain may have begun, so that nothing is claimed about it.
        actions.emplace_back(problem(id,
                                     {.status = 504,
                                      .type = "outcome-unknown",
                                      .detail = "No answer came in time.",
                                      .ran = TookEffect::Unknown}));
        return true;
    });
    return actions;
}

} // namespace Carawaymill

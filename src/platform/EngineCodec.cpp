#include "platform/EngineCodec.h"

#include "http/JsonRequest.h"
#include "platform/WorkerFields.h"
#include "support/Codec.h"

#include <algorithm>

namespace Carawaymill {

static constexpr unsigned statusOk = 200;
static constexpr unsigned statusAccepted = 202;
static constexpr unsigned statusBadRequest = 400;
static constexpr unsigned statusConflict = 409;
static constexpr unsigned statusPreconditionFailed = 412;
static constexpr unsigned statusMisdirected = 421;
/// Higher counts in a report are not believed.
static constexpr std::uint64_t highestCount = 1'000'000'000;

HttpRequest reportRequest()
{
    return {.method = "GET", .target = "/v1/report", .headers = {}, .body = {}};
}

static std::optional<nlohmann::json> readBody(const HttpResult &result)
{
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->status != statusOk) {
        return std::nullopt;
    }
    auto parsed = parseJson(response->body);
    auto *json = std::get_if<nlohmann::json>(&parsed);
    return json != nullptr && json->is_object() ? std::optional(std::move(*json)) : std::nullopt;
}

std::optional<EngineReport> readReport(const TargetId &target, const HttpResult &result)
{
    const auto json = readBody(result);
    if (!json) {
        return std::nullopt;
    }
    const auto incarnation = readIncarnation(*json);
    auto held = readHeldLayers(*json);
    const auto ordersAccepted = readCount(*json, "Sequence", highestCount, 0);
    const auto queued = readCount(*json, "Queued", highestCount, 0);
    const auto running = readCount(*json, "Active", highestCount, 0);
    const auto busy = json->find("Busy");
    const bool isBusyMalformed = busy != json->end() && !busy->is_boolean();
    if (!incarnation || !held || !ordersAccepted || !queued || !running || isBusyMalformed) {
        return std::nullopt;
    }
    EngineReport report;
    report.state = {.target = target,
                    .incarnation = *incarnation,
                    .held = std::move(*held),
                    .loading = {},
                    .busy = busy != json->end() && busy->get<bool>(),
                    .ordersAccepted = *ordersAccepted};
    report.load.queuedSteps = static_cast<std::uint32_t>(*queued);
    report.load.runningSteps = static_cast<std::uint32_t>(*running);
    return report;
}

/// The text of a field; empty if it is missing or no text.
static std::string readText(const nlohmann::json &object, const char *name)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
}

std::optional<double> readPace(const HttpResult &result)
{
    const auto json = readBody(result);
    if (!json) {
        return std::nullopt;
    }
    const auto pace = json->find("pace");
    const bool isStated = pace != json->end() && pace->is_number() && pace->get<double>() > 0;
    return isStated ? pace->get<double>() : 1;
}

ProgressReported readProgress(const QueryProgress &query, const HttpResult &result)
{
    // Any response shows that the target works, also one that turns the query down.
    ProgressReported progress{
        .id = query.id, .attempt = query.attempt, .answered = std::holds_alternative<HttpResponse>(result)};
    const auto json = readBody(result);
    if (!json) {
        return progress;
    }
    const auto blockedRequests = json->find("Blocked");
    if (blockedRequests == json->end() || !blockedRequests->is_array()) {
        return progress;
    }
    for (const nlohmann::json &entry : *blockedRequests) {
        if (entry.is_object() && readText(entry, "Id") == query.callerAttempt) {
            progress.blockedAtAddress = readText(entry, "Address");
        }
    }
    return progress;
}

HttpRequest orderRequest(const EngineOrder &order)
{
    nlohmann::json body{{"Operation", "place"}, {"Mode", "queue"}, {"FencingToken", order.fencingNumber.value()}};
    const LayerRange layers = order.loads.empty() ? LayerRange() : order.loads.front().layers;
    body["Source"] = layers.first.value();
    body["Target"] = layers.end.value();
    if (order.ordersAccepted) {
        body["Precondition"] = *order.ordersAccepted;
    }
    HttpRequest request = jsonRequest("POST", "/v1/order", body);
    request.headers.emplace_back("X-Expect-Instance", order.target.value());
    return request;
}

std::optional<EngineOrderReply> readOrderReply(const EngineOrder &order, const HttpResult &result)
{
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr) {
        return std::nullopt;
    }
    EngineOrderReply reply{.number = order.number, .outcome = EngineOrderOutcome::Accepted, .highestFencingNumber = {}};
    switch (response->status) {
    case statusOk:
    case statusAccepted:
        return reply;
    case statusConflict:
    case statusMisdirected:
        reply.outcome = EngineOrderOutcome::StateDiffers;
        return reply;
    case statusPreconditionFailed:
        reply.outcome = EngineOrderOutcome::OldFencingNumber;
        // The worker reports that it has seen a higher fencing number, but not its value. The lowest value that it can
        // have is the next number.
        reply.highestFencingNumber = order.fencingNumber.next();
        return reply;
    case statusBadRequest:
        reply.outcome = EngineOrderOutcome::Malformed;
        return reply;
    default:
        return std::nullopt;
    }
}

} // namespace Carawaymill

#include "platform/EngineCodec.h"

#include "http/JsonRequest.h"
#include "platform/Publications.h"
#include "support/Codec.h"

#include <algorithm>

namespace Carawaymill {

static constexpr unsigned statusOk = 200;
static constexpr unsigned statusAccepted = 202;
static constexpr unsigned statusBadRequest = 400;
static constexpr unsigned statusConflict = 409;
static constexpr unsigned statusPreconditionFailed = 412;
static constexpr unsigned statusMisdirected = 421;

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
    try {
        EngineReport report;
        report.state = {.target = target,
                        .incarnation = readIncarnation(*json),
                        .held = readHeldLayers(*json),
                        .loading = {},
                        .busy = json->value("Busy", false),
                        .ordersAccepted = json->value("Sequence", std::uint64_t(0))};
        report.load.queuedSteps = json->value("Queued", 0U);
        report.load.runningSteps = json->value("Active", 0U);
        return report;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
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
        if (entry.is_object() && entry.value("Id", "") == query.callerAttempt) {
            progress.blockedAtAddress = entry.value("Address", "");
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

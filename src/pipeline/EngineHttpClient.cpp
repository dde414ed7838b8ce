#include "pipeline/EngineHttpClient.h"

#include "http/HttpClient.h"
#include "http/JsonRequest.h"

namespace Carawaymill {

/// Freeing a stream is a courtesy; it must not hold a connection for long.
static constexpr Duration dropTimeout = 1s;

static HttpRequest plainRequest(const std::string &method, const std::string &target)
{
    return {.method = method, .target = target, .headers = {}, .body = {}};
}

/// Reads the answer to a call: the value, the engine's refusal, or what kept either from coming.
template<typename Value, typename EngineResult>
static EngineResult readAnswer(const HttpResult &result)
{
    if (std::holds_alternative<HttpNotSent>(result)) {
        return EngineNotSent{};
    }
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr) {
        return EngineNoAnswer{};
    }
    const auto parsed = parseJson(response->body);
    const auto *json = std::get_if<nlohmann::json>(&parsed);
    if (json == nullptr) {
        return EngineNoAnswer{};
    }
    constexpr unsigned ok = 200;
    if (response->status == ok) {
        auto value = decode<Value>(*json);
        if (auto *read = std::get_if<Value>(&value)) {
            return std::move(*read);
        }
        return EngineNoAnswer{};
    }
    if constexpr (std::is_constructible_v<EngineResult, EngineRefusal>) {
        if (const auto refusal = decode<EngineRefusal>(*json); std::holds_alternative<EngineRefusal>(refusal)) {
            return std::get<EngineRefusal>(refusal);
        }
    }
    return EngineNoAnswer{};
}

void EngineHttpClient::runStep(const std::string &address,
                               const StepRequest &step,
                               Duration timeout,
                               std::function<void(StepResult)> callback)
{
    m_client.send(address,
                  jsonRequest("POST", "/v1/steps", step),
                  {.timeout = timeout},
                  [callback = std::move(callback)](const HttpResult &result) {
                      callback(readAnswer<StepReply, StepResult>(result));
                  });
}

void EngineHttpClient::askStream(const std::string &address,
                                 const StreamId &stream,
                                 Duration timeout,
                                 std::function<void(StreamStatusResult)> callback)
{
    // The old connection may be the reason for the question, so it isn't used for it.
    m_client.send(address,
                  plainRequest("GET", "/v1/streams/" + stream.value()),
                  {.timeout = timeout, .freshConnection = true},
                  [callback = std::move(callback)](const HttpResult &result) {
                      callback(readAnswer<StreamStatus, StreamStatusResult>(result));
                  });
}

void EngineHttpClient::dropStream(const std::string &address, const StreamId &stream)
{
    m_client.send(address,
                  plainRequest("DELETE", "/v1/streams/" + stream.value()),
                  {.timeout = dropTimeout},
                  [](const HttpResult &) {});
}

void EngineHttpClient::report(const std::string &address,
                              Duration timeout,
                              std::function<void(EngineSelfReportResult)> callback)
{
    m_client.send(address,
                  plainRequest("GET", "/v1/state"),
                  {.timeout = timeout},
                  [callback = std::move(callback)](const HttpResult &result) {
                      callback(readAnswer<EngineSelfReport, EngineSelfReportResult>(result));
                  });
}

void EngineHttpClient::order(const std::string &address,
                             const EngineOrder &order,
                             std::function<void(std::optional<EngineOrderReply>)> callback)
{
    using OrderResult = Result<EngineOrderReply, EngineNotSent, EngineNoAnswer>;
    m_client.send(address,
                  jsonRequest("POST", "/v1/orders", order),
                  {.timeout = order.validFor},
                  [callback = std::move(callback)](const HttpResult &result) {
                      const auto answer = readAnswer<EngineOrderReply, OrderResult>(result);
                      const auto *reply = std::get_if<EngineOrderReply>(&answer);
                      callback(reply == nullptr ? std::nullopt : std::optional(*reply));
                  });
}

void to_json(nlohmann::json &json, const EngineSelfReport &report)
{
    json = {{"state", report.state},
            {"queuedSteps", report.load.queuedSteps},
            {"runningSteps", report.load.runningSteps},
            {"freeCacheBytes", report.load.freeCacheBytes}};
}

void from_json(const nlohmann::json &json, EngineSelfReport &report)
{
    json.at("state").get_to(report.state);
    json.at("queuedSteps").get_to(report.load.queuedSteps);
    json.at("runningSteps").get_to(report.load.runningSteps);
    json.at("freeCacheBytes").get_to(report.load.freeCacheBytes);
}

} // namespace Carawaymill

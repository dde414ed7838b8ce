#include "enginestandin/EngineServer.h"

#include "pipeline/EngineHttpClient.h"

namespace Carawaymill {

static constexpr unsigned statusOk = 200;
static constexpr unsigned statusBadRequest = 400;
static constexpr unsigned statusNotFound = 404;
static constexpr unsigned statusConflict = 409;

static HttpResponse jsonResponse(unsigned status, const nlohmann::json &body)
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

static HttpResponse refusalResponse(EngineRefusal refusal)
{
    return jsonResponse(refusal.kind == EngineRefusalKind::Malformed ? statusBadRequest : statusConflict, refusal);
}

EngineServer::EngineServer(EngineCoreOptions options, std::function<void(Duration, std::function<void()>)> after)
    : m_core(std::move(options))
    , m_after(std::move(after))
{
}

void EngineServer::handle(const HttpRequest &request, std::unique_ptr<HttpResponder> responder, TimePoint now)
{
    if (request.target == "/faults") {
        handleFaults(request, *responder);
    } else if (m_faults.frozen) {
        m_unanswered.push_back(std::move(responder));
    } else if (request.target == "/v1/steps") {
        handleStep(request, std::move(responder), now);
    } else if (request.target.starts_with("/v1/streams/")) {
        handleStream(request, *responder);
    } else if (request.target == "/v1/orders") {
        handleOrder(request, *responder, now);
    } else if (request.target == "/v1/state") {
        const EngineSelfReport report{.state = m_core.state(now),
                                      .load = {.queuedSteps = static_cast<std::uint32_t>(m_core.queuedSteps()),
                                               .runningSteps = static_cast<std::uint32_t>(m_core.runningSteps()),
                                               .freeCacheBytes = ByteCount(0)}};
        responder->send(jsonResponse(statusOk, report));
    } else {
        responder->send(jsonResponse(statusNotFound, nlohmann::json::object()));
    }
}

void EngineServer::handleStep(const HttpRequest &request, std::unique_ptr<HttpResponder> responder, TimePoint now)
{
    const auto parsed = parseJson(request.body);
    const auto *json = std::get_if<nlohmann::json>(&parsed);
    const auto step =
        json == nullptr ? Result<StepRequest, DecodeFailure>(DecodeFailure{}) : decode<StepRequest>(*json);
    if (std::holds_alternative<DecodeFailure>(step)) {
        responder->send(refusalResponse({EngineRefusalKind::Malformed}));
        return;
    }
    m_waiting.emplace(m_core.submit(std::get<StepRequest>(step), now), std::move(responder));
}

void EngineServer::handleStream(const HttpRequest &request, HttpResponder &responder)
{
    const StreamId stream(request.target.substr(std::string("/v1/streams/").size()));
    if (request.method == "DELETE") {
        m_core.cancel(stream);
        responder.send(jsonResponse(statusOk, nlohmann::json::object()));
        return;
    }
    const auto status = m_core.status(stream);
    responder.send(std::visit(Overloaded{[](const StreamStatus &known) { return jsonResponse(statusOk, known); },
                                         [](EngineRefusal refusal) { return refusalResponse(refusal); }},
                              status));
}

void EngineServer::handleOrder(const HttpRequest &request, HttpResponder &responder, TimePoint now)
{
    const auto parsed = parseJson(request.body);
    const auto *json = std::get_if<nlohmann::json>(&parsed);
    const auto order =
        json == nullptr ? Result<EngineOrder, DecodeFailure>(DecodeFailure{}) : decode<EngineOrder>(*json);
    if (std::holds_alternative<DecodeFailure>(order)) {
        responder.send(jsonResponse(statusOk, EngineOrderReply{.outcome = EngineOrderOutcome::Malformed}));
        return;
    }
    responder.send(jsonResponse(statusOk, m_core.order(std::get<EngineOrder>(order), now)));
}

void EngineServer::handleFaults(const HttpRequest &request, HttpResponder &responder)
{
    const nlohmann::json faults = nlohmann::json::parse(request.body, nullptr, false);
    if (!faults.is_object()) {
        responder.send(jsonResponse(statusBadRequest, nlohmann::json::object()));
        return;
    }
    m_faults.loseAnswers = faults.value("loseAnswers", m_faults.loseAnswers);
    m_faults.answerDelay = std::chrono::milliseconds(faults.value("answerDelayMilliseconds", 0));
    m_faults.frozen = faults.value("frozen", m_faults.frozen);
    responder.send(jsonResponse(statusOk, nlohmann::json::object()));
}

void EngineServer::advance(TimePoint now)
{
    for (const StepDone &done : m_core.advance(now)) {
        const auto found = m_waiting.find(done.ticket);
        if (found == m_waiting.end()) {
            continue;
        }
        answer(std::move(found->second), done);
        m_waiting.erase(found);
    }
}

void EngineServer::answer(std::unique_ptr<HttpResponder> responder, const StepDone &done)
{
    if (m_faults.frozen || m_faults.loseAnswers > 0) {
        m_faults.loseAnswers -= m_faults.loseAnswers > 0 ? 1 : 0;
        m_unanswered.push_back(std::move(responder));
        return;
    }
    const HttpResponse response =
        std::visit(Overloaded{[](const StepReply &reply) { return jsonResponse(statusOk, reply); },
                              [](EngineRefusal refusal) { return refusalResponse(refusal); }},
                   done.result);
    if (m_faults.answerDelay <= Duration{}) {
        responder->send(response);
        return;
    }
    auto later = std::make_shared<std::unique_ptr<HttpResponder>>(std::move(responder));
    m_after(m_faults.answerDelay, [later, response] { (*later)->send(response); });
}

} // namespace Carawaymill

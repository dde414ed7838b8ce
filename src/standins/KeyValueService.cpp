#include "standins/KeyValueService.h"

#include "standins/KeyValueServerCodec.h"

namespace Carawaymill {

void KeyValueService::handle(const HttpRequest &request, std::unique_ptr<HttpResponder> responder, TimePoint now)
{
    const auto decoded = decodeKeyValueRequest(request);
    if (const auto *failure = std::get_if<DecodeFailure>(&decoded)) {
        const nlohmann::json body{{"code", 3}, {"message", failure->field}};
        responder->send(HttpResponse{.status = 400, .headers = {}, .body = body.dump()});
        return;
    }
    const auto &call = std::get<KeyValueRequest>(decoded);
    const KeyValueResult result = m_store.apply(call, now);
    if (mustWait(call, result)) {
        const auto &watch = std::get<WatchRange>(call);
        m_watches.push_back(WaitingWatch{.watch = watch, .responder = std::move(responder), .end = now + watch.wait});
        return;
    }
    answer(call, result, std::move(responder), now);
}

void KeyValueService::tick(TimePoint now)
{
    m_store.endDueLeases(now);
    for (auto waiting = m_watches.begin(); waiting != m_watches.end();) {
        if (const auto result = watchResult(*waiting, now)) {
            answer(waiting->watch, *result, std::move(waiting->responder), now);
            waiting = m_watches.erase(waiting);
        } else {
            ++waiting;
        }
    }
    for (auto delayed = m_answers.begin(); delayed != m_answers.end();) {
        if (delayed->dueAt <= now) {
            delayed->responder->send(delayed->response);
            delayed = m_answers.erase(delayed);
        } else {
            ++delayed;
        }
    }
}

void KeyValueService::answer(const KeyValueRequest &request,
                             const KeyValueResult &result,
                             std::unique_ptr<HttpResponder> responder,
                             TimePoint now)
{
    auto response = encodeKeyValueResult(request, result);
    if (!response) {
        // Dropping the responder closes the connection without an answer.
        return;
    }
    if (m_answerDelay > 0us) {
        m_answers.push_back(DelayedAnswer{
            .response = std::move(*response), .responder = std::move(responder), .dueAt = now + m_answerDelay});
        return;
    }
    responder->send(*response);
}

bool KeyValueService::mustWait(const KeyValueRequest &request, const KeyValueResult &result) const
{
    const auto *changes = std::get_if<RangeChanged>(&result);
    return std::holds_alternative<WatchRange>(request) && changes != nullptr && changes->written.empty()
           && changes->deletedKeys.empty();
}

std::optional<KeyValueResult> KeyValueService::watchResult(const WaitingWatch &waiting, TimePoint now)
{
    if (auto result = m_store.pollWatch(waiting.watch, now)) {
        return result;
    }
    if (now < waiting.end) {
        return std::nullopt;
    }
    const bool skips = m_store.faults().watches == WatchFault::Skipping;
    return RangeChanged{
        .written = {}, .deletedKeys = {}, .storeRevision = skips ? m_store.revision() : waiting.watch.after};
}

} // namespace Carawaymill

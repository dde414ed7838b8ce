#pragma once

#include "http/HttpResponder.h"
#include "standins/KeyValueStore.h"

#include <list>
#include <memory>
#include <optional>

namespace Carawaymill {

/// Serves a `KeyValueStore` to HTTP requests: answers calls, lets watches wait, and delays answers when told to.
class KeyValueService
{
public:
    /// `store` must outlive this object.
    explicit KeyValueService(KeyValueStore &store)
        : m_store(store)
    {
    }

    void handle(const HttpRequest &request, std::unique_ptr<HttpResponder> responder, TimePoint now);

    /// Answers what has become due; to be called every few milliseconds.
    void tick(TimePoint now);

    /// From now on every answer is sent so much later, as by a slow service. The calls still take effect at once.
    void setAnswerDelay(Duration delay) { m_answerDelay = delay; }

private:
    struct WaitingWatch
    {
        WatchRange watch;
        std::unique_ptr<HttpResponder> responder;
        TimePoint end;
    };

    struct DelayedAnswer
    {
        HttpResponse response;
        std::unique_ptr<HttpResponder> responder;
        TimePoint dueAt;
    };

    void answer(const KeyValueRequest &request,
                const KeyValueResult &result,
                std::unique_ptr<HttpResponder> responder,
                TimePoint now);
    [[nodiscard]] bool mustWait(const KeyValueRequest &request, const KeyValueResult &result) const;
    [[nodiscard]] std::optional<KeyValueResult> watchResult(const WaitingWatch &waiting, TimePoint now);

    KeyValueStore &m_store;
    Duration m_answerDelay{};
    std::list<WaitingWatch> m_watches;
    std::list<DelayedAnswer> m_answers;
};

} // namespace Carawaymill

#pragma once

#include "http/HttpClient.h"
#include "node/NodeMessages.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace Carawaymill {

/// HTTP client for the platform's workers: forwards requests, fetches reports and sends orders.
class TargetClient
{
public:
    /// `client` must outlive this object. `onEvent` is called with each result.
    TargetClient(HttpClient &client, std::function<void(const NodeEvent &event)> onEvent);

    void forward(const ForwardToTarget &action);
    /// Closes the attempt's exchange; no further events of it follow.
    void abandon(const AbandonAttempt &action);
    void queryProgress(const QueryProgress &action);
    void requestReport(const RequestTargetReport &action);
    void sendOrder(const SendOrder &action);

private:
    void handleStreamEvent(RequestId id, AttemptNumber attempt, HttpStreamEvent event);
    void closeExchange(RequestId id, AttemptNumber attempt);

    HttpClient &m_client;
    std::function<void(const NodeEvent &event)> m_onEvent;
    /// The exchange of each attempt, until the response is complete or has failed.
    std::map<std::pair<RequestId, AttemptNumber>, std::unique_ptr<HttpExchange>> m_exchanges;
};

} // namespace Carawaymill

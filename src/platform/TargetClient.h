#pragma once

#include "http/HttpClient.h"
#include "node/NodeMessages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace Carawaymill {

/// Maximum size of a target's response body; a target in trouble may send one without end.
inline constexpr ByteCount targetBodyLimit(2U << 20U);

/// HTTP client for the platform's workers: forwards requests, fetches reports and sends orders.
class TargetClient
{
public:
    /// `client` must outlive this object. `relayKey` authenticates requests that other hosts are to pass on. `onEvent`
    /// is called with each result.
    TargetClient(HttpClient &client, std::string relayKey, std::function<void(const NodeEvent &event)> onEvent);

    void forward(const ForwardToTarget &action);
    /// Closes the attempt's exchange; no further events of it follow.
    void abandon(const AbandonAttempt &action);
    void queryProgress(const QueryProgress &action);
    /// Finds out whether a new connection to the target can be opened and is answered.
    void probe(const ProbeTarget &action);
    void requestReport(const RequestTargetReport &action);
    void sendOrder(const SendOrder &action);

private:
    void handleStreamEvent(const ForwardToTarget &action, HttpStreamEvent event);
    /// Handles the event if it says that the host which was to pass on the request has not done so. Returns whether it
    /// does.
    bool handleRelayFailure(const ForwardToTarget &action, const HttpStreamEvent &event);
    void closeExchange(RequestId id, AttemptNumber attempt);
    /// A request for the target's report, encoded for the host that is to pass it on if there is one.
    [[nodiscard]] HttpRequest
    reportRequestFor(const TargetId &target, const std::optional<RelayHost> &via, bool fresh) const;

    HttpClient &m_client;
    std::string m_relayKey;
    std::function<void(const NodeEvent &event)> m_onEvent;
    /// The exchange of each attempt, until the response is complete or has failed.
    std::map<std::pair<RequestId, AttemptNumber>, std::unique_ptr<HttpExchange>> m_exchanges;
};

} // namespace Carawaymill

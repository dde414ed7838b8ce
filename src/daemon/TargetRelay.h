#pragma once

#include "http/HttpClient.h"
#include "http/HttpResponder.h"
#include "node/NodeMessages.h"
#include "peering/RelayCodec.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Carawaymill {

/// Passes on requests of hosts that have lost their links to the targets, and the targets' responses to these hosts.
class TargetRelay
{
public:
    /// `client` must outlive this object. Requests whose HMAC was not made with `key` are refused.
    TargetRelay(HttpClient &client, std::string key, std::function<void(const NodeEvent &event)> onEvent);

    /// Takes a request of another host.
    void take(HttpRequest request, std::unique_ptr<HttpResponder> responder);
    void perform(const PassOnRequest &action);
    void perform(const RefuseRelay &action);

    /// Number of requests whose response is not complete yet.
    [[nodiscard]] std::size_t inProgress() const { return m_relayed.size(); }

private:
    struct Relayed
    {
        RelayedRequest request;
        std::string attempt;
        std::unique_ptr<HttpResponder> responder;
        std::unique_ptr<HttpExchange> exchange;
    };

    void handleEvent(RelayId id, HttpStreamEvent event);
    void refuse(RelayId id, RelayFailure reason);

    HttpClient &m_client;
    std::string m_key;
    std::function<void(const NodeEvent &event)> m_onEvent;
    RelayId m_last;
    std::map<RelayId, Relayed> m_relayed;
};

} // namespace Carawaymill

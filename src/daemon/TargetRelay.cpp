#include "daemon/TargetRelay.h"

#include "platform/CallerCodec.h"
#include "platform/RelayResponses.h"
#include "platform/TargetClient.h"

namespace Carawaymill {

/// The host that asked abandons the request earlier. Ends an exchange whose host no longer exists.
static constexpr Duration exchangeTimeout = 60s;

TargetRelay::TargetRelay(HttpClient &client, std::string key, std::function<void(const NodeEvent &event)> onEvent)
    : m_client(client)
    , m_key(std::move(key))
    , m_onEvent(std::move(onEvent))
{
}

void TargetRelay::take(HttpRequest request, std::unique_ptr<HttpResponder> responder)
{
    const std::string attempt = headerValue(request.headers, targetEcho({}).name);
    auto decoded = decodeRelayedRequest(std::move(request), m_key);
    auto *relayed = std::get_if<RelayedRequest>(&decoded);
    if (relayed == nullptr) {
        responder->send(relayFailureResponse(RelayFailure::HostUnavailable, attempt));
        return;
    }
    m_last = m_last.next();
    const RelayId id = m_last;
    const TargetId target = relayed->target;
    responder->onCallerDisconnected([this, id] { m_relayed.erase(id); });
    m_relayed.emplace(id,
                      Relayed{.request = std::move(*relayed),
                              .attempt = attempt,
                              .responder = std::move(responder),
                              .exchange = nullptr});
    m_onEvent(RelayRequested{.id = id, .target = target});
}

void TargetRelay::perform(const PassOnRequest &action)
{
    const auto found = m_relayed.find(action.id);
    if (found == m_relayed.end()) {
        return;
    }
    Relayed &relayed = found->second;
    HttpSendOptions options{
        .timeout = exchangeTimeout, .freshConnection = relayed.request.freshConnection, .bodyLimit = targetBodyLimit};
    if (!relayed.attempt.empty()) {
        options.echo = targetEcho({.attempt = relayed.attempt});
    }
    relayed.exchange =
        m_client.open(action.address, relayed.request.request, std::move(options), [this, id = action.id](auto event) {
            handleEvent(id, std::move(event));
        });
}

void TargetRelay::perform(const RefuseRelay &action)
{
    refuse(action.id, action.reason);
}

void TargetRelay::refuse(RelayId id, RelayFailure reason)
{
    if (const auto relayed = m_relayed.extract(id)) {
        relayed.mapped().responder->send(relayFailureResponse(reason, relayed.mapped().attempt));
    }
}

void TargetRelay::handleEvent(RelayId id, HttpStreamEvent event)
{
    const auto found = m_relayed.find(id);
    if (found == m_relayed.end()) {
        return;
    }
    Relayed &relayed = found->second;
    const TargetId target = relayed.request.target;
    std::visit(Overloaded{[&](HttpResponseHead &head) {
                              std::erase_if(head.headers, [](const auto &header) {
                                  return sameHeaderName(header.first, relayFailureHeader);
                              });
                              TargetResponseStarted started =
                                  readResponseHead(RequestId(), AttemptNumber(), std::move(head));
                              relayed.responder->startStream(
                                  {.status = started.head.status, .headers = started.head.headers, .body = {}});
                              m_onEvent(RelayedResponseStarted{.target = target, .head = std::move(started)});
                          },
                          [&](const HttpBodyPart &part) { relayed.responder->writeChunk(part.bytes); },
                          [&](HttpResponseEnd) {
                              const auto ended = m_relayed.extract(id);
                              ended.mapped().responder->finishStream();
                          },
                          [&](HttpNotSent) {
                              refuse(id, RelayFailure::TargetUnavailable);
                              m_onEvent(RelayedRequestNotSent{target});
                          },
                          [&](HttpNoResponse) {
                              // A responder that is dropped closes its connection, so that the other host learns of it.
                              const auto ended = m_relayed.extract(id);
                          }},
               event);
}

} // namespace Carawaymill

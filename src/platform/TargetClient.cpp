#include "platform/TargetClient.h"

#include "peering/RelayCodec.h"
#include "platform/CallerCodec.h"
#include "platform/EngineCodec.h"
#include "platform/RelayResponses.h"

namespace Carawaymill {

/// The forwarder has its own timeouts and abandons an attempt earlier. This timeout ends an exchange that the forwarder
/// no longer tracks.
static constexpr Duration exchangeTimeout = 60s;
/// Maximum size of a report or of the reply to an order. All targets are asked for theirs again and again.
static constexpr ByteCount reportBodyLimit(64U << 10U);

TargetClient::TargetClient(HttpClient &client,
                           std::string relayKey,
                           std::function<void(const NodeEvent &event)> onEvent)
    : m_client(client)
    , m_relayKey(std::move(relayKey))
    , m_onEvent(std::move(onEvent))
{
}

void TargetClient::forward(const ForwardToTarget &action)
{
    HttpRequest request = targetRequest(action);
    if (action.via) {
        request = encodeRelayedRequest(
            {.target = action.target, .freshConnection = action.freshConnection, .request = std::move(request)},
            m_relayKey);
    }
    // The events need neither the request nor the path.
    ForwardToTarget sent{.id = action.id, .attempt = action.attempt, .target = action.target, .address = {}};
    sent.via = action.via;
    auto exchange = m_client.open(
        action.via ? action.via->address : action.address,
        request,
        {.timeout = exchangeTimeout,
         .freshConnection = action.freshConnection,
         .bodyLimit = targetBodyLimit,
         .echo = targetEcho(*action.request)},
        [this, sent = std::move(sent)](HttpStreamEvent event) { handleStreamEvent(sent, std::move(event)); });
    m_exchanges.insert_or_assign({action.id, action.attempt}, std::move(exchange));
}

bool TargetClient::handleRelayFailure(const ForwardToTarget &action, const HttpStreamEvent &event)
{
    if (!action.via) {
        return false;
    }
    std::optional<RelayFailure> failure;
    if (std::holds_alternative<HttpNotSent>(event)) {
        failure = RelayFailure::HostUnavailable;
    } else if (const auto *head = std::get_if<HttpResponseHead>(&event)) {
        failure = readRelayFailure(head->headers);
    }
    if (failure) {
        const TargetResponseFailed failed{
            .id = action.id, .attempt = action.attempt, .sent = false, .relayFailure = failure};
        closeExchange(action.id, action.attempt);
        m_onEvent(failed);
    }
    return failure.has_value();
}

void TargetClient::handleStreamEvent(const ForwardToTarget &action, HttpStreamEvent event)
{
    if (handleRelayFailure(action, event)) {
        return;
    }
    const RequestId id = action.id;
    const AttemptNumber attempt = action.attempt;
    std::visit(Overloaded{[&](HttpResponseHead &head) { m_onEvent(readResponseHead(id, attempt, std::move(head))); },
                          [&](HttpBodyPart &part) {
                              m_onEvent(
                                  TargetResponseData{.id = id, .attempt = attempt, .bytes = std::move(part.bytes)});
                          },
                          [&](HttpResponseEnd) {
                              closeExchange(id, attempt);
                              m_onEvent(TargetResponseCompleted{.id = id, .attempt = attempt});
                          },
                          [&](HttpNotSent) {
                              closeExchange(id, attempt);
                              m_onEvent(TargetResponseFailed{.id = id, .attempt = attempt, .sent = false});
                          },
                          [&](HttpNoResponse) {
                              closeExchange(id, attempt);
                              m_onEvent(TargetResponseFailed{.id = id, .attempt = attempt, .sent = true});
                          }},
               event);
}

void TargetClient::closeExchange(RequestId id, AttemptNumber attempt)
{
    m_exchanges.erase({id, attempt});
}

void TargetClient::abandon(const AbandonAttempt &action)
{
    closeExchange(action.id, action.attempt);
}

HttpRequest
TargetClient::reportRequestFor(const TargetId &target, const std::optional<RelayHost> &via, bool fresh) const
{
    HttpRequest request = reportRequest();
    if (via) {
        request = encodeRelayedRequest({.target = target, .freshConnection = fresh, .request = std::move(request)},
                                       m_relayKey);
    }
    return request;
}

/// The response of the target; that of a host which has not passed the request on counts as none.
static HttpResult responseOfTarget(const HttpResult &result, const std::optional<RelayHost> &via)
{
    const auto *response = std::get_if<HttpResponse>(&result);
    const bool isRefused = via && response != nullptr && readRelayFailure(response->headers).has_value();
    return isRefused ? HttpResult(HttpNoResponse{}) : result;
}

void TargetClient::queryProgress(const QueryProgress &action)
{
    m_client.send(action.via ? action.via->address : action.address,
                  reportRequestFor(action.target, action.via, false),
                  {.timeout = action.timeout, .connectTimeout = action.timeout, .bodyLimit = reportBodyLimit},
                  [this, action](const HttpResult &result) {
                      m_onEvent(readProgress(action, responseOfTarget(result, action.via)));
                  });
}

void TargetClient::probe(const ProbeTarget &action)
{
    m_client.send(action.via ? action.via->address : action.address,
                  reportRequestFor(action.target, action.via, true),
                  {.timeout = action.timeout,
                   .connectTimeout = action.timeout,
                   .freshConnection = action.purpose != ProbePurpose::Pace,
                   .bodyLimit = reportBodyLimit},
                  [this, action](const HttpResult &result) {
                      const HttpResult response = responseOfTarget(result, action.via);
                      m_onEvent(TargetProbed{.target = action.target,
                                             .reached = std::holds_alternative<HttpResponse>(response),
                                             .connected = !std::holds_alternative<HttpNotSent>(response),
                                             .purpose = action.purpose,
                                             .pace = readPace(response)});
                  });
}

void TargetClient::requestReport(const RequestTargetReport &action)
{
    m_client.send(action.address,
                  reportRequest(),
                  {.timeout = action.timeout, .bodyLimit = reportBodyLimit},
                  [this, target = action.target](const HttpResult &result) {
                      TargetReported reported{.target = target, .outcome = PollOutcome::NoResponse, .report = {}};
                      if (auto report = readReport(target, result)) {
                          reported.outcome = PollOutcome::Answered;
                          reported.report = std::move(*report);
                      } else if (std::holds_alternative<HttpNotSent>(result)) {
                          reported.outcome = PollOutcome::ConnectionFailed;
                      }
                      m_onEvent(reported);
                  });
}

void TargetClient::sendOrder(const SendOrder &action)
{
    m_client.send(action.address,
                  orderRequest(action.order),
                  {.timeout = action.order.validFor, .freshConnection = true, .bodyLimit = reportBodyLimit},
                  [this, order = action.order](const HttpResult &result) {
                      m_onEvent(OrderReturned{.order = order, .reply = readOrderReply(order, result)});
                  });
}

} // namespace Carawaymill

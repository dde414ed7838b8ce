#include "platform/TargetClient.h"

#include "platform/CallerCodec.h"
#include "platform/EngineCodec.h"

namespace Carawaymill {

/// The forwarder has its own timeouts and abandons an attempt earlier. This timeout ends an exchange that the forwarder
/// no longer tracks.
static constexpr Duration exchangeTimeout = 60s;

TargetClient::TargetClient(HttpClient &client, std::function<void(const NodeEvent &event)> onEvent)
    : m_client(client)
    , m_onEvent(std::move(onEvent))
{
}

void TargetClient::forward(const ForwardToTarget &action)
{
    auto exchange = m_client.open(
        action.address,
        targetRequest(action),
        {.timeout = exchangeTimeout, .freshConnection = action.freshConnection, .echo = targetEcho(*action.request)},
        [this, id = action.id, attempt = action.attempt](HttpStreamEvent event) {
            handleStreamEvent(id, attempt, std::move(event));
        });
    m_exchanges.insert_or_assign({action.id, action.attempt}, std::move(exchange));
}

void TargetClient::handleStreamEvent(RequestId id, AttemptNumber attempt, HttpStreamEvent event)
{
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

void TargetClient::queryProgress(const QueryProgress &action)
{
    m_client.send(action.address,
                  reportRequest(),
                  {.timeout = action.timeout},
                  [this, action](const HttpResult &result) { m_onEvent(readProgress(action, result)); });
}

void TargetClient::requestReport(const RequestTargetReport &action)
{
    m_client.send(action.address,
                  reportRequest(),
                  {.timeout = action.timeout},
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
                  {.timeout = action.order.validFor, .freshConnection = true},
                  [this, order = action.order](const HttpResult &result) {
                      m_onEvent(OrderReturned{.order = order, .reply = readOrderReply(order, result)});
                  });
}

} // namespace Carawaymill

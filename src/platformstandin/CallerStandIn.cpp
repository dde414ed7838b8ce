#include "platformstandin/CallerStandIn.h"

#include "platformstandin/PublishedConfiguration.h"
#include "support/BootClock.h"

namespace Carawaymill {

/// Longer than the deadline that callers state.
static constexpr Duration responseTimeout = 15s;

std::shared_ptr<CallerExchange>
CallerStandIn::call(const std::string &address, const std::string &path, CallerConnection connection)
{
    auto call = std::make_shared<CallerExchange>();
    call->attempt = "attempt-" + std::to_string(++m_lastAttempt);
    call->sentAt = readBootClock();
    const HttpRequest request{.method = "POST",
                              .target = path,
                              .headers = {{"Host", publishedHost},
                                          {"X-Attempt-Id", call->attempt},
                                          {"X-Deadline-Ms", "10000"},
                                          {"X-Model", "standin-model"},
                                          {"X-Token-Counts", "100,20"}},
                              .body = "{}"};
    call->exchange =
        m_client.open(address,
                      request,
                      {.timeout = responseTimeout, .freshConnection = connection == CallerConnection::New},
                      [record = call.get()](const HttpStreamEvent &event) {
                          std::visit(Overloaded{[&](const HttpResponseHead &head) { record->status = head.status; },
                                                [&](const HttpBodyPart &part) { record->body += part.bytes; },
                                                [&](HttpResponseEnd) { record->complete = true; },
                                                [&](HttpNotSent) { record->failed = record->notSent = true; },
                                                [&](HttpNoResponse) { record->failed = true; }},
                                     event);
                          if (record->ended()) {
                              record->endedAt = readBootClock();
                          }
                      });
    return call;
}

std::string streamEvents(EventCount count)
{
    std::string events;
    for (EventCount id = 1; id <= count; ++id) {
        const std::string text = std::to_string(id);
        events.append("id: ").append(text).append("\ndata: token ").append(text).append("\n\n");
    }
    return events;
}

} // namespace Carawaymill

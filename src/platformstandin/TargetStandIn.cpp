#include "platformstandin/TargetStandIn.h"

#include "support/BootClock.h"
#include "support/Codec.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace Carawaymill {

static constexpr unsigned statusOk = 200;
static constexpr unsigned statusAccepted = 202;
static constexpr unsigned statusBadRequest = 400;
static constexpr unsigned statusConflict = 409;
static constexpr unsigned statusPreconditionFailed = 412;
static constexpr unsigned statusMisdirected = 421;
static constexpr unsigned statusUnavailable = 503;

static std::optional<Duration> timeLeft(const HttpHeaders &headers)
{
    const std::string value = headerValue(headers, "X-Deadline-Ms");
    std::int64_t milliseconds = 0;
    const auto [end, failure] = std::from_chars(value.data(), value.data() + value.size(), milliseconds);
    return failure == std::errc() ? std::optional<Duration>(std::chrono::milliseconds(milliseconds)) : std::nullopt;
}

TargetStandIn::TargetStandIn(boost::asio::io_context &context, TargetStandInOptions options)
    : m_options(std::move(options))
    , m_born(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count()))
    , m_held(m_options.engine ? m_options.engine->layers : LayerRange())
    , m_server(std::get<std::unique_ptr<HttpServer>>(
          HttpServer::create(context,
                             {},
                             [this](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
                                 take(std::move(request), std::move(responder));
                             })))
    , m_address("127.0.0.1:" + std::to_string(m_server->port()))
{
}

std::string TargetStandIn::address() const
{
    return m_address;
}

nlohmann::json TargetStandIn::record() const
{
    nlohmann::json record{{"Service", m_options.service.value()},
                          {"Address", address()},
                          {"Zone", m_options.failureDomain.value()},
                          {"Version", 1},
                          {"Capacity", m_options.concurrency},
                          {"State", "ready"},
                          {"ColdRemainingMs", 0},
                          {"Sequence", 1},
                          {"born", m_born}};
    if (m_options.engine) {
        record["RouteType"] = m_options.engine->acceleratorKind;
        record["LayerCount"] = heldLayers();
    }
    return record;
}

void TargetStandIn::tick(TimePoint now)
{
    if (now < m_silentUntil) {
        return;
    }
    if (std::ranges::any_of(m_runs, [&](const Run &run) { return run.crashes && now >= run.nextAt; })) {
        crash();
        return;
    }
    for (PendingRequest &pending : std::exchange(m_pending, {})) {
        handle(pending, now);
    }
    std::erase_if(m_runs, [&](Run &run) { return advance(run, now); });
}

void TargetStandIn::crash()
{
    // Responders that are dropped close their connections.
    m_pending.clear();
    m_runs.clear();
    m_server.reset();
}

void TargetStandIn::take(HttpRequest request, std::unique_ptr<HttpResponder> responder)
{
    if (hasCrashed()) {
        return;
    }
    const TimePoint now = readBootClock();
    PendingRequest pending{.request = std::move(request), .responder = std::move(responder)};
    if (now < m_silentUntil) {
        m_pending.push_back(std::move(pending));
        return;
    }
    handle(pending, now);
}

void TargetStandIn::handle(PendingRequest &pending, TimePoint now)
{
    const std::string expected = headerValue(pending.request.headers, "X-Expect-Instance");
    if (!expected.empty() && expected != m_options.id.value()) {
        pending.responder->send(notRun(statusMisdirected, headerValue(pending.request.headers, "X-Attempt-Id")));
    } else if (pending.request.target == "/v1/report") {
        HttpResponse response = responseHead(statusOk, {});
        response.body = report().dump();
        pending.responder->send(response);
    } else if (pending.request.target == "/v1/order") {
        handleOrder(pending);
    } else {
        handleCall(pending, now);
    }
}

void TargetStandIn::handleCall(PendingRequest &pending, TimePoint now)
{
    const std::string attempt = headerValue(pending.request.headers, "X-Attempt-Id");
    TargetArrival &arrival = m_arrivals.emplace_back(
        TargetArrival{.attempt = attempt, .at = now, .timeLeft = timeLeft(pending.request.headers)});
    if (now < m_restUntil) {
        HttpResponse response = notRun(statusUnavailable, attempt);
        response.headers.emplace_back("Retry-After",
                                      std::to_string(std::chrono::duration<double>(m_restUntil - now).count()));
        pending.responder->send(response);
        return;
    }
    if (const std::string path = headerValue(pending.request.headers, "X-Hop-Count");
        !path.empty() && !servesPath(path)) {
        pending.responder->send(notRun(statusMisdirected, attempt));
        return;
    }
    if (m_runs.size() >= m_options.concurrency) {
        pending.responder->send(notRun(statusUnavailable, attempt));
        return;
    }
    arrival.ran = true;
    EventCount last = 0;
    const std::string resumeAfter = headerValue(pending.request.headers, "Last-Event-Id");
    (void)std::from_chars(resumeAfter.data(), resumeAfter.data() + resumeAfter.size(), last);
    m_runs.push_back({.responder = std::move(pending.responder),
                      .attempt = attempt,
                      .nextAt = now + m_options.pace,
                      .crashes = !m_options.crashingPath.empty() && pending.request.target == m_options.crashingPath,
                      .next = last + 1});
    if (m_options.streams) {
        HttpResponse head = responseHead(statusOk, attempt);
        head.headers.emplace_back("Content-Type", "text/event-stream");
        m_runs.back().responder->startStream(head);
    }
}

void TargetStandIn::handleOrder(PendingRequest &pending)
{
    const auto parsed = parseJson(pending.request.body);
    const auto *order = std::get_if<nlohmann::json>(&parsed);
    unsigned status = statusBadRequest;
    if (order != nullptr && m_options.engine && order->value("Operation", "") == "place") {
        const auto fencingNumber = order->value("FencingToken", m_highestFencingNumber);
        const LayerRange layers{LayerIndex(order->at("Source").get<std::uint32_t>()),
                                LayerIndex(order->at("Target").get<std::uint32_t>())};
        if (fencingNumber < m_highestFencingNumber) {
            status = statusPreconditionFailed;
        } else if (order->value("Precondition", m_ordersAccepted) != m_ordersAccepted) {
            status = statusConflict;
        } else if (layers == m_held) {
            status = statusOk;
        } else {
            status = statusAccepted;
            ++m_ordersAccepted;
            m_held = layers;
            m_recordChanged = true;
        }
        m_highestFencingNumber = std::max(m_highestFencingNumber, fencingNumber);
    }
    pending.responder->send(responseHead(status, {}));
}

bool TargetStandIn::advance(Run &run, TimePoint now) const
{
    while (run.nextAt <= now) {
        run.nextAt += m_options.pace;
        if (!m_options.streams) {
            HttpResponse response = responseHead(statusOk, run.attempt);
            response.body = "served by " + m_options.id.value();
            run.responder->send(response);
            return true;
        }
        if (run.next > m_options.eventsPerStream) {
            run.responder->finishStream();
            return true;
        }
        const std::string id = std::to_string(run.next);
        run.responder->writeChunk(std::string("id: ").append(id).append("\ndata: token ").append(id).append("\n\n"));
        ++run.next;
    }
    return false;
}

HttpResponse TargetStandIn::responseHead(unsigned status, const std::string &attempt) const
{
    HttpResponse response{.status = status, .headers = {}, .body = {}};
    if (!attempt.empty()) {
        response.headers.emplace_back("X-Attempt-Id", attempt);
        if (status == statusOk) {
            response.headers.emplace_back("X-Server-Seal", "seal-" + attempt);
        }
    }
    if (m_leaving) {
        response.headers.emplace_back("Server-Leaving", "1");
    }
    if (m_requestsPerSecond) {
        response.headers.emplace_back("Server-Limit", std::to_string(*m_requestsPerSecond));
    }
    return response;
}

HttpResponse TargetStandIn::notRun(unsigned status, const std::string &attempt) const
{
    HttpResponse response = responseHead(status, attempt);
    response.headers.emplace_back("X-Not-Executed", "1");
    response.headers.emplace_back("At-Server", address());
    return response;
}

nlohmann::json TargetStandIn::report() const
{
    nlohmann::json report{{"Phase", "colocated"},
                          {"Models", nlohmann::json::array()},
                          {"Busy", false},
                          {"Sequence", m_ordersAccepted},
                          {"Queued", 0},
                          {"Active", m_runs.size()},
                          {"KvInUse", 0},
                          {"KvSize", 0},
                          {"Sessions", 0},
                          {"born", m_born}};
    if (m_options.engine) {
        report["LayerCount"] = heldLayers();
    }
    return report;
}

nlohmann::json TargetStandIn::heldLayers() const
{
    nlohmann::json held = nlohmann::json::array();
    if (!m_held.empty()) {
        held.push_back({{"Source", m_held.first.value()}, {"Target", m_held.end.value()}, {"Version", 1}});
    }
    return held;
}

bool TargetStandIn::servesPath(const std::string &path) const
{
    const std::string own = address() + "=";
    if (!path.starts_with(own)) {
        return false;
    }
    std::uint32_t first = 0;
    std::uint32_t end = 0;
    const char *const pathEnd = path.data() + path.size();
    const auto [dash, failure] = std::from_chars(path.data() + own.size(), pathEnd, first);
    if (failure != std::errc() || dash == pathEnd || std::from_chars(dash + 1, pathEnd, end).ec != std::errc()) {
        return false;
    }
    return m_held.first <= LayerIndex(first) && LayerIndex(end) <= m_held.end;
}

} // namespace Carawaymill

#include "daemon/Daemon.h"

#include "daemon/LogLimiter.h"
#include "daemon/LoopMonitor.h"
#include "daemon/TargetRelay.h"
#include "hostlist/HostListHttpClient.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "keyvalue/KeyValueCodec.h"
#include "keyvalue/KeyValueHttpClient.h"
#include "node/Node.h"
#include "node/RouteQuestions.h"
#include "peering/PeerLink.h"
#include "pipeline/EngineHttpClient.h"
#include "platform/CallerCodec.h"
#include "platform/MetadataStoreProtocol.h"
#include "platform/Publications.h"
#include "platform/TargetClient.h"
#include "support/BootClock.h"
#include "support/Hash.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <chrono>
#include <map>

namespace Carawaymill {

static constexpr std::chrono::milliseconds tickInterval(10);
/// No step of a pipeline waits for a tick here, and each wake-up costs.
static constexpr std::chrono::milliseconds forwardingTickInterval(20);

/// After the time for a drain, answers to the requests that are left are written for at most this time. Shorter than
/// the margin that is kept before the platform kills the process.
static constexpr std::chrono::milliseconds lastAnswersPeriod(250);

/// Part of the host's memory for responses of targets that are not complete, and for those that callers or other hosts
/// have not received yet, each.
static constexpr std::uint64_t responseMemoryDivisor = 8;

static ByteCount responseMemory(const DaemonSettings &settings)
{
    return ByteCount(settings.memory.value() / responseMemoryDivisor);
}

/// The same for requests, unless the settings state another limit.
static CallerConnectionTableOptions requestLimit(const DaemonSettings &settings)
{
    const bool isStated = settings.requestMemory.value() > 0;
    return {.memoryLimit = isStated ? settings.requestMemory : responseMemory(settings)};
}

/// Parts of the descriptors, in eighths, for the connections of callers and of hosts whose requests are passed on. Each
/// request of a caller may need one more for its target; the rest is for other hosts, the service and reports.
static constexpr std::uint32_t descriptorParts = 8;
static constexpr std::uint32_t callerDescriptorParts = 3;
static constexpr std::uint32_t relayDescriptorParts = 1;
/// Each of the other listeners has this part of the descriptors.
static constexpr std::uint32_t otherDescriptorDivisor = 16;

/// Bytes of requests that the listeners for readiness and for metrics hold, each.
static constexpr ByteCount questionMemory(1U << 20U);

/// Log lines on callers that were limited are at least this far apart.
static constexpr Duration limitLogInterval = 1s;

/// One host to hold a scope and one to take over from it.
static constexpr std::uint32_t forwardingScopeCandidates = 2;

/// The sockets, timers and clients of one daemon.
class Daemon::Implementation
{
public:
    Implementation(boost::asio::io_context &context, DaemonSettings settings, std::unique_ptr<Node> node)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_node(std::move(node))
        , m_client(context)
        , m_engines(m_client)
        , m_keyValue(m_client,
                     {.protocol = m_settings.forwarding ? metadataStoreProtocol() : etcdGatewayProtocol(),
                      .addresses = {m_settings.keyValueService}})
        , m_targets(m_client, m_settings.peerKey, [this](const NodeEvent &event) { feed(event); })
        , m_relay(m_client, m_settings.peerKey, [this](const NodeEvent &event) { feed(event); })
        , m_tickInterval(m_settings.forwarding ? forwardingTickInterval : tickInterval)
        , m_loop({.tickInterval = m_tickInterval})
        , m_connections(std::make_shared<CallerConnections>(requestLimit(m_settings)))
        , m_tick(context)
    {
    }

    [[nodiscard]] std::optional<StartFailure> start()
    {
        if (auto failure = listen(m_settings.callers, &Implementation::takeCallerRequest, m_callers)) {
            return failure;
        }
        if (auto failure = m_settings.forwarding
                               ? listen(m_settings.forwarding->readiness, &Implementation::answerReadiness, m_readiness)
                               : listen(m_settings.operators, &Implementation::takeOperatorRequest, m_operators)) {
            return failure;
        }
        if (m_settings.forwarding && m_settings.forwarding->metrics.port != 0) {
            if (auto failure = listen(m_settings.forwarding->metrics, &Implementation::answerMetrics, m_metrics)) {
                return failure;
            }
        }
        if (m_settings.forwarding && m_settings.forwarding->relay.port != 0) {
            if (auto failure =
                    listen(m_settings.forwarding->relay, &Implementation::takeRelayedRequest, m_relayServer)) {
                return failure;
            }
        }
        auto link = PeerLink::create(
            m_context,
            {.host = m_settings.host, .listenAddress = m_settings.peerAddress, .key = m_settings.peerKey},
            [this](HostId from, nlohmann::json message) {
                feed(PeerMessage{.from = std::move(from), .message = std::move(message)});
            });
        if (const auto *failure = std::get_if<PeerLinkFailure>(&link)) {
            return StartFailure{.reason = "peer address: " + failure->reason};
        }
        m_peers = std::get<std::unique_ptr<PeerLink>>(std::move(link));
        if (!m_settings.forwarding) {
            m_hostList =
                std::make_unique<HostListHttpClient>(m_context,
                                                     m_client,
                                                     HostListHttpClientOptions{.address = m_settings.hostListService},
                                                     [this](HostListRead list) { feed(std::move(list)); });
        }
        tick();
        return std::nullopt;
    }

    void drain()
    {
        if (m_drainUntil) {
            return;
        }
        const TimePoint now = readBootClock();
        m_drainUntil = now + m_settings.drainTimeout;
        m_drainAtLeastUntil = now + m_settings.drainAtLeast;
        feed(DrainRequested{});
        if (m_settings.forwarding) {
            m_callers->announceClose();
            m_closeIdleAt = now + m_settings.forwarding->drainAcceptPeriod;
        }
    }

    [[nodiscard]] std::uint16_t callerPort() const { return m_callers->port(); }

    [[nodiscard]] std::uint16_t operatorPort() const { return m_operators ? m_operators->port() : 0; }

    void settingsChanged() { LOG(INFO) << "Daemon: event=reload in_progress=" << m_responders.size(); }

private:
    using Responder = std::unique_ptr<HttpResponder>;
    using RequestTaker = void (Implementation::*)(HttpRequest request, Responder responder);

    [[nodiscard]] std::optional<StartFailure>
    listen(const ListenSettings &listen, RequestTaker taker, std::unique_ptr<HttpServer> &place)
    {
        auto server = HttpServer::create(m_context,
                                         {.address = listen.address,
                                          .port = listen.port,
                                          .limits = {.bodyBytes = m_settings.bodyLimit},
                                          .connectionLimit = connectionLimit(taker),
                                          .unsentLimit = responseMemory(m_settings),
                                          .connections = connectionsFor(taker)},
                                         [this, taker](HttpRequest request, Responder responder) {
                                             (this->*taker)(std::move(request), std::move(responder));
                                         });
        if (const auto *failure = std::get_if<ListenFailure>(&server)) {
            return StartFailure{.reason = listen.address + ": " + failure->reason};
        }
        place = std::get<std::unique_ptr<HttpServer>>(std::move(server));
        return std::nullopt;
    }

    /// Questions for readiness and metrics are answered at once, also while the requests of callers and hosts fill the
    /// memory: they share no limit with these.
    [[nodiscard]] std::shared_ptr<CallerConnections> connectionsFor(RequestTaker taker) const
    {
        const bool isAnsweredAtOnce =
            taker == &Implementation::answerReadiness || taker == &Implementation::answerMetrics;
        return isAnsweredAtOnce
                   ? std::make_shared<CallerConnections>(CallerConnectionTableOptions{.memoryLimit = questionMemory})
                   : m_connections;
    }

    [[nodiscard]] std::size_t connectionLimit(RequestTaker taker) const
    {
        std::uint32_t limit = m_settings.connectionLimit / otherDescriptorDivisor;
        if (taker == &Implementation::takeCallerRequest) {
            limit = m_settings.connectionLimit / descriptorParts * callerDescriptorParts;
        } else if (taker == &Implementation::takeRelayedRequest) {
            limit = m_settings.connectionLimit / descriptorParts * relayDescriptorParts;
        }
        return std::max(1U, limit);
    }

    /// Gives the request an id and keeps its responder.
    [[nodiscard]] RequestId admit(Responder responder)
    {
        m_lastRequest = m_lastRequest.next();
        const RequestId id = m_lastRequest;
        responder->onCallerDisconnected([this, id] {
            m_responders.erase(id);
            feed(CallerDisconnected{id});
        });
        m_responders.emplace(id, std::move(responder));
        return id;
    }

    void takeOperatorRequest(HttpRequest request, Responder responder)
    {
        feed(OperatorRequest{.id = admit(std::move(responder)), .request = std::move(request)});
    }

    void takeCallerRequest(HttpRequest request, Responder responder)
    {
        const RequestId id = admit(std::move(responder));
        if (m_settings.forwarding) {
            feed(ForwardRequested{.id = id, .request = readForwardRequest(std::move(request))});
            return;
        }
        const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
        feed(CallerRequest{.id = id,
                           .request = std::move(request),
                           .receivedAt =
                               WallClockSeconds(std::chrono::duration_cast<std::chrono::seconds>(wallClock).count())});
    }

    // Takes its arguments like the other request takers.
    void answerReadiness(HttpRequest /*request*/, Responder responder) // NOLINT(performance-unnecessary-value-param)
    {
        static constexpr unsigned statusReady = 200;
        static constexpr unsigned statusNotReady = 503;
        const bool ready = m_node->ready(readBootClock());
        responder->send({.status = ready ? statusReady : statusNotReady, .headers = {}, .body = {}});
    }

    void takeRelayedRequest(HttpRequest request, Responder responder)
    {
        m_relay.take(std::move(request), std::move(responder));
    }

    // Takes its arguments like the other request takers.
    void answerMetrics(HttpRequest request, Responder responder) // NOLINT(performance-unnecessary-value-param)
    {
        if (isRouteQuestion(request)) {
            responder->send(answerRouteQuestion(request));
            return;
        }
        responder->send({.status = 200,
                         .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                         .body = m_node->metrics(readBootClock()) + connectionMetrics()});
    }

    /// Questions are limited: each one copies what is known of the targets, which would delay callers' requests.
    [[nodiscard]] HttpResponse answerRouteQuestion(const HttpRequest &request)
    {
        static constexpr unsigned statusTooManyRequests = 429;
        static constexpr Duration interval = 200ms;
        const TimePoint now = readBootClock();
        if (now < m_nextRouteQuestionAt) {
            return {.status = statusTooManyRequests, .headers = {{"Retry-After", "1"}}, .body = {}};
        }
        m_nextRouteQuestionAt = now + interval;
        return m_node->explainRoute(request.target, now);
    }

    [[nodiscard]] std::string connectionMetrics() const
    {
        const CallerConnectionCounts &counts = m_connections->counts;
        std::string text;
        const auto add = [&text](const char *name, std::uint64_t value) {
            text.append("carawaymill_").append(name).append(" ").append(std::to_string(value)).append("\n");
        };
        add("request_bytes_held", m_connections->table.held().value());
        add("requests_evicted_total", counts.evicted);
        add("requests_refused_for_memory_total", counts.refused);
        add("requests_with_overlong_framing_total", counts.overlongFraming);
        add("connections_replaced_total", counts.replaced);
        add("connections_turned_away_total", counts.turnedAway);
        return text;
    }

    /// Logs that callers were limited, once in `limitLogInterval` at most.
    void logLimitedCallers()
    {
        const TimePoint now = readBootClock();
        const CallerConnectionCounts &counts = m_connections->counts;
        if (counts == m_loggedCounts || now < m_nextLimitLog) {
            return;
        }
        m_nextLimitLog = now + limitLogInterval;
        LOG(WARNING) << "Callers: event=limited evicted=" << counts.evicted - m_loggedCounts.evicted
                     << " refused=" << counts.refused - m_loggedCounts.refused
                     << " overlong_framing=" << counts.overlongFraming - m_loggedCounts.overlongFraming
                     << " replaced=" << counts.replaced - m_loggedCounts.replaced
                     << " turned_away=" << counts.turnedAway - m_loggedCounts.turnedAway
                     << " held=" << m_connections->table.held().value();
        m_loggedCounts = counts;
    }

    void feed(const NodeEvent &event)
    {
        for (NodeAction &action : m_node->handle(event, readBootClock())) {
            std::visit([this](auto &concrete) { perform(concrete); }, action);
        }
    }

    void tick()
    {
        if (const auto late = m_loop.recordTick(readBootClock(), readThreadProcessorTime())) {
            using std::chrono::duration_cast;
            using std::chrono::milliseconds;
            LOG(WARNING) << "Daemon: event=loop-delayed ms=" << duration_cast<milliseconds>(late->delay).count()
                         << " processor_ms=" << duration_cast<milliseconds>(late->processorTime).count()
                         << " in_progress=" << m_responders.size();
        }
        feed(Tick{});
        logLimitedCallers();
        if (m_drainUntil) {
            finishDrain();
        }
        m_tick.expires_after(m_tickInterval);
        m_tick.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    /// Stops when nothing is in progress any more, or when the time for it is up and the requests that are left have
    /// been answered.
    void finishDrain()
    {
        const TimePoint now = readBootClock();
        const bool idle = now >= m_drainAtLeastUntil && m_node->drained() && m_callers->requestsInProgress() == 0
                          && m_relay.inProgress() == 0;
        if (m_closeIdleAt && (idle || now >= *m_closeIdleAt)) {
            // Requests that have arrived unread are answered before the next tick.
            m_callers->closeConnections();
            m_closeIdleAt.reset();
            return;
        }
        if (!idle && now < *m_drainUntil) {
            return;
        }
        if (!idle && !m_drainTimedOut) {
            LOG(INFO) << "Daemon: event=drain-timeout requests=" << m_callers->requestsInProgress();
            m_drainTimedOut = true;
            feed(DrainTimeoutReached{});
        }
        if (m_callers->requestsInProgress() > 0 && now < *m_drainUntil + lastAnswersPeriod) {
            return;
        }
        LOG(INFO) << "Daemon: stops, " << m_callers->requestsInProgress() << " requests in progress.";
        m_context.stop();
    }

    void perform(Respond &action)
    {
        if (const auto found = m_responders.find(action.id); found != m_responders.end()) {
            const auto responder = std::move(found->second);
            m_responders.erase(found);
            responder->send(action.response);
        }
    }

    void perform(BeginStream &action)
    {
        if (const auto found = m_responders.find(action.id); found != m_responders.end()) {
            found->second->startStream(action.head);
        }
    }

    void perform(WriteStream &action)
    {
        if (const auto found = m_responders.find(action.id); found != m_responders.end()) {
            found->second->writeChunk(action.chunk);
        }
    }

    void perform(EndStream &action)
    {
        if (const auto found = m_responders.find(action.id); found != m_responders.end()) {
            const auto responder = std::move(found->second);
            m_responders.erase(found);
            responder->finishStream();
        }
    }

    void perform(RunStep &action)
    {
        m_engines.runStep(action.address,
                          action.step,
                          action.timeout,
                          [this, job = action.job, stream = action.step.stream](StepResult result) {
                              feed(StepReturned{.job = job, .stream = stream, .result = std::move(result)});
                          });
    }

    void perform(RequestStreamStatus &action)
    {
        m_engines.askStream(action.address,
                            action.stream,
                            action.timeout,
                            [this, job = action.job, stream = action.stream](StreamStatusResult result) {
                                feed(StreamStatusReturned{.job = job, .stream = stream, .result = std::move(result)});
                            });
    }

    void perform(DropStream &action) { m_engines.dropStream(action.address, action.stream); }

    void perform(RequestTargetReport &action)
    {
        if (m_settings.forwarding) {
            m_targets.requestReport(action);
            return;
        }
        if (action.kind == TargetKind::Engine) {
            m_engines.report(
                action.address, action.timeout, [this, target = action.target](EngineSelfReportResult result) {
                    reportTarget(target, std::move(result));
                });
            return;
        }
        m_client.send(action.address,
                      {.method = "GET", .target = "/healthz", .headers = {}, .body = {}},
                      {.timeout = action.timeout},
                      [this, target = action.target](const HttpResult &result) {
                          feed(TargetReported{.target = target, .outcome = pollOutcome(result), .report = {}});
                      });
    }

    [[nodiscard]] static PollOutcome pollOutcome(const HttpResult &result)
    {
        return std::visit(Overloaded{[](const HttpResponse &) { return PollOutcome::Answered; },
                                     [](HttpNotSent) { return PollOutcome::ConnectionFailed; },
                                     [](HttpNoResponse) { return PollOutcome::NoResponse; }},
                          result);
    }

    void reportTarget(const TargetId &target, EngineSelfReportResult result)
    {
        TargetReported reported{.target = target, .outcome = PollOutcome::Answered, .report = {}};
        std::visit(Overloaded{[&](EngineSelfReport &report) {
                                  reported.report = {.state = std::move(report.state), .load = report.load};
                              },
                              [&](EngineNotSent) { reported.outcome = PollOutcome::ConnectionFailed; },
                              [&](EngineNoAnswer) { reported.outcome = PollOutcome::NoResponse; }},
                   result);
        feed(reported);
    }

    void perform(CallTarget &action)
    {
        m_client.send(action.address,
                      action.request,
                      {.timeout = action.timeout, .freshConnection = true},
                      [this, job = action.job, attempt = action.attempt](HttpResult result) {
                          feed(TargetCallReturned{.job = job, .attempt = attempt, .result = std::move(result)});
                      });
    }

    void perform(SendOrder &action)
    {
        if (m_settings.forwarding) {
            m_targets.sendOrder(action);
            return;
        }
        m_engines.order(
            action.address, action.order, [this, order = action.order](const std::optional<EngineOrderReply> &reply) {
                feed(OrderReturned{.order = order, .reply = reply});
            });
    }

    void perform(KeyValueCall &action)
    {
        m_keyValue.execute(action, [this](KeyValueReply reply) { feed(std::move(reply)); });
    }

    void perform(SendToPeer &action) { m_peers->send(action.to, action.address, action.message); }

    void perform(ForwardToTarget &action) { m_targets.forward(action); }

    void perform(AbandonAttempt &action) { m_targets.abandon(action); }

    void perform(QueryProgress &action) { m_targets.queryProgress(action); }

    void perform(ProbeTarget &action) { m_targets.probe(action); }

    void perform(PassOnRequest &action) { m_relay.perform(action); }

    void perform(RefuseRelay &action) { m_relay.perform(action); }

    void perform(RefuseCaller &action)
    {
        Respond respond{.id = action.id, .response = refusalResponse(action)};
        perform(respond);
    }

    void perform(AbortStream &action)
    {
        // A responder that is dropped closes its connection.
        const auto responder = m_responders.extract(action.id);
    }

    void perform(LimitCallers &action) { m_callers->setLimits(action.limits); }

    void perform(WriteLog &action)
    {
        const TimePoint now = readBootClock();
        if (const auto dropped = m_log.takeDropped(now)) {
            LOG(INFO) << "Daemon: event=log-lines-dropped count=" << *dropped;
        }
        if (m_log.admits(action.line, now)) {
            LOG(INFO) << action.line;
        }
    }

    boost::asio::io_context &m_context;
    DaemonSettings m_settings;
    std::unique_ptr<Node> m_node;
    TimePoint m_nextRouteQuestionAt{};
    HttpClient m_client;
    EngineHttpClient m_engines;
    KeyValueHttpClient m_keyValue;
    TargetClient m_targets;
    TargetRelay m_relay;
    LogLimiter m_log{LogLimiterOptions{}};
    std::chrono::milliseconds m_tickInterval;
    LoopMonitor m_loop;
    /// Before the listeners, which use it.
    std::shared_ptr<CallerConnections> m_connections;
    CallerConnectionCounts m_loggedCounts;
    TimePoint m_nextLimitLog{};
    boost::asio::steady_timer m_tick;
    std::unique_ptr<PeerLink> m_peers;
    std::unique_ptr<HostListHttpClient> m_hostList;
    std::map<RequestId, std::unique_ptr<HttpResponder>> m_responders;
    RequestId m_lastRequest;
    std::optional<TimePoint> m_drainUntil;
    TimePoint m_drainAtLeastUntil{};
    /// When idle connections of callers are closed in a drain, since further requests on them would be refused.
    std::optional<TimePoint> m_closeIdleAt;
    bool m_drainTimedOut = false;
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_metrics;
    std::unique_ptr<HttpServer> m_operators;
    std::unique_ptr<HttpServer> m_relayServer;
};

Daemon::Daemon(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>, StartFailure> Daemon::create(boost::asio::io_context &context, DaemonSettings settings)
{
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    const auto incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(started).count());
    std::vector<ConfiguredMember> members;
    for (const ListedHost &peer : settings.peers) {
        members.push_back(
            {.host = peer.host,
             .profile = {.peerAddress = peer.peerAddress, .failureDomain = peer.failureDomain, .region = peer.region}});
    }
    std::optional<ForwardingOptions> forwarding;
    if (settings.forwarding) {
        forwarding = ForwardingOptions{.publications = platformPublicationFormat(),
                                       .retries = settings.forwarding->retries,
                                       .configurationMaximumAge = settings.forwarding->configurationMaximumAge,
                                       .propagation = settings.forwarding->propagation,
                                       .drainAcceptPeriod = settings.forwarding->drainAcceptPeriod,
                                       .buffers = {.limit = responseMemory(settings)}};
        if (const ListenSettings &relay = settings.forwarding->relay; relay.port != 0) {
            forwarding->relayAddress = relay.address + ":" + std::to_string(relay.port);
        }
    }
    auto node = Node::create({.host = settings.host,
                              .failureDomain = settings.failureDomain,
                              .region = settings.region,
                              .peerAddress = settings.peerAddress,
                              .configuredMembers = std::move(members),
                              .incarnation = IncarnationNumber(incarnation),
                              .seed = stableHash(settings.host.value(), incarnation),
                              .operatorTokenHash = settings.operatorTokenHash,
                              .firstStartOfDeployment = settings.firstStartOfDeployment,
                              .leaseTimeToLive = settings.leaseTimeToLive,
                              .candidatesPerScope = settings.forwarding ? forwardingScopeCandidates : 1,
                              .forwarding = std::move(forwarding)},
                             readBootClock());
    if (const auto *invalid = std::get_if<Node::InvalidOptions>(&node)) {
        return StartFailure{.reason = invalid->field};
    }
    auto implementation = std::make_unique<Implementation>(
        context, std::move(settings), std::get<std::unique_ptr<Node>>(std::move(node)));
    if (auto failure = implementation->start()) {
        return std::move(*failure);
    }
    return std::unique_ptr<Daemon>(new Daemon(std::move(implementation)));
}

void Daemon::drain()
{
    m_implementation->drain();
}

void Daemon::settingsChanged()
{
    m_implementation->settingsChanged();
}

std::uint16_t Daemon::callerPort() const
{
    return m_implementation->callerPort();
}

std::uint16_t Daemon::operatorPort() const
{
    return m_implementation->operatorPort();
}

} // namespace Carawaymill

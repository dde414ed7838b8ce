#include "NodeSimulation.h"

#include "catalogue/StoredRecord.h"
#include "enginestandin/StandInModel.h"
#include "support/Hash.h"

#include <cassert>

namespace Carawaymill {

static constexpr Duration stepLength = 1ms;
static constexpr Duration tickInterval = 10ms;
static constexpr Duration hostListInterval = 1s;
static constexpr Duration networkDelay = 500us;
static constexpr Duration serviceDelay = 3ms;
static constexpr Duration watchPollInterval = 20ms;
static constexpr std::uint32_t modelLayers = 12;
static constexpr TokenCount answerTokens(24);

NodeSimulation::NodeSimulation(NodeSimulationOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_store({.seed = m_options.seed})
{
    for (std::size_t index = 1; index <= m_options.hosts; ++index) {
        const std::string name = "entry-" + std::to_string(index);
        m_listed[name] = HostListState::Live;
        m_hosts[name].name = name;
    }
    for (const std::string &name : hosts()) {
        startHost(name);
    }
}

std::vector<std::string> NodeSimulation::hosts() const
{
    std::vector<std::string> names;
    for (const auto &[name, host] : m_hosts) {
        names.push_back(name);
    }
    return names;
}

NodeOptions NodeSimulation::optionsFor(const Host &host) const
{
    NodeOptions options{.host = HostId(host.name),
                        .failureDomain = FailureDomainId("domain-" + std::to_string(host.name.back() % 3)),
                        .region = RegionId("kyushu"),
                        .peerAddress = host.name,
                        .configuredMembers = {},
                        .incarnation = IncarnationNumber(host.starts),
                        .seed = stableHash(host.name, m_options.seed * 1000 + host.starts),
                        .operatorTokenHash = sha256Hex("operator-token"),
                        .firstStartOfDeployment = host.starts == 1};
    for (const auto &[name, other] : m_hosts) {
        if (name != host.name) {
            options.configuredMembers.push_back(
                {.host = HostId(name),
                 .profile = {.peerAddress = name,
                             .failureDomain = FailureDomainId("domain-" + std::to_string(name.back() % 3)),
                             .region = RegionId("kyushu")}});
        }
    }
    return options;
}

void NodeSimulation::startHost(const std::string &name)
{
    Host &host = hostNamed(name);
    ++host.starts;
    host.frozen = false;
    host.deferredEvents.clear();
    auto node = Node::create(optionsFor(host), m_now);
    host.node = std::get<std::unique_ptr<Node>>(std::move(node));
    host.nextTick = m_now;
}

void NodeSimulation::killHost(const std::string &name)
{
    Host &host = hostNamed(name);
    host.node.reset();
    ++host.starts;
    for (const auto &[request, call] : std::exchange(host.calls, {})) {
        m_views[call].cut = true;
        m_views[call].answeredAt = m_now;
    }
}

void NodeSimulation::thawHost(const std::string &name)
{
    Host &host = hostNamed(name);
    host.frozen = false;
    for (const NodeEvent &event : std::exchange(host.deferredEvents, {})) {
        dispatch(host, event);
    }
}

void NodeSimulation::drainHost(const std::string &name)
{
    dispatch(hostNamed(name), DrainRequested{});
}

void NodeSimulation::seed(const CatalogueRecord &record)
{
    const std::string key = catalogueKey(record);
    const auto present = m_store.record(key);
    const auto head = m_store.record(catalogueHeadKey);
    CatalogueHead oldHead;
    if (head) {
        oldHead = std::get<CatalogueHead>(decodeCatalogueHead(head->value, head->revision));
    }
    const Commit commit{.operations = {WriteOperation{.key = key,
                                                      .value = encodeStoredRecord({.record = record, .edits = {}}),
                                                      .expected = present ? present->revision : Revision(0)},
                                       WriteOperation{.key = catalogueHeadKey,
                                                      .value = encodeCatalogueHead(headAfterChange(oldHead, key)),
                                                      .expected = head ? head->revision : Revision(0)}}};
    const KeyValueResult result = m_store.apply(commit, m_now);
    assert(std::holds_alternative<Committed>(result));
}

void NodeSimulation::seedCatalogue()
{
    const Limits wide{.requestsPerSecond = 1000, .tokensPerSecond = 1e6, .jobsInProgress = 1000};
    seed(OrganisationRecord{
        .id = OrganisationId("thermal-ridge"), .tokenHashes = {sha256Hex("ridge-token")}, .limits = wide});
    seed(
        OrganisationRecord{.id = OrganisationId("hibana"), .tokenHashes = {sha256Hex("hibana-token")}, .limits = wide});
    seed(ModelRecord{.id = ModelId("glider"),
                     .layers = modelLayers,
                     .bytesPerLayer = ByteCount(1U << 20U),
                     .activationBytes = ByteCount(20)});
    const ModelEntry model{.model = ModelId("glider"), .version = "1", .adapter = ""};
    seed(EntryRecord{.id = EntryId("flight-summary"),
                     .owner = OrganisationId("thermal-ridge"),
                     .jobClass = JobClass::Standard,
                     .limits = wide,
                     .backEnd = model});
    seed(EntryRecord{.id = EntryId("handover"),
                     .owner = OrganisationId("hibana"),
                     .jobClass = JobClass::Critical,
                     .limits = wide,
                     .backEnd = model});
    ServiceEntry services{.targets = {}, .idempotentMethods = {"GET"}};
    for (const auto &[name, target] : m_targets) {
        seed(target.record);
        if (target.record.kind == TargetKind::Service) {
            services.targets.push_back(target.record.id);
        }
    }
    seed(EntryRecord{.id = EntryId("tow-billing"),
                     .owner = OrganisationId("thermal-ridge"),
                     .jobClass = JobClass::Critical,
                     .limits = wide,
                     .backEnd = services});
    seed(EntryRecord{.id = EntryId("booking"),
                     .owner = OrganisationId("hibana"),
                     .jobClass = JobClass::Critical,
                     .limits = wide,
                     .backEnd = services});
}

void NodeSimulation::addEngine(const std::string &name, LayerRange layers, const std::string &failureDomain)
{
    Target target;
    target.record = {.id = TargetId(name),
                     .kind = TargetKind::Engine,
                     .address = "127.0.0.1:" + std::to_string(9000 + m_targets.size()),
                     .failureDomain = FailureDomainId(failureDomain),
                     .region = RegionId("kyushu"),
                     .acceleratorKind = "a",
                     .memory = ByteCount(64U << 20U),
                     .layerTokensPerSecond = 1e5,
                     .linkBytesPerSecond = 1e9,
                     .checksFencingNumber = true};
    target.engineOptions = {.target = TargetId(name), .poison = poison};
    if (!layers.empty()) {
        target.engineOptions.held.push_back(
            {.model = ModelId("glider"), .version = "1", .adapter = "", .layers = layers});
    }
    target.engine.emplace(target.engineOptions);
    m_targets.emplace(name, std::move(target));
}

void NodeSimulation::addService(const std::string &name)
{
    Target target;
    target.record = {.id = TargetId(name),
                     .kind = TargetKind::Service,
                     .address = "127.0.0.1:" + std::to_string(9000 + m_targets.size()),
                     .failureDomain = FailureDomainId("fukuoka"),
                     .region = RegionId("kyushu")};
    m_targets.emplace(name, std::move(target));
}

void NodeSimulation::killTarget(const std::string &name)
{
    Target &target = m_targets.at(name);
    target.up = false;
    if (target.engine) {
        m_terminatedEngineLogs.push_back({.target = target.record.id,
                                          .incarnation = IncarnationNumber(target.starts),
                                          .runs = target.engine->runLog()});
        target.engine.reset();
    }
    for (auto &[ticket, callback] : std::exchange(target.waiting, {})) {
        callback(EngineNoAnswer{});
    }
}

void NodeSimulation::startTarget(const std::string &name)
{
    Target &target = m_targets.at(name);
    target.up = true;
    if (target.record.kind == TargetKind::Engine) {
        target.engineOptions.incarnation = IncarnationNumber(++target.starts);
        target.engine.emplace(target.engineOptions);
    }
}

std::vector<LayerRun> NodeSimulation::layerRuns() const
{
    std::vector<LayerRun> runs;
    for (const EngineLog &log : engineLogs()) {
        runs.insert(runs.end(), log.runs.begin(), log.runs.end());
    }
    return runs;
}

std::vector<EngineLog> NodeSimulation::engineLogs() const
{
    std::vector<EngineLog> logs = m_terminatedEngineLogs;
    for (const auto &[name, target] : m_targets) {
        if (target.engine) {
            logs.push_back({.target = target.record.id,
                            .incarnation = IncarnationNumber(target.starts),
                            .runs = target.engine->runLog()});
        }
    }
    return logs;
}

HostCondition NodeSimulation::condition(const std::string &name) const
{
    const Host &host = m_hosts.at(name);
    return {.up = host.node != nullptr,
            .frozen = host.frozen,
            .cutFromService = host.cutFromService,
            .cutFromPeers = host.cutFromPeers,
            .starts = host.starts};
}

std::string NodeSimulation::expectedAnswer(const std::string &prompt)
{
    return StandInModel(modelLayers).referenceAnswer(prompt, answerTokens, weightsName(ModelId("glider"), "1", ""));
}

void NodeSimulation::run(Duration duration)
{
    for (const TimePoint end = m_now + duration; m_now < end;) {
        step();
    }
}

bool NodeSimulation::runUntil(const std::function<bool()> &condition, Duration limit)
{
    for (const TimePoint end = m_now + limit; m_now < end && !condition();) {
        step();
    }
    return condition();
}

void NodeSimulation::step()
{
    m_now += stepLength;
    while (!m_scheduledActions.empty() && m_scheduledActions.top().at <= m_now) {
        const auto action = m_scheduledActions.top().action;
        m_scheduledActions.pop();
        action();
    }
    advanceEngines();
    if (m_now >= m_nextHostList) {
        m_nextHostList = m_now + hostListInterval;
        readHostList();
    }
    for (auto &[name, host] : m_hosts) {
        if (host.node && !host.frozen && m_now >= host.nextTick) {
            host.nextTick = m_now + tickInterval;
            dispatch(host, Tick{});
        }
    }
}

void NodeSimulation::schedule(Duration delay, std::function<void()> action)
{
    m_scheduledActions.push({.at = m_now + delay, .order = ++m_order, .action = std::move(action)});
}

void NodeSimulation::dispatch(Host &host, const NodeEvent &event)
{
    if (!host.node) {
        return;
    }
    if (host.frozen) {
        host.deferredEvents.push_back(event);
        return;
    }
    const NodeEvent replaced = m_options.replaceEvent ? m_options.replaceEvent(host.name, event) : event;
    for (NodeAction &decided : host.node->handle(replaced, m_now)) {
        std::vector<NodeAction> actions;
        if (m_options.replaceAction) {
            actions = m_options.replaceAction(host.name, std::move(decided));
        } else {
            actions.push_back(std::move(decided));
        }
        for (NodeAction &action : actions) {
            std::visit([&](auto &concrete) { perform(host, concrete); }, action);
        }
    }
}

void NodeSimulation::dispatchLater(Host &host, Duration delay, NodeEvent event)
{
    schedule(delay, [this, &host, start = host.starts, event = std::move(event)] {
        if (host.starts == start) {
            dispatch(host, event);
        }
    });
}

std::size_t NodeSimulation::call(const std::string &name, HttpRequest request)
{
    Host &host = hostNamed(name);
    const std::size_t call = m_views.size();
    m_views.push_back({.host = name, .request = request, .sentAt = m_now});
    if (!host.node) {
        m_views.back().cut = true;
        m_views.back().answeredAt = m_now;
        return call;
    }
    m_lastRequest = m_lastRequest.next();
    host.calls.emplace(m_lastRequest, call);
    dispatch(host,
             CallerRequest{.id = m_lastRequest, .request = std::move(request), .receivedAt = WallClockSeconds(0)});
    return call;
}

std::size_t NodeSimulation::operate(const std::string &name, HttpRequest request)
{
    Host &host = hostNamed(name);
    const std::size_t call = m_views.size();
    request.headers.emplace_back("Authorization", "Bearer operator-token");
    m_views.push_back({.host = name, .request = request, .sentAt = m_now});
    if (!host.node) {
        m_views.back().cut = true;
        m_views.back().answeredAt = m_now;
        return call;
    }
    m_lastRequest = m_lastRequest.next();
    host.calls.emplace(m_lastRequest, call);
    dispatch(host, OperatorRequest{.id = m_lastRequest, .request = std::move(request)});
    return call;
}

std::size_t NodeSimulation::complete(const std::string &host, const std::string &prompt, bool stream)
{
    const nlohmann::json body = {
        {"model", "flight-summary"}, {"prompt", prompt}, {"max_tokens", answerTokens}, {"stream", stream}};
    return call(host,
                {.method = "POST",
                 .target = "/v1/completions",
                 .headers = {{"Authorization", "Bearer ridge-token"}},
                 .body = body.dump()});
}

std::size_t NodeSimulation::callService(const std::string &host,
                                        const std::string &entry,
                                        const std::string &method,
                                        const std::string &body,
                                        const std::string &idempotencyKey)
{
    const std::string token = entry == "booking" ? "hibana-token" : "ridge-token";
    HttpRequest request{.method = method,
                        .target = "/v1/services/" + entry + "/things",
                        .headers = {{"Authorization", "Bearer " + token}},
                        .body = body};
    if (!idempotencyKey.empty()) {
        request.headers.emplace_back("Idempotency-Key", idempotencyKey);
    }
    return call(host, std::move(request));
}

void NodeSimulation::disconnectCaller(std::size_t call)
{
    Host &host = hostNamed(m_views[call].host);
    for (auto entry = host.calls.begin(); entry != host.calls.end(); ++entry) {
        if (entry->second == call) {
            const RequestId id = entry->first;
            host.calls.erase(entry);
            m_views[call].cut = true;
            m_views[call].answeredAt = m_now;
            dispatch(host, CallerDisconnected{id});
            return;
        }
    }
}

void NodeSimulation::perform(Host &host, Respond &action)
{
    if (const auto found = host.calls.find(action.id); found != host.calls.end()) {
        CallerView &view = m_views[found->second];
        view.response = std::move(action.response);
        view.answeredAt = m_now;
        host.calls.erase(found);
    }
}

void NodeSimulation::perform(Host &, BeginStream &) { }

void NodeSimulation::perform(Host &host, WriteStream &action)
{
    if (const auto found = host.calls.find(action.id); found != host.calls.end()) {
        m_views[found->second].streamed += action.chunk;
    }
}

void NodeSimulation::perform(Host &host, EndStream &action)
{
    if (const auto found = host.calls.find(action.id); found != host.calls.end()) {
        CallerView &view = m_views[found->second];
        view.streamEnded = true;
        view.answeredAt = m_now;
        host.calls.erase(found);
    }
}

NodeSimulation::Target *NodeSimulation::targetAt(const std::string &address)
{
    for (auto &[name, target] : m_targets) {
        if (target.record.address == address) {
            return &target;
        }
    }
    return nullptr;
}

void NodeSimulation::perform(Host &host, RunStep &action)
{
    Target *target = targetAt(action.address);
    const auto answer = [this, &host, start = host.starts, job = action.job, stream = action.step.stream](
                            Duration delay, StepResult result) {
        schedule(delay,
                 [this, &host, start, event = StepReturned{.job = job, .stream = stream, .result = std::move(result)}] {
                     if (host.starts == start) {
                         dispatch(host, event);
                     }
                 });
    };
    if (target == nullptr || !target->up) {
        answer(networkDelay, EngineNotSent{});
        return;
    }
    if (action.step.first == TokenPosition(0)) {
        m_streamsBegun.push_back(
            {.target = target->record.id, .job = action.job, .prompt = action.step.prompt, .at = m_now});
    }
    const Duration timeout = action.timeout;
    schedule(networkDelay, [this, target, step = std::move(action.step), answer, timeout] {
        if (!target->up) {
            answer(networkDelay, EngineNoAnswer{});
            return;
        }
        const std::uint64_t ticket = target->engine->submit(step, m_now);
        if (target->unresponsive) {
            answer(timeout, EngineNoAnswer{});
            return;
        }
        target->waiting.emplace(ticket, [answer](StepResult result) { answer(networkDelay, std::move(result)); });
    });
}

void NodeSimulation::advanceEngines()
{
    std::vector<std::string> crashed;
    for (auto &[name, target] : m_targets) {
        if (!target.engine) {
            continue;
        }
        for (StepDone &done : target.engine->advance(m_now)) {
            const auto found = target.waiting.find(done.ticket);
            if (found == target.waiting.end()) {
                continue;
            }
            const auto callback = std::move(found->second);
            target.waiting.erase(found);
            callback(std::visit([](auto &concrete) -> StepResult { return std::move(concrete); }, done.result));
        }
        if (target.engine->crashed()) {
            crashed.push_back(name);
        }
    }
    for (const std::string &name : crashed) {
        ++m_targetCrashes;
        killTarget(name);
        schedule(2s, [this, name] { startTarget(name); });
    }
}

void NodeSimulation::perform(Host &host, RequestStreamStatus &action)
{
    Target *target = targetAt(action.address);
    StreamStatusResult result = EngineNotSent{};
    Duration delay = 2 * networkDelay;
    if (target != nullptr && target->up && target->unresponsive) {
        result = EngineNoAnswer{};
        delay = action.timeout;
    } else if (target != nullptr && target->up) {
        result = std::visit([](auto &&concrete) -> StreamStatusResult { return concrete; },
                            target->engine->status(action.stream));
    }
    dispatchLater(
        host, delay, StreamStatusReturned{.job = action.job, .stream = action.stream, .result = std::move(result)});
}

void NodeSimulation::perform(Host &, DropStream &action)
{
    if (Target *target = targetAt(action.address); target != nullptr && target->engine) {
        target->engine->cancel(action.stream);
    }
}

void NodeSimulation::perform(Host &host, RequestTargetReport &action)
{
    Target *target = targetAt(action.address);
    TargetReported reported{.target = action.target, .outcome = PollOutcome::ConnectionFailed, .report = {}};
    Duration delay = 2 * networkDelay;
    if (target != nullptr && target->up && target->unresponsive) {
        reported.outcome = PollOutcome::NoResponse;
        delay = action.timeout;
    } else if (target != nullptr && target->up) {
        reported.outcome = PollOutcome::Answered;
        if (target->engine) {
            reported.report = {.state = target->engine->state(m_now),
                               .load = {.queuedSteps = static_cast<std::uint32_t>(target->engine->queuedSteps()),
                                        .runningSteps = static_cast<std::uint32_t>(target->engine->runningSteps()),
                                        .freeCacheBytes = ByteCount(0)}};
        }
    }
    dispatchLater(host, delay, reported);
}

void NodeSimulation::perform(Host &host, CallTarget &action)
{
    Target *target = targetAt(action.address);
    HttpResult result = HttpNotSent{};
    Duration delay = 2 * networkDelay;
    if (target != nullptr && target->up) {
        m_serviceRuns.push_back({.target = target->record.id, .request = action.request, .at = m_now});
        if (target->unresponsive || target->responsesToLose > 0) {
            target->responsesToLose -= target->responsesToLose > 0 ? 1 : 0;
            result = HttpNoResponse{};
            delay = target->unresponsive ? action.timeout : delay;
        } else {
            result = HttpResponse{.status = 200,
                                  .headers = {{"Content-Type", "application/json"}},
                                  .body = "{\"run\":" + std::to_string(m_serviceRuns.size()) + "}"};
            delay += serviceDelay;
        }
    }
    dispatchLater(
        host, delay, TargetCallReturned{.job = action.job, .attempt = action.attempt, .result = std::move(result)});
}

void NodeSimulation::perform(Host &host, SendOrder &action)
{
    Target *target = targetAt(action.address);
    OrderReturned returned{.order = action.order, .reply = std::nullopt};
    if (target != nullptr && target->up && !target->unresponsive) {
        returned.reply = target->engine->order(action.order, m_now);
    }
    dispatchLater(host, 2 * networkDelay, returned);
}

void NodeSimulation::perform(Host &host, KeyValueCall &action)
{
    if (const auto *watch = std::get_if<WatchRange>(&action.request)) {
        const TimePoint until = m_now + watch->wait;
        pollWatch(host, host.starts, std::move(action), until);
        return;
    }
    schedule(serviceDelay + m_storeDelay, [this, &host, start = host.starts, call = std::move(action)] {
        if (host.starts != start) {
            return;
        }
        const KeyValueResult result =
            host.cutFromService ? KeyValueResult(OutcomeUnknown{}) : m_store.apply(call.request, m_now);
        const bool lost = std::holds_alternative<OutcomeUnknown>(result);
        dispatchLater(host, lost ? call.timeout : serviceDelay, KeyValueReply{.id = call.id, .result = result});
    });
}

void NodeSimulation::pollWatch(Host &host, std::uint64_t start, KeyValueCall call, TimePoint until)
{
    schedule(watchPollInterval, [this, &host, start, call = std::move(call), until] {
        if (host.starts != start) {
            return;
        }
        const KeyValueResult result =
            host.cutFromService ? KeyValueResult(ServiceUnavailable{}) : m_store.apply(call.request, m_now);
        const auto *changed = std::get_if<RangeChanged>(&result);
        const bool unchanged = changed != nullptr && changed->written.empty() && changed->deletedKeys.empty();
        if (unchanged && m_now < until) {
            pollWatch(host, start, call, until);
            return;
        }
        dispatch(host, KeyValueReply{.id = call.id, .result = result});
    });
}

void NodeSimulation::perform(Host &host, SendToPeer &action)
{
    ++m_peerMessages;
    const auto found = m_hosts.find(action.to.value());
    if (found == m_hosts.end() || host.cutFromPeers || m_random.fraction() < m_options.peerLoss) {
        return;
    }
    Host &peer = found->second;
    // Encodes and decodes the message as the peer link does, so that tests detect fields that the encoding alters.
    const auto onTheWire = std::get<nlohmann::json>(unpackCbor(packCbor(action.message)));
    const std::size_t copies = m_random.fraction() < m_options.peerDuplication ? 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
        const Duration delay = networkDelay + Duration(static_cast<Duration::rep>(m_random.below(1000)));
        schedule(delay, [this, &peer, event = PeerMessage{.from = HostId(host.name), .message = onTheWire}] {
            if (!peer.cutFromPeers) {
                dispatch(peer, event);
            }
        });
    }
}

void NodeSimulation::perform(Host &host, WriteLog &action)
{
    m_log.push_back(host.name + " " + action.line);
}

void NodeSimulation::readHostList()
{
    HostListRead list;
    for (const auto &[name, state] : m_listed) {
        list.hosts.push_back({.host = HostId(name),
                              .state = state,
                              .peerAddress = name,
                              .failureDomain = FailureDomainId("domain-" + std::to_string(name.back() % 3)),
                              .region = RegionId("kyushu")});
    }
    for (const auto &[name, state] : m_listedTargets) {
        list.targets.push_back({.target = TargetId(name), .state = state});
    }
    for (auto &[name, host] : m_hosts) {
        dispatch(host, list);
    }
}

} // namespace Carawaymill

#include "node/Node.h"

#include "node/CataloguePlacement.h"
#include "node/RouteQuestions.h"
#include "support/Hash.h"

namespace Carawaymill {

/// Retry-After for callers of a host that is draining or not ready. Short, because the balancer sends the retry to
/// another host.
static constexpr Duration otherHostRetryAfter = 1s;
/// High enough that each segment of a chain has candidates from every failure domain whose targets hold its layers.
static constexpr std::uint32_t forwardingCandidatesPerSegment = 12;
/// High enough that all targets of a first start load concurrently: the weight store serves loads faster before the
/// first request.
static constexpr std::uint32_t forwardingConcurrentLoads = 64;
/// After a loss, neighbouring targets load a few missing layers within about this time. Further losses often follow
/// soon after the first, and one plan then covers them.
static constexpr Duration forwardingPlanInterval = 1s;
/// Short, because a target is removed from the directory only after it has missed several heartbeats or has announced
/// that it is leaving.
static constexpr Duration forwardingTargetLossGracePeriod = 300ms;
/// When a whole deployment starts, its targets register within about a second of each other; planning waits for them.
static constexpr Duration forwardingArrivalQuietPeriod = 1s;
/// Engines state a lag of some hundred milliseconds for their state reports; this is well above it.
static constexpr Duration forwardingStateReportLag = 600ms;

Result<Node::Parts, Node::InvalidOptions> Node::createParts(const NodeOptions &options, TimePoint now)
{
    auto catalogue = CatalogueReplica::create(
        {.host = options.host, .failureDomain = options.failureDomain, .seed = stableHash("catalogue", options.seed)});
    if (const auto *invalid = std::get_if<InvalidCatalogueReplicaOptions>(&catalogue)) {
        return InvalidOptions{.field = "catalogue." + invalid->field};
    }
    auto fleet = Fleet::create(options);
    if (const auto *invalid = std::get_if<InvalidMembershipOptions>(&fleet)) {
        return InvalidOptions{.field = "membership." + invalid->option};
    }
    auto administration = AdministrationApi::create({.tokenHash = options.operatorTokenHash});
    if (const auto *invalid = std::get_if<InvalidAdministrationOptions>(&administration)) {
        return InvalidOptions{.field = "administration." + invalid->field};
    }
    auto scopes = ScopeCoordinator::create(options);
    if (const auto *invalid = std::get_if<InvalidLeaseOptions>(&scopes)) {
        return InvalidOptions{.field = "lease." + invalid->option};
    }
    auto ledger = LedgerCoordinator::create(options);
    if (const auto *invalid = std::get_if<LedgerCoordinator::InvalidOptions>(&ledger)) {
        return InvalidOptions{.field = "ledger." + invalid->field};
    }
    auto calls = CallCoordinator::create(options, now);
    if (const auto *invalid = std::get_if<CallCoordinator::InvalidOptions>(&calls)) {
        return InvalidOptions{.field = invalid->field};
    }
    return Parts{.catalogue = std::get<CatalogueReplica>(std::move(catalogue)),
                 .fleet = std::get<Fleet>(std::move(fleet)),
                 .administration = std::get<AdministrationApi>(std::move(administration)),
                 .scopes = std::get<ScopeCoordinator>(std::move(scopes)),
                 .ledger = std::get<LedgerCoordinator>(std::move(ledger)),
                 .calls = std::get<CallCoordinator>(std::move(calls))};
}

Result<std::unique_ptr<Node>, Node::InvalidOptions> Node::create(NodeOptions options, TimePoint now)
{
    auto parts = createParts(options, now);
    if (auto *invalid = std::get_if<InvalidOptions>(&parts)) {
        return std::move(*invalid);
    }
    return std::unique_ptr<Node>(new Node(std::move(options), std::get<Parts>(std::move(parts))));
}

static ChainRouterOptions routerOptions(const NodeOptions &options)
{
    ChainRouterOptions router{.seed = stableHash("routing", options.seed),
                              .ownFailureDomain = options.failureDomain,
                              .ownRegion = options.region};
    if (options.forwarding) {
        // Targets send activations directly to each other, so only the distances between targets matter. The delays
        // from this host are therefore all set to the same negligible value.
        router.otherRegionDelay = 1us;
        router.otherFailureDomainDelay = 1us;
        router.sameFailureDomainDelay = 1us;
        router.candidatesPerSegment = forwardingCandidatesPerSegment;
    }
    return router;
}

PlacementSource Node::placementSource() const
{
    if (m_forwarding) {
        PlacementControllerOptions controller;
        controller.concurrentLoads = forwardingConcurrentLoads;
        controller.orderForm = OrderForm::CompleteRange;
        controller.planner = ChainPlannerOptions{};
        controller.targetLossGracePeriod = forwardingTargetLossGracePeriod;
        controller.planInterval = forwardingPlanInterval;
        controller.arrivalQuietPeriod = forwardingArrivalQuietPeriod;
        controller.stateReportLag = forwardingStateReportLag;
        return {.usableTargets = [this](const LeaseScopeId &scope) { return m_forwarding->placementTargets(scope); },
                .address = [this](const TargetId &target) { return m_forwarding->address(target); },
                .controller = controller};
    }
    return {.usableTargets =
                [this](const LeaseScopeId &scope) { return cataloguePlacementTargets(m_catalogue, m_targets, scope); },
            .address = [this](const TargetId &target) { return m_targets.address(target); },
            .controller = {}};
}

Node::Node(NodeOptions options, Parts parts)
    : m_options(std::move(options))
    , m_catalogue(std::move(parts.catalogue))
    , m_editor(CatalogueEditorOptions{})
    , m_fleet(std::move(parts.fleet))
    , m_administration(std::move(parts.administration))
    , m_scopes(std::move(parts.scopes))
    , m_ledger(std::move(parts.ledger))
    , m_calls(std::move(parts.calls))
    , m_targets(routerOptions(m_options), {})
    , m_forwarding(m_options.forwarding ? std::make_unique<ForwardingCoordinator>(m_options) : nullptr)
    , m_placement(placementSource())
    , m_hostsKnown(!m_options.configuredMembers.empty())
{
}

std::vector<NodeAction> Node::handle(const NodeEvent &event, TimePoint now)
{
    NodeOutput output(m_decisions);
    NodeContext context{.now = now,
                        .output = output,
                        .catalogue = m_catalogue,
                        .fleet = m_fleet,
                        .targets = m_targets,
                        .keyValue = m_keyValue};
    std::visit([&](const auto &concrete) { on(concrete, context); }, event);
    dispatchScopeChanges(context);
    m_calls.handleClaimDecisions(m_ledger, context);
    m_calls.sendBilledResponses(m_ledger, context);
    return output.take();
}

bool Node::ready(TimePoint now) const
{
    if (m_forwarding) {
        return !m_draining && m_forwarding->ready(now);
    }
    // The platform's host list may mark this host as leaving before a drain is requested.
    const bool leaves = m_fleet.membership().state(m_options.host) == MemberState::Leaving;
    return !m_draining && !leaves && m_catalogue.takesNewJobs(now);
}

bool Node::drained() const
{
    if (m_forwarding) {
        return m_draining && m_forwarding->inProgress() == 0;
    }
    return m_draining && m_calls.inProgress() == 0 && m_ledger.unrecordedBills() == 0 && m_ledger.waitingReports() == 0;
}

std::string Node::metrics(TimePoint now) const
{
    return m_forwarding ? m_forwarding->metrics(now) : std::string();
}

HttpResponse Node::explainRoute(const std::string &target, TimePoint now) const
{
    return respondToRouteQuestion(target, m_options.host, [&](const RouteQuestion &question) {
        return m_forwarding ? m_forwarding->explainRoute(question, m_targets.router(), now)
                            : RouteExplanationResult(RouteTableMissing{});
    });
}

std::size_t Node::placementRegionsHeld(TimePoint now) const
{
    return m_placement.scopesHeld(m_scopes.leases(), now);
}

void Node::on(const Tick &, NodeContext &context)
{
    if (m_fleet.tick(context.now, context.output)) {
        membersChanged(context);
    }
    if (m_forwarding) {
        tickForwarding(context);
    } else {
        tickCatalogue(context);
    }
}

void Node::tickForwarding(NodeContext &context)
{
    m_scopes.tick(context);
    m_placement.tick(m_scopes.leases(), context);
    m_forwarding->tick(context);
    if (m_forwarding->takePlacementChange() && m_placement.setDemands(m_forwarding->placementScopes(), context)) {
        refreshScopes(context);
    }
    if (const auto list = m_forwarding->takeHostList()) {
        hostListChanged(*list, context);
        refreshScopes(context);
    }
}

void Node::tickCatalogue(NodeContext &context)
{
    dispatchCatalogue(Tick{}, context);
    dispatchEditor(Tick{}, context);
    dispatchAdministration(Tick{}, context);
    m_scopes.tick(context);
    m_ledger.tick(context);
    m_placement.tick(m_scopes.leases(), context);
    targetsFailed(m_targets.tick(context.now, context.output), context);
    m_calls.tick(m_ledger, context);
}

void Node::on(const CallerRequest &event, NodeContext &context)
{
    if (event.request.target == "/healthz" || event.request.target == "/readyz" || !ready(context.now)) {
        respondToHealthCheck(event, context);
    } else {
        m_calls.accept(event, m_ledger, context);
    }
}

void Node::respondToHealthCheck(const CallerRequest &event, NodeContext &context)
{
    if (event.request.target == "/healthz" || ready(context.now)) {
        context.output.respond(event.id, {.status = 200, .headers = {{"Content-Type", "text/plain"}}, .body = "ok\n"});
        return;
    }
    context.output.refuse(event.id,
                          {.type = m_draining ? ProblemType::Draining : ProblemType::NotReady,
                           .ran = Ran::No,
                           .detail = "This host takes no new requests.",
                           .retryAfter = otherHostRetryAfter});
}

void Node::on(const CallerDisconnected &event, NodeContext &context)
{
    if (m_forwarding) {
        m_forwarding->forward(ForwardCallerDisconnected{event.id}, context);
        return;
    }
    m_calls.callerDisconnected(event.id, m_ledger, context);
    std::erase_if(m_operatorRequests, [&](const auto &entry) { return entry.second == event.id; });
}

void Node::on(const OperatorRequest &event, NodeContext &context)
{
    m_lastOperatorCall = m_lastOperatorCall.next();
    m_operatorRequests.emplace(m_lastOperatorCall, event.id);
    dispatchAdministration(AdministrationRequest{.id = m_lastOperatorCall, .request = event.request}, context);
}

void Node::on(const StepReturned &event, NodeContext &context)
{
    m_calls.stepReturned(event, m_ledger, context);
}

void Node::on(const StreamStatusReturned &event, NodeContext &context)
{
    m_calls.streamStatusReturned(event, m_ledger, context);
}

void Node::on(const TargetReported &event, NodeContext &context)
{
    if (m_forwarding) {
        if (event.outcome == PollOutcome::Answered) {
            m_placement.stateRead(m_forwarding->withFreeMemory(event.report.state), context);
        }
        return;
    }
    targetsFailed(m_targets.targetReported(event, context.now, context.output), context);
    m_calls.targetDiagnosed(event.target, m_ledger, context);
    const EngineState *state = m_targets.state(event.target);
    if (event.outcome == PollOutcome::Answered && state != nullptr) {
        m_placement.stateRead(*state, context);
    }
}

void Node::on(const TargetCallReturned &event, NodeContext &context)
{
    m_calls.targetReturned(event, m_ledger, context);
}

void Node::on(const OrderReturned &event, NodeContext &context)
{
    m_placement.orderReturned(event, context);
}

void Node::on(const KeyValueReply &event, NodeContext &context)
{
    const std::optional<KeyValueCallOrigin> origin = m_keyValue.resolve(event.id);
    if (!origin) {
        return;
    }
    KeyValueReply reply{.id = origin->id, .result = event.result, .age = event.age, .era = event.era};
    if (event.era) {
        if (const auto change = m_keyValue.observe(*event.era)) {
            storeEraChanged(*change, context);
        }
        if (*event.era < *m_keyValue.era()) {
            reply.result = origin->withoutResponse;
        }
    }
    switch (origin->caller) {
    case KeyValueCaller::Catalogue:
        dispatchCatalogue(reply, context);
        break;
    case KeyValueCaller::CatalogueEditor:
        dispatchEditor(reply, context);
        break;
    case KeyValueCaller::Lease:
        m_scopes.reply(reply, context);
        break;
    case KeyValueCaller::LedgerShard:
        m_ledger.keyValueReply(origin->shard, reply, context);
        break;
    case KeyValueCaller::Quarantine:
        m_calls.quarantineReply(reply, m_ledger, context);
        break;
    case KeyValueCaller::Usage:
        dispatchAdministration(usageResponse(reply), context);
        break;
    case KeyValueCaller::Configuration:
        m_forwarding->configurationReply(reply, context);
        break;
    case KeyValueCaller::Directory:
        m_forwarding->directoryReply(reply, context);
        break;
    case KeyValueCaller::HostRegistry:
        m_forwarding->registryReply(reply, context);
        break;
    case KeyValueCaller::CondemnedTraits:
        m_forwarding->condemnedTraitsReply(reply, context);
        break;
    }
}

void Node::storeEraChanged(const StoreEraChanged &change, NodeContext &context)
{
    if (change.restored) {
        context.output.log("Store: event=restored era=" + std::to_string(change.era.value()));
    }
    m_scopes.storeEraChanged(change, context);
    if (m_forwarding) {
        m_forwarding->storeEraChanged(change, context);
    }
}

template<typename ForwardEvent>
void Node::on(const ForwardEvent &event, NodeContext &context)
{
    if (m_forwarding) {
        m_forwarding->forward(event, context);
    }
}

void Node::hostListChanged(const HostListRead &list, NodeContext &context)
{
    const bool changed = m_fleet.hostListRead(list, context.now, context.output);
    const bool becameKnown = !std::exchange(m_hostsKnown, m_hostsKnown || !list.hosts.empty()) && m_hostsKnown;
    if (changed || becameKnown) {
        membersChanged(context);
    }
}

void Node::on(const HostListRead &event, NodeContext &context)
{
    hostListChanged(event, context);
    targetsFailed(m_targets.hostListRead(event, context.now, context.output), context);
}

/// Handles a message on one of the channels that only hosts with published routes use.
static void passToForwarding(ForwardingCoordinator &forwarding,
                             const HostId &from,
                             const ChannelMessage &message,
                             NodeContext &context)
{
    switch (message.channel) {
    case PeerChannel::Configuration:
        forwarding.configurationReceived(from, message.body, context);
        break;
    case PeerChannel::Load:
        forwarding.loadReceived(from, message.body, context);
        break;
    case PeerChannel::Range:
        forwarding.rangeReceived(from, message.body, context);
        break;
    case PeerChannel::RetryLoans:
        forwarding.retryLoanReceived(from, message.body, context);
        break;
    case PeerChannel::TargetObservations:
        forwarding.targetObservationReceived(from, message.body, context);
        break;
    default:
        break;
    }
}

void Node::on(const PeerMessage &event, NodeContext &context)
{
    const std::optional<ChannelMessage> message = readEnvelope(event.message);
    if (!message) {
        return;
    }
    switch (message->channel) {
    case PeerChannel::Membership:
        if (m_fleet.membershipReceived(event.from, message->body, context.now, context.output)) {
            membersChanged(context);
        }
        break;
    case PeerChannel::Catalogue:
        if (auto read = decode<CatalogueMessage>(message->body); std::holds_alternative<CatalogueMessage>(read)) {
            dispatchCatalogue(
                CatalogueMessageReceived{.from = event.from, .message = std::get<CatalogueMessage>(std::move(read))},
                context);
        }
        break;
    case PeerChannel::Ledger:
        m_ledger.messageReceived(event.from, message->body, context);
        break;
    case PeerChannel::Limits:
        // Where routes are published, the channel carries the shares of the targets' limits.
        if (m_forwarding) {
            m_forwarding->limitsReceived(event.from, message->body, context);
        } else {
            m_calls.limitsReceived(event.from, message->body, context);
        }
        break;
    case PeerChannel::Quarantine:
        // Where routes are published, the channel carries the attribution of crashes; model jobs of entries are idle.
        if (m_forwarding) {
            m_forwarding->attributionReceived(event.from, message->body, context);
        } else {
            m_calls.quarantineReceived(message->body, m_ledger, context);
        }
        break;
    case PeerChannel::Configuration:
    case PeerChannel::Load:
    case PeerChannel::Range:
    case PeerChannel::RetryLoans:
    case PeerChannel::TargetObservations:
        if (m_forwarding) {
            passToForwarding(*m_forwarding, event.from, *message, context);
        }
        break;
    }
}

void Node::on(const DrainRequested &, NodeContext &context)
{
    if (std::exchange(m_draining, true)) {
        return;
    }
    context.output.log("Node: drains.");
    m_fleet.leave(context.now, context.output);
    if (m_forwarding) {
        m_forwarding->startDraining(context.now);
    }
    membersChanged(context);
}

void Node::on(const DrainTimeoutReached &event, NodeContext &context)
{
    if (m_forwarding) {
        m_forwarding->forward(event, context);
    }
}

void Node::membersChanged(NodeContext &context)
{
    if (m_forwarding) {
        m_forwarding->membersChanged(context);
        refreshScopes(context);
        return;
    }
    CataloguePeersChanged peers;
    for (const Member &member : m_fleet.members()) {
        if (member.host != m_options.host) {
            peers.peers.push_back({.host = member.host, .failureDomain = member.profile.failureDomain});
        }
    }
    // Before the other hosts are known, the catalogue would report "in force on 1 of 1 hosts" although there are
    // others.
    if (m_hostsKnown) {
        dispatchCatalogue(peers, context);
    }
    refreshScopes(context);
    m_ledger.membersChanged(context);
    m_calls.membersChanged(context);
}

void Node::dispatchCatalogue(const CatalogueReplicaEvent &event, NodeContext &context)
{
    for (CatalogueReplicaAction &action : m_catalogue.handle(event, context.now)) {
        std::visit(Overloaded{[&](KeyValueCall &call) {
                                  m_keyValue.issue(KeyValueCaller::Catalogue, 0, std::move(call), context.output);
                              },
                              [&](SendCatalogueMessage &send) {
                                  m_fleet.send(send.to, PeerChannel::Catalogue, send.message, context.output);
                              },
                              [&](const CatalogueChanged &changed) {
                                  context.output.log(describe(changed));
                                  m_targets.setDeclaredTargets(m_catalogue, context.now, context.output);
                                  m_calls.catalogueChanged(context);
                                  if (m_placement.setDemands(cataloguePlacementScopes(m_catalogue), context)) {
                                      refreshScopes(context);
                                  }
                              },
                              [&](const CatalogueVersionIgnored &ignored) { context.output.log(describe(ignored)); }},
                   action);
    }
}

void Node::dispatchEditor(const CatalogueEditorEvent &event, NodeContext &context)
{
    for (CatalogueEditorAction &action : m_editor.handle(event, m_catalogue, context.now)) {
        std::visit(
            Overloaded{[&](KeyValueCall &call) {
                           m_keyValue.issue(KeyValueCaller::CatalogueEditor, 0, std::move(call), context.output);
                       },
                       [&](CatalogueVersionsAccepted &accepted) { dispatchCatalogue(std::move(accepted), context); },
                       [&](EditFinished &finished) { dispatchAdministration(std::move(finished), context); }},
            action);
    }
}

void Node::dispatchAdministration(const AdministrationEvent &event, NodeContext &context)
{
    for (AdministrationAction &action : m_administration.handle(event, m_catalogue, context.now)) {
        std::visit(Overloaded{[&](AdministrationReply &reply) {
                                  if (const auto request = m_operatorRequests.extract(reply.id); !request.empty()) {
                                      context.output.respond(request.mapped(), std::move(reply.response));
                                  }
                              },
                              [&](const AdministrationQuery &query) { handleQuery(query, context); },
                              [&](EditAsked &asked) { dispatchEditor(std::move(asked), context); },
                              [&](InForceAsked asked) { dispatchCatalogue(asked, context); }},
                   action);
    }
}

void Node::targetsFailed(const std::vector<TargetFailure> &died, NodeContext &context)
{
    for (const TargetFailure &target : died) {
        m_calls.targetFailed(target, m_ledger, context);
    }
}

void Node::refreshScopes(NodeContext &context)
{
    std::vector<LeaseScopeId> scopes = m_forwarding ? std::vector<LeaseScopeId>() : m_ledger.scopes();
    for (LeaseScopeId &scope : m_placement.scopes()) {
        scopes.push_back(std::move(scope));
    }
    std::vector<HostId> candidates = m_fleet.membership().aliveHosts();
    if (m_forwarding) {
        // A host that the key-value service rejects may still be alive for its peers, but it cannot renew a lease.
        std::erase_if(candidates, [&](const HostId &host) { return !m_forwarding->registered(host); });
    }
    m_scopes.refresh(scopes, candidates, context);
}

void Node::dispatchScopeChanges(NodeContext &context)
{
    for (const ScopeChange &change : m_scopes.takeChanges()) {
        m_ledger.scopeChanged(change, context);
        m_placement.scopeChanged(change, context);
    }
}

} // namespace Carawaymill

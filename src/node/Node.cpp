#include "node/Node.h"

#include "support/Hash.h"

namespace Carawaymill {

/// Told to callers of a host that takes no new work: the balancer sends them to another host.
static constexpr Duration otherHostRetryAfter = 1s;

Result<std::unique_ptr<Node>, Node::InvalidOptions> Node::create(NodeOptions options)
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
    return std::unique_ptr<Node>(new Node(std::move(options),
                                          std::get<CatalogueReplica>(std::move(catalogue)),
                                          std::get<Fleet>(std::move(fleet)),
                                          std::get<AdministrationApi>(std::move(administration))));
}

Node::Node(NodeOptions options, CatalogueReplica catalogue, Fleet fleet, AdministrationApi administration)
    : m_options(std::move(options))
    , m_catalogue(std::move(catalogue))
    , m_fleet(std::move(fleet))
    , m_editor(CatalogueEditorOptions{})
    , m_administration(std::move(administration))
    , m_targets({.seed = stableHash("routing", m_options.seed),
                 .ownFailureDomain = m_options.failureDomain,
                 .ownRegion = m_options.region},
                {})
{
}

std::vector<NodeAction> Node::handle(const NodeEvent &event, TimePoint now)
{
    NodeOutput output(m_decisions);
    std::visit([&](const auto &concrete) { on(concrete, now, output); }, event);
    return output.take();
}

bool Node::ready(TimePoint now) const
{
    return !m_draining && m_catalogue.takesNewJobs(now);
}

std::size_t Node::requestsInProgress() const
{
    return m_modelJobs.inProgress();
}

void Node::on(const Tick &, TimePoint now, NodeOutput &output)
{
    if (m_fleet.tick(now, output)) {
        membersChanged(now, output);
    }
    feedCatalogue(Tick{}, now, output);
    feedEditor(Tick{}, now, output);
    feedAdministration(Tick{}, now, output);
    targetsDied(m_targets.tick(now, output), now, output);
    m_modelJobs.tick(now, m_targets, output);
    (void)m_modelJobs.takeEnded();
}

void Node::on(const CallerRequest &event, TimePoint now, NodeOutput &output)
{
    const std::string path = event.request.target.substr(0, event.request.target.find('?'));
    const bool chat = path == "/v1/chat/completions";
    if (path == "/healthz" || path == "/readyz") {
        answerHealth(event, now, output);
    } else if (!chat && path != "/v1/completions") {
        output.refuse(event.id, {.type = ProblemType::NotFound, .ran = Ran::No, .detail = "There is no such path."});
    } else if (event.request.method != "POST") {
        output.refuse(event.id,
                      {.type = ProblemType::MethodNotAllowed, .ran = Ran::No, .detail = "Only POST is answered here."});
    } else {
        startCompletion(event, chat, now, output);
    }
}

void Node::answerHealth(const CallerRequest &event, TimePoint now, NodeOutput &output)
{
    if (event.request.target == "/healthz" || ready(now)) {
        output.respond(event.id, {.status = 200, .headers = {{"Content-Type", "text/plain"}}, .body = "ok\n"});
        return;
    }
    output.refuse(event.id,
                  {.type = m_draining ? ProblemType::Draining : ProblemType::NotReady,
                   .ran = Ran::No,
                   .detail = "This host takes no new requests.",
                   .retryAfter = otherHostRetryAfter});
}

void Node::startCompletion(const CallerRequest &event, bool chat, TimePoint now, NodeOutput &output)
{
    if (!ready(now)) {
        answerHealth({.id = event.id, .request = {.method = "GET", .target = "/readyz"}}, now, output);
        return;
    }
    const auto organisation = CallerGate::authenticate(event.request, m_catalogue);
    if (const auto *problem = std::get_if<Problem>(&organisation)) {
        output.refuse(event.id, *problem);
        return;
    }
    auto parsed = parseCompletion(event.request.body, chat, m_options.completions);
    if (const auto *problem = std::get_if<Problem>(&parsed)) {
        output.refuse(event.id, *problem);
        return;
    }
    auto &completion = std::get<CompletionRequest>(parsed);
    const auto entry =
        CallerGate::authorise(*std::get<const OrganisationRecord *>(organisation), completion.entry, m_catalogue);
    if (const auto *problem = std::get_if<Problem>(&entry)) {
        output.refuse(event.id, *problem);
        return;
    }
    const EntryRecord &record = *std::get<const EntryRecord *>(entry);
    const auto *modelEntry = std::get_if<ModelEntry>(&record.backEnd);
    const ModelRecord *model = modelEntry == nullptr ? nullptr : m_catalogue.model(modelEntry->model);
    if (model == nullptr) {
        output.refuse(event.id,
                      {.type = ProblemType::EntryUnknown,
                       .ran = Ran::No,
                       .detail = "The entry is not served by a known model.",
                       .field = "/model"});
        return;
    }
    const JobId job = nextJobId();
    PipelineJobOptions pipeline{.job = job,
                                .model = model->id,
                                .version = modelEntry->version,
                                .adapter = modelEntry->adapter,
                                .layers = model->layers,
                                .jobClass = record.jobClass,
                                .prompt = completion.prompt,
                                .maximumTokens = completion.maximumTokens,
                                .deadline = now + m_options.jobTimeout};
    m_modelJobs.start({.request = event.id,
                       .head = {.job = job, .entry = record.id, .chat = chat, .created = event.receivedAt},
                       .completion = std::move(completion),
                       .organisation = record.owner,
                       .pipeline = std::move(pipeline),
                       .activationBytes = model->activationBytes},
                      now,
                      m_targets,
                      output);
}

void Node::on(const CallerDisconnected &event, TimePoint now, NodeOutput &output)
{
    m_modelJobs.callerDisconnected(event.id, now, m_targets, output);
}

void Node::on(const OperatorRequest &event, TimePoint now, NodeOutput &output)
{
    m_lastOperatorCall = m_lastOperatorCall.next();
    m_operatorRequests.emplace(m_lastOperatorCall, event.id);
    feedAdministration(AdministrationRequest{.id = m_lastOperatorCall, .request = event.request}, now, output);
}

void Node::on(const StepReturned &event, TimePoint now, NodeOutput &output)
{
    m_modelJobs.stepReturned(event, now, m_targets, output);
}

void Node::on(const StreamStatusReturned &event, TimePoint now, NodeOutput &output)
{
    m_modelJobs.streamStatusReturned(event, now, m_targets, output);
}

void Node::on(const TargetReported &event, TimePoint now, NodeOutput &output)
{
    targetsDied(m_targets.reported(event, now, output), now, output);
}

void Node::on(const TargetReturned &, TimePoint, NodeOutput &) { }

void Node::on(const OrderReturned &, TimePoint, NodeOutput &) { }

void Node::on(const KeyValueReply &event, TimePoint now, NodeOutput &output)
{
    const auto found = m_keyValueCalls.find(event.id);
    if (found == m_keyValueCalls.end()) {
        return;
    }
    const SliceCall call = found->second;
    m_keyValueCalls.erase(found);
    const KeyValueReply reply{.id = call.id, .result = event.result};
    switch (call.slice) {
    case Slice::Catalogue:
        feedCatalogue(reply, now, output);
        break;
    case Slice::CatalogueEditor:
        feedEditor(reply, now, output);
        break;
    }
}

void Node::on(const HostListRead &event, TimePoint now, NodeOutput &output)
{
    if (m_fleet.hostListRead(event, now, output)) {
        membersChanged(now, output);
    }
    targetsDied(m_targets.hostListRead(event, now, output), now, output);
}

void Node::on(const PeerMessage &event, TimePoint now, NodeOutput &output)
{
    const std::optional<ChannelMessage> message = readEnvelope(event.message);
    if (!message) {
        return;
    }
    switch (message->channel) {
    case PeerChannel::Membership:
        if (m_fleet.membershipReceived(event.from, message->body, now, output)) {
            membersChanged(now, output);
        }
        break;
    case PeerChannel::Catalogue:
        if (auto read = decode<CatalogueMessage>(message->body); std::holds_alternative<CatalogueMessage>(read)) {
            feedCatalogue(
                CatalogueMessageReceived{.from = event.from, .message = std::get<CatalogueMessage>(std::move(read))},
                now,
                output);
        }
        break;
    case PeerChannel::Ledger:
    case PeerChannel::Limits:
    case PeerChannel::Quarantine:
        break;
    }
}

void Node::membersChanged(TimePoint now, NodeOutput &output)
{
    CataloguePeersChanged peers;
    for (const Member &member : m_fleet.members()) {
        if (member.host != m_options.host) {
            peers.peers.push_back({.host = member.host, .failureDomain = member.profile.failureDomain});
        }
    }
    feedCatalogue(peers, now, output);
}

void Node::on(const DrainRequested &, TimePoint now, NodeOutput &output)
{
    m_draining = true;
    m_fleet.leave(now, output);
    output.log("Node: drains.");
}

void Node::callKeyValue(Slice slice, KeyValueCall call, NodeOutput &output)
{
    m_lastKeyValueCall = m_lastKeyValueCall.next();
    m_keyValueCalls.emplace(m_lastKeyValueCall, SliceCall{.slice = slice, .id = call.id});
    call.id = m_lastKeyValueCall;
    output.add(std::move(call));
}

void Node::feedCatalogue(const CatalogueReplicaEvent &event, TimePoint now, NodeOutput &output)
{
    for (CatalogueReplicaAction &action : m_catalogue.handle(event, now)) {
        std::visit(Overloaded{[&](KeyValueCall &call) { callKeyValue(Slice::Catalogue, std::move(call), output); },
                              [&](SendCatalogueMessage &send) {
                                  m_fleet.send(send.to, PeerChannel::Catalogue, send.message, output);
                              },
                              [&](const CatalogueChanged &changed) {
                                  output.log(describe(changed));
                                  m_targets.declare(m_catalogue, now, output);
                              },
                              [&](const CatalogueVersionIgnored &ignored) { output.log(describe(ignored)); }},
                   action);
    }
}

void Node::feedEditor(const CatalogueEditorEvent &event, TimePoint now, NodeOutput &output)
{
    for (CatalogueEditorAction &action : m_editor.handle(event, m_catalogue, now)) {
        std::visit(
            Overloaded{[&](KeyValueCall &call) { callKeyValue(Slice::CatalogueEditor, std::move(call), output); },
                       [&](CatalogueVersionsAccepted &accepted) { feedCatalogue(std::move(accepted), now, output); },
                       [&](EditFinished &finished) { feedAdministration(std::move(finished), now, output); }},
            action);
    }
}

void Node::feedAdministration(const AdministrationEvent &event, TimePoint now, NodeOutput &output)
{
    for (AdministrationAction &action : m_administration.handle(event, m_catalogue, now)) {
        std::visit(Overloaded{[&](AdministrationReply &reply) {
                                  const auto request = m_operatorRequests.extract(reply.id);
                                  output.respond(request.mapped(), std::move(reply.response));
                              },
                              [&](const AdministrationQuery &query) { answerQuery(query, now, output); },
                              [&](EditAsked &asked) { feedEditor(std::move(asked), now, output); },
                              [&](InForceAsked asked) { feedCatalogue(asked, now, output); }},
                   action);
    }
}

void Node::answerQuery(const AdministrationQuery &query, TimePoint now, NodeOutput &output)
{
    AdministrationAnswer answer{.id = query.id, .result = AdministrationUnavailable{}};
    switch (query.kind) {
    case AdministrationQueryKind::Status:
        answer.result = statusReport(now);
        break;
    case AdministrationQueryKind::Decisions:
        if (const auto lines = m_decisions.linesOf(JobId(query.argument)); !lines.empty()) {
            answer.result = nlohmann::json{{"job", query.argument}, {"decisions", lines}};
        } else {
            answer.result = AdministrationSubjectUnknown{};
        }
        break;
    case AdministrationQueryKind::Drain:
        if (query.argument == m_options.host.value()) {
            on(DrainRequested{}, now, output);
            answer.result = nlohmann::json{{"host", query.argument}, {"draining", true}};
        } else {
            answer.result = AdministrationSubjectUnknown{};
        }
        break;
    case AdministrationQueryKind::Usage:
    case AdministrationQueryKind::Suspects:
    case AdministrationQueryKind::LiftSuspect:
        break;
    }
    feedAdministration(answer, now, output);
}

nlohmann::json Node::statusReport(TimePoint now) const
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const Member &member : m_fleet.members()) {
        hosts.push_back({{"host", member.host},
                         {"state", memberStateName(member.state)},
                         {"failureDomain", member.profile.failureDomain}});
    }
    nlohmann::json targets = nlohmann::json::array();
    for (const TargetId &target : m_targets.targets()) {
        nlohmann::json held = nlohmann::json::array();
        if (const EngineState *state = m_targets.state(target)) {
            held = state->held;
        }
        targets.push_back(
            {{"target", target}, {"availability", availabilityName(m_targets.availability(target))}, {"held", held}});
    }
    return {{"host", m_options.host},
            {"ready", ready(now)},
            {"draining", m_draining},
            {"requestsInProgress", requestsInProgress()},
            {"catalogueRevision", m_catalogue.revision()},
            {"hosts", hosts},
            {"targets", targets}};
}

void Node::targetsDied(const std::vector<TargetDied> &died, TimePoint now, NodeOutput &output)
{
    for (const TargetDied &target : died) {
        m_modelJobs.targetDied(target.target, now, m_targets, output);
    }
}

JobId Node::nextJobId()
{
    return JobId(m_options.host.value() + "-" + std::to_string(m_options.incarnation.value()) + "-"
                 + std::to_string(++m_lastJob));
}

} // namespace Carawaymill

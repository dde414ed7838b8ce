#include "node/CallCoordinator.h"

#include "node/CallReader.h"
#include "node/Fleet.h"
#include "node/Problem.h"
#include "support/Hash.h"

namespace Carawaymill {

/// Time within which hosts that are near each other in the network report the same crash.
static constexpr Duration crashReportWindow = 250ms;
/// A call to a plain service counts as one token towards the limits.
static constexpr TokenCount serviceCallTokens(1);
/// Expected run time of a call. A call with less time left before its deadline is not started.
static constexpr Duration expectedServiceTime = 1s;

Result<CallCoordinator, CallCoordinator::InvalidOptions> CallCoordinator::create(const NodeOptions &options,
                                                                                 TimePoint now)
{
    auto limits = SharedLimits::create({.self = options.host,
                                        .epoch = ProcessEpoch(options.incarnation.value()),
                                        .firstStartOfDeployment = options.firstStartOfDeployment},
                                       now);
    if (const auto *invalid = std::get_if<InvalidSharedLimitsOptions>(&limits)) {
        return InvalidOptions{.field = "limits." + invalid->option};
    }
    auto quarantine = Quarantine::create(
        {.self = options.host, .incarnation = options.incarnation, .crashReportWindow = crashReportWindow});
    if (!std::holds_alternative<Quarantine>(quarantine)) {
        return InvalidOptions{.field = "quarantine"};
    }
    return CallCoordinator(
        options, std::get<SharedLimits>(std::move(limits)), std::get<Quarantine>(std::move(quarantine)));
}

CallCoordinator::CallCoordinator(const NodeOptions &options, SharedLimits limits, Quarantine quarantine)
    : m_options(options)
    , m_limits(std::move(limits))
    , m_admission({.seed = stableHash("admission", options.seed)})
    , m_quarantine(std::move(quarantine))
{
    // The queue is still empty, so the event yields no actions.
    (void)m_admission.handle(CapacityChanged{.jobs = options.maximumConcurrentJobs}, m_limits, TimePoint());
}

void CallCoordinator::accept(const CallerRequest &request, LedgerCoordinator &ledger, NodeContext &context)
{
    auto accepted = readCall(request, m_options.completions, context.catalogue);
    if (const auto *problem = std::get_if<Problem>(&accepted)) {
        context.output.refuse(request.id, *problem);
        return;
    }
    auto &call = std::get<AcceptedCall>(accepted);
    if (!ledger.hasRoom()) {
        context.output.refuse(request.id,
                              {.type = ProblemType::LedgerUnavailable,
                               .ran = Ran::No,
                               .detail = "Too many bills wait to be recorded.",
                               .retryAfter = 5s});
        return;
    }
    call.job = nextJobId();
    call.call = CallId(m_lastJob);
    enqueue(std::move(call), ledger, context);
    finishEndedJobs(ledger, context);
}

void CallCoordinator::enqueue(AcceptedCall call, LedgerCoordinator &ledger, NodeContext &context)
{
    JobOffered offered{.job = call.job,
                       .organisation = call.organisation,
                       .entry = call.entry.id,
                       .jobClass = call.entry.jobClass,
                       .tokens = serviceCallTokens,
                       .deadline = context.now + m_options.jobTimeout,
                       .serviceTime = expectedServiceTime};
    if (const auto *completion = std::get_if<CompletionRequest>(&call.operation)) {
        // Estimates four bytes per prompt token and reserves the maximum for the answer. Tokens that the job does not
        // use are released when it ends.
        offered.tokens = TokenCount(completion->prompt.size() / 4 + 1) + completion->maximumTokens;
    }
    const JobId job = call.job;
    m_awaitingAdmission.emplace(job, std::move(call));
    dispatchAdmission(offered, ledger, context);
}

void CallCoordinator::dispatchAdmission(const AdmissionEvent &event, LedgerCoordinator &ledger, NodeContext &context)
{
    for (const AdmissionAction &action : m_admission.handle(event, m_limits, context.now)) {
        if (const auto *start = std::get_if<StartJob>(&action)) {
            if (auto offered = m_awaitingAdmission.extract(start->job); !offered.empty()) {
                checkQuarantine(std::move(offered.mapped()), ledger, context);
            }
            continue;
        }
        context.output.log(describe(action));
        refuse(std::get<RefuseJob>(action), context);
    }
}

void CallCoordinator::refuse(const RefuseJob &refusal, NodeContext &context)
{
    const auto offered = m_awaitingAdmission.extract(refusal.job);
    if (offered.empty()) {
        return;
    }
    const bool limited = refusal.reason == RefusalReason::LimitReached || refusal.reason == RefusalReason::NotAllowed;
    context.output.refuse(offered.mapped().request,
                          {.type = limited ? ProblemType::LimitReached : ProblemType::Overloaded,
                           .ran = Ran::No,
                           .detail = limited ? "A limit of the organisation or of the entry leaves no room."
                                             : "There is more work than this host can do in time.",
                           .retryAfter = refusal.retryAfter});
}

void CallCoordinator::finishAdmission(const JobId &job,
                                      TokenCount used,
                                      LedgerCoordinator &ledger,
                                      NodeContext &context)
{
    dispatchAdmission(JobEnded{.job = job, .used = used}, ledger, context);
}

static Problem quarantineProblem(const RejectRequest &refused)
{
    return {.type = refused.condemned ? ProblemType::Quarantined : ProblemType::Overloaded,
            .ran = refused.condemned ? Ran::Unknown : Ran::No,
            .detail = refused.condemned ? "Targets died under this request."
                                        : "A target died under this request; it waits for a run alone.",
            .retryAfter = refused.retryAfter};
}

/// Rejects the request, or continues it with or without isolation, as the quarantine decides from earlier crashes.
/// Calls to plain services are not subject to quarantine.
void CallCoordinator::checkQuarantine(AcceptedCall call, LedgerCoordinator &ledger, NodeContext &context)
{
    if (!call.model) {
        claim(std::move(call), false, ledger, context);
        return;
    }
    const QuarantineDecision decision = m_quarantine.decisionFor(call.fingerprint, context.now);
    if (const auto *refused = std::get_if<RejectRequest>(&decision)) {
        Problem problem = quarantineProblem(*refused);
        problem.ran = Ran::No;
        reject(call, problem, ledger, context);
        return;
    }
    claim(std::move(call), std::holds_alternative<RunIsolated>(decision), ledger, context);
}

/// Claims the idempotency key of the call, so that repeats with the same key do not run. A call without a key runs at
/// once.
void CallCoordinator::claim(AcceptedCall call, bool isolated, LedgerCoordinator &ledger, NodeContext &context)
{
    if (!call.key) {
        run(std::move(call), isolated, context);
        return;
    }
    bool targetsHonourKey = false;
    if (const auto *service = std::get_if<ServiceEntry>(&call.entry.backEnd)) {
        targetsHonourKey = std::ranges::all_of(service->targets, [&](const TargetId &id) {
            const TargetRecord *target = context.catalogue.target(id);
            return target != nullptr && target->honoursIdempotencyKey;
        });
    }
    const ClaimWanted claimRequest{.call = call.call,
                                   .organisation = call.organisation,
                                   .key = *call.key,
                                   .request = requestHash(call.http.method, call.http.target, call.http.body),
                                   .targetsHonourKey = targetsHonourKey};
    const CallId id = call.call;
    m_awaitingClaim.emplace(id, CallAwaitingClaim{.call = std::move(call), .isolated = isolated});
    ledger.requestClaim(claimRequest, context);
    handleClaimDecisions(ledger, context);
}

void CallCoordinator::handleClaimDecisions(LedgerCoordinator &ledger, NodeContext &context)
{
    for (const CallDecided &decision : ledger.takeDecisions()) {
        claimDecided(decision, ledger, context);
    }
}

/// The response to a call whose key an earlier call has claimed.
static HttpResponse repeatedResponse(const AlreadyClaimed &claimed)
{
    return std::visit(
        Overloaded{[](const ClaimInProgress &) {
                       return problemResponse({.type = ProblemType::KeyInProgress,
                                               .ran = Ran::Unknown,
                                               .detail = "The call with this key is in progress.",
                                               .retryAfter = 1s});
                   },
                   [](const ClaimAnswered &answered) {
                       if (!answered.body) {
                           return problemResponse({.type = ProblemType::AlreadyRan,
                                                   .ran = Ran::Yes,
                                                   .detail = "The call ran; its answer was not kept."});
                       }
                       return HttpResponse{
                           .status = answered.status,
                           .headers = {{"Content-Type", "application/json"}, {"Idempotent-Replayed", "true"}},
                           .body = *answered.body};
                   },
                   [](const ClaimOutcomeUnknown &) {
                       return problemResponse({.type = ProblemType::OutcomeUnknown,
                                               .ran = Ran::Unknown,
                                               .detail = "The call may have run; it will not be run again."});
                   }},
        claimed.state);
}

void CallCoordinator::claimDecided(const CallDecided &decision, LedgerCoordinator &ledger, NodeContext &context)
{
    auto pending = m_awaitingClaim.extract(decision.call);
    if (pending.empty()) {
        // The caller disconnected while the claim was pending, so the call was not run and the claim is released.
        if (std::holds_alternative<ClaimGranted>(decision.verdict)) {
            ledger.callEnded(decision.call, ClaimReleased{}, context);
        }
        return;
    }
    AcceptedCall &call = pending.mapped().call;
    std::visit(Overloaded{[&](const ClaimGranted &) { run(std::move(call), pending.mapped().isolated, context); },
                          [&](const ClaimWaived &) { run(std::move(call), pending.mapped().isolated, context); },
                          [&](const AlreadyClaimed &claimed) {
                              finishAdmission(call.job, TokenCount(0), ledger, context);
                              context.output.respond(call.request, repeatedResponse(claimed));
                          },
                          [&](const KeyMismatch &) {
                              reject(call,
                                     {.type = ProblemType::KeyReusedWithOtherBody,
                                      .ran = Ran::No,
                                      .detail = "The key was used for another request.",
                                      .field = "Idempotency-Key"},
                                     ledger,
                                     context);
                          },
                          [&](const ClaimUnavailable &unavailable) {
                              reject(call,
                                     {.type = ProblemType::LedgerUnavailable,
                                      .ran = Ran::No,
                                      .detail = "The key could not be claimed.",
                                      .retryAfter = unavailable.retryAfter},
                                     ledger,
                                     context);
                          }},
               decision.verdict);
}

void CallCoordinator::reject(const AcceptedCall &call,
                             const Problem &problem,
                             LedgerCoordinator &ledger,
                             NodeContext &context)
{
    finishAdmission(call.job, TokenCount(0), ledger, context);
    context.output.logDecision(call.job,
                               "Node: job " + call.job.value() + " of " + call.organisation.value()
                                   + " is turned away: " + problemName(problem.type) + ".");
    context.output.refuse(call.request, problem);
}

void CallCoordinator::run(AcceptedCall call, bool isolated, NodeContext &context)
{
    if (!call.model) {
        // At most one retry per call, so that retries do not overload a failing service.
        m_serviceJobs.start(
            std::move(call), [budget = 1]() mutable { return budget-- > 0; }, context);
        return;
    }
    const auto &entry = std::get<ModelEntry>(call.entry.backEnd);
    const auto &completion = std::get<CompletionRequest>(call.operation);
    PipelineJobOptions pipeline{.job = call.job,
                                .model = entry.model,
                                .version = entry.version,
                                .adapter = entry.adapter,
                                .layers = call.model->layers,
                                .jobClass = call.entry.jobClass,
                                .prompt = completion.prompt,
                                .maximumTokens = completion.maximumTokens,
                                .deadline = context.now + m_options.jobTimeout};
    m_modelJobs.start({.call = std::move(call), .pipeline = std::move(pipeline), .isolated = isolated}, context);
}

void CallCoordinator::stepReturned(const StepReturned &event, LedgerCoordinator &ledger, NodeContext &context)
{
    m_modelJobs.stepReturned(event, context);
    finishEndedJobs(ledger, context);
}

void CallCoordinator::streamStatusReturned(const StreamStatusReturned &event,
                                           LedgerCoordinator &ledger,
                                           NodeContext &context)
{
    m_modelJobs.streamStatusReturned(event, context);
    finishEndedJobs(ledger, context);
}

void CallCoordinator::targetReturned(const TargetCallReturned &event, LedgerCoordinator &ledger, NodeContext &context)
{
    m_serviceJobs.callReturned(event, context);
    finishEndedJobs(ledger, context);
}

void CallCoordinator::targetFailed(const TargetFailure &died, LedgerCoordinator &ledger, NodeContext &context)
{
    if (died.processTerminated) {
        if (const std::vector<Fingerprint> running = m_modelJobs.runningOn(died.target); !running.empty()) {
            dispatchQuarantine(TargetCrashed{.target = died.target, .inFlight = running}, context);
        }
    }
    m_modelJobs.targetDiagnosed(died.target);
    m_modelJobs.targetFailed(died.target, context);
    finishEndedJobs(ledger, context);
}

void CallCoordinator::targetDiagnosed(const TargetId &target, LedgerCoordinator &ledger, NodeContext &context)
{
    m_modelJobs.targetDiagnosed(target);
    finishEndedJobs(ledger, context);
}

void CallCoordinator::callerDisconnected(RequestId request, LedgerCoordinator &ledger, NodeContext &context)
{
    m_modelJobs.callerDisconnected(request, context);
    m_serviceJobs.callerDisconnected(request, context);
    const auto claiming =
        std::ranges::find_if(m_awaitingClaim, [&](const auto &entry) { return entry.second.call.request == request; });
    if (claiming != m_awaitingClaim.end()) {
        const JobId job = claiming->second.call.job;
        m_awaitingClaim.erase(claiming);
        finishAdmission(job, TokenCount(0), ledger, context);
    }
    finishEndedJobs(ledger, context);
}

void CallCoordinator::tick(LedgerCoordinator &ledger, NodeContext &context)
{
    dispatchLimits(Tick{}, context);
    dispatchAdmission(Tick{}, ledger, context);
    dispatchQuarantine(Tick{}, context);
    reserveTargets(context);
    m_modelJobs.tick(context);
    m_serviceJobs.tick(context);
    finishEndedJobs(ledger, context);
}

void CallCoordinator::sendBilledResponses(const LedgerCoordinator &ledger, NodeContext &context)
{
    m_heldResponses.release(ledger.billsSafeThrough(), context);
}

/// Evaluates the jobs that are held since they lost a stage, once the cause of the loss is diagnosed, and starts
/// granted isolated runs.
void CallCoordinator::evaluateHeldJobs(NodeContext &context)
{
    if (!m_modelJobs.anyHeld()) {
        return;
    }
    for (const HeldJob &held : m_modelJobs.held()) {
        if (held.isolatedRunGranted) {
            startIsolatedRunWhenIdle(held, context);
        } else if (held.lossDiagnosed && !held.isolatedRunTarget) {
            evaluate(held, context);
        }
    }
}

void CallCoordinator::evaluate(const HeldJob &held, NodeContext &context)
{
    const QuarantineDecision decision = m_quarantine.decisionFor(held.fingerprint, context.now);
    if (std::holds_alternative<RunUnrestricted>(decision)) {
        m_modelJobs.release(held.job, context);
    } else if (std::holds_alternative<RunIsolated>(decision)) {
        if (const auto target = m_modelJobs.prepareIsolatedRun(held.job, context)) {
            dispatchQuarantine(IsolatedRunRequested{.fingerprint = held.fingerprint, .target = *target}, context);
        }
    } else if (const auto &refused = std::get<RejectRequest>(decision); refused.condemned) {
        // A job that is rejected without being condemned stays held until an isolated run is possible.
        m_modelJobs.refuse(held.job, quarantineProblem(refused), context);
    }
}

void CallCoordinator::startIsolatedRunWhenIdle(const HeldJob &held, NodeContext &context)
{
    if (!m_quarantine.targetReserved(*held.isolatedRunTarget, context.now)) {
        m_modelJobs.recordIsolatedRunRefused(held.job);
        return;
    }
    const bool idle =
        m_modelJobs.runningOn(*held.isolatedRunTarget).empty() && context.targets.idle(*held.isolatedRunTarget);
    if (idle) {
        m_modelJobs.release(held.job, context);
    }
}

void CallCoordinator::reserveTargets(NodeContext &context)
{
    const bool anySuspect = m_quarantine.hasEntries();
    if (!anySuspect && !m_targetsReserved) {
        return;
    }
    m_targetsReserved = anySuspect;
    for (const TargetId &target : context.targets.targets()) {
        context.targets.setReserved(target, m_quarantine.targetReserved(target, context.now));
    }
}

void CallCoordinator::isolatedRunDecided(const IsolatedRunDecided &decision)
{
    const bool granted = std::holds_alternative<IsolatedRunGranted>(decision.result);
    for (const HeldJob &held : m_modelJobs.held()) {
        if (held.fingerprint != decision.fingerprint || !held.isolatedRunTarget || held.isolatedRunGranted) {
            continue;
        }
        if (granted) {
            m_modelJobs.recordIsolatedRunGranted(held.job);
            return;
        }
        m_modelJobs.recordIsolatedRunRefused(held.job);
    }
}

void CallCoordinator::dispatchQuarantine(const QuarantineEvent &event, NodeContext &context)
{
    for (QuarantineAction &action : m_quarantine.handle(event, context.now)) {
        std::visit(
            Overloaded{[&](const IsolatedRunDecided &decision) { isolatedRunDecided(decision); },
                       [&](const BroadcastQuarantineMessage &broadcast) {
                           for (const HostId &host : context.fleet.membership().aliveHosts()) {
                               context.fleet.send(host, PeerChannel::Quarantine, broadcast.message, context.output);
                           }
                       },
                       [&](KeyValueCall &call) {
                           context.keyValue.issue(KeyValueCaller::Quarantine, 0, std::move(call), context.output);
                       },
                       [&](const QuarantineStateChanged &decision) { context.output.log(describe(decision)); }},
            action);
    }
}

void CallCoordinator::dispatchLimits(const SharedLimitsEvent &event, NodeContext &context)
{
    for (const SharedLimitsAction &action : m_limits.handle(event, context.now)) {
        const auto &send = std::get<SendShareMessage>(action);
        context.fleet.send(send.to, PeerChannel::Limits, send.message, context.output);
    }
}

void CallCoordinator::limitsReceived(const HostId &from, const nlohmann::json &body, NodeContext &context)
{
    auto message = decode<ShareMessage>(body);
    if (auto *read = std::get_if<ShareMessage>(&message)) {
        dispatchLimits(ShareMessageReceived{.from = from, .message = std::move(*read)}, context);
    }
}

void CallCoordinator::quarantineReceived(const nlohmann::json &body, LedgerCoordinator &ledger, NodeContext &context)
{
    auto message = decode<QuarantineMessage>(body);
    if (auto *read = std::get_if<QuarantineMessage>(&message)) {
        dispatchQuarantine(QuarantineMessageReceived{std::move(*read)}, context);
        finishEndedJobs(ledger, context);
    }
}

void CallCoordinator::quarantineReply(const KeyValueReply &reply, LedgerCoordinator &ledger, NodeContext &context)
{
    dispatchQuarantine(reply, context);
    finishEndedJobs(ledger, context);
}

void CallCoordinator::catalogueChanged(NodeContext &context)
{
    LimitsRead read;
    for (const OrganisationRecord *organisation : context.catalogue.organisations()) {
        read.limits.push_back({.name = limitName(organisation->id), .limits = organisation->limits});
    }
    for (const EntryRecord *entry : context.catalogue.entries()) {
        read.limits.push_back({.name = limitName(entry->id), .limits = entry->limits});
    }
    dispatchLimits(read, context);
}

void CallCoordinator::membersChanged(NodeContext &context)
{
    dispatchLimits(FleetChanged{.knownHosts = context.fleet.members().size(),
                                .aliveHosts = context.fleet.membership().aliveHosts()},
                   context);
}

std::size_t CallCoordinator::inProgress() const
{
    return m_modelJobs.inProgress() + m_serviceJobs.inProgress() + m_awaitingClaim.size() + m_awaitingAdmission.size()
           + m_heldResponses.waiting();
}

nlohmann::json CallCoordinator::suspects() const
{
    nlohmann::json suspects = nlohmann::json::array();
    for (const auto &[fingerprint, record] : m_quarantine.restrictedRequests()) {
        nlohmann::json suspect = record;
        suspect["id"] = fingerprint;
        suspects.push_back(std::move(suspect));
    }
    return {{"suspects", suspects}};
}

bool CallCoordinator::liftSuspect(const std::string &fingerprint, LedgerCoordinator &ledger, NodeContext &context)
{
    const auto listed = m_quarantine.restrictedRequests();
    const bool known =
        std::ranges::any_of(listed, [&](const auto &entry) { return entry.first.value() == fingerprint; });
    if (known) {
        dispatchQuarantine(LiftRequested{Fingerprint(fingerprint)}, context);
        finishEndedJobs(ledger, context);
    }
    return known;
}

void CallCoordinator::finishEndedJobs(LedgerCoordinator &ledger, NodeContext &context)
{
    evaluateHeldJobs(context);
    // Finishing a job may start a queued call, and that call may end at once; so repeat until no ended jobs are left.
    for (auto ended = m_modelJobs.takeEnded(); !ended.empty(); ended = m_modelJobs.takeEnded()) {
        for (ModelJobEnded &job : ended) {
            finish(job, ledger, context);
        }
    }
    for (auto ended = m_serviceJobs.takeEnded(); !ended.empty(); ended = m_serviceJobs.takeEnded()) {
        for (const ServiceJobEnded &job : ended) {
            finish(job, ledger, context);
        }
    }
    for (const LateServiceResponse &late : m_serviceJobs.takeLateResponses()) {
        ledger.callEnded(late.call, recordableAnswer(late.response.status, late.response.body), context);
    }
}

/// The billing period of a job: the month in which its request was received, as YYYY-MM in UTC.
static BillingPeriod periodOf(WallClockSeconds receivedAt)
{
    const std::chrono::sys_seconds time{std::chrono::seconds(receivedAt.value())};
    const std::chrono::year_month_day day(std::chrono::floor<std::chrono::days>(time));
    const auto month = static_cast<unsigned>(day.month());
    return BillingPeriod(std::to_string(static_cast<int>(day.year())) + (month < 10 ? "-0" : "-")
                         + std::to_string(month));
}

/// One token costs one millionth of the unit of account.
static constexpr MicroPrice pricePerToken(1);

void CallCoordinator::finish(ModelJobEnded &ended, LedgerCoordinator &ledger, NodeContext &context)
{
    const AcceptedCall &call = ended.start.call;
    TokenCount used(0);
    if (ended.completed) {
        used = ended.completed->promptTokens + ended.completed->generatedTokens;
        const BillSequence bill = ledger.bill({.job = call.job,
                                               .organisation = call.organisation,
                                               .period = periodOf(call.receivedAt),
                                               .tokens = used,
                                               .price = MicroPrice(used.value() * pricePerToken.value())},
                                              context);
        m_heldResponses.hold(bill, call.job, std::move(ended.answer), context.now);
        context.output.logDecision(
            call.job, "Node: job " + call.job.value() + " is billed " + std::to_string(used.value()) + " tokens.");
        dispatchQuarantine(RequestCompleted{.fingerprint = call.fingerprint,
                                            .target = ended.targets.empty() ? TargetId() : ended.targets.back()},
                           context);
    } else if (ended.start.isolated) {
        dispatchQuarantine(IsolatedRunEnded{call.fingerprint}, context);
    }
    finishAdmission(call.job, used, ledger, context);
    if (!call.key) {
        return;
    }
    if (ended.completed && ended.response) {
        ledger.callEnded(call.call, recordableAnswer(ended.response->status, ended.response->body), context);
    } else if (ended.completed) {
        ledger.callEnded(call.call, ClaimAnswered{.status = 200, .body = std::nullopt}, context);
    } else if (ended.failed && !ended.failed->ran) {
        ledger.callEnded(call.call, ClaimReleased{}, context);
    } else {
        ledger.callEnded(call.call, ClaimOutcomeUnknown{}, context);
    }
}

void CallCoordinator::finish(const ServiceJobEnded &ended, LedgerCoordinator &ledger, NodeContext &context)
{
    finishAdmission(ended.call.job, serviceCallTokens, ledger, context);
    if (!ended.call.key) {
        return;
    }
    ClaimOutcome outcome =
        std::visit(Overloaded{[](const Answered &answered) -> ClaimOutcome {
                                  return recordableAnswer(answered.response.status, answered.response.body);
                              },
                              [](const NotRun &) -> ClaimOutcome { return ClaimReleased{}; },
                              [](const Unknown &) -> ClaimOutcome { return ClaimOutcomeUnknown{}; }},
                   ended.outcome);
    ledger.callEnded(ended.call.call, std::move(outcome), context);
}

JobId CallCoordinator::nextJobId()
{
    return JobId(m_options.host.value() + "-" + std::to_string(m_options.incarnation.value()) + "-"
                 + std::to_string(++m_lastJob));
}

} // namespace Carawaymill

#include "forwarding/Forwarder.h"

#include "forwarding/CallAdmission.h"
#include "forwarding/RetryAfter.h"
#include "forwarding/TargetStatements.h"
#include "support/Hash.h"
#include "support/Seconds.h"

#include <algorithm>

namespace Carawaymill {

/// Lowest status codes of a client error and of a failure of the target.
static constexpr unsigned firstErrorStatus = 400;
static constexpr unsigned firstFailureStatus = 500;
static constexpr unsigned statusOk = 200;
/// A stream with an event this recent is not moved, although one of its targets is unresponsive.
static constexpr Duration recentProgress = 150ms;
/// Our deadline is this much before the caller's, so that the caller receives our response before it gives up.
static constexpr Duration responseMargin = 20ms;

Forwarder::Forwarder(ForwarderOptions options)
    : m_options(std::move(options))
    , m_random(stableHash("forwarder", m_options.targets.seed))
    , m_targets(m_options.targets)
    , m_retries(m_options.retries)
    , m_loans({.seed = stableHash("loans", m_options.targets.seed)})
    , m_attribution(m_options.attribution)
    , m_limits(m_options.limits)
    , m_links({.reach = m_options.reach,
               .relays = {.ownFailureDomain = m_options.targets.ownFailureDomain},
               .seed = stableHash("links", m_options.targets.seed),
               .probeTimeout = m_options.progressQueryTimeout,
               .suspicionPeriod = m_options.suspicionPeriod})
    , m_liveness(m_options.liveness)
    , m_observations({.seed = stableHash("observations", m_options.targets.seed)})
    , m_pace(m_options.pace)
    , m_prompts(m_options.prompts)
    , m_buffers(m_options.buffers)
    , m_queue(m_options.queue)
{
}

std::vector<ForwarderAction>
Forwarder::handle(const ForwarderEvent &event, bool fresh, ChainRouter &router, TimePoint now)
{
    m_startedAt = m_startedAt.value_or(now);
    m_now = now;
    HandlerContext context{.router = router, .now = now, .fresh = fresh, .actions = {}};
    std::visit([&](const auto &concrete) { on(concrete, context); }, event);
    append(m_links.takeLog(), context.actions);
    append(m_observations.takeLog(), context.actions);
    append(m_observations.takeMessages(), context.actions);
    append(m_queue.takeLog(), context.actions);
    append(m_pace.takeLog(), context.actions);
    append(m_pace.takeMessages(), context.actions);
    append(m_prompts.takeLog(), context.actions);
    return std::move(context.actions);
}

void Forwarder::configurationChanged(const SharedConfiguration &configuration, ChainRouter &router)
{
    m_table = std::make_shared<const RouteTable>(configuration);
    m_targets.configurationChanged(configuration, router);
}

void Forwarder::targetListed(const DirectoryTarget &target, ChainRouter &router)
{
    m_targets.listed(target, router);
    m_limits.listed(target.id, target.incarnation);
    m_liveness.listed(target.id);
    m_observations.listed(target.id, target.incarnation);
    m_pace.listed(target);
}

void Forwarder::targetUnlisted(const TargetId &target, ChainRouter &router)
{
    m_targets.unlisted(target, router);
    m_liveness.unlisted(target);
    m_observations.unlisted(target);
    m_pace.unlisted(target);
}

ForwardCall *Forwarder::currentAttempt(RequestId id, AttemptNumber attempt)
{
    const auto found = m_calls.find(id);
    const bool isPresent = found != m_calls.end() && found->second.attempt == attempt && found->second.chosen;
    return isPresent ? &found->second : nullptr;
}

ForwardCall *Forwarder::stalledAttempt(RequestId id, AttemptNumber attempt)
{
    const auto found = m_calls.find(id);
    const bool isPresent = found != m_calls.end() && found->second.stalled && found->second.stalled->attempt == attempt;
    return isPresent ? &found->second : nullptr;
}

std::optional<ForwardFailure> Forwarder::admit(ForwardCall &call, const HandlerContext &context) const
{
    if (m_rejectFrom && context.now >= *m_rejectFrom) {
        return ForwardFailure::Draining;
    }
    return m_table ? admitCall(*m_table, context.fresh, call) : ForwardFailure::NoConfiguration;
}

void Forwarder::on(const ForwardRequested &event, HandlerContext &context)
{
    if (isStarting(context.now)) {
        m_earlyRequests.push_back({.event = event, .receivedAt = context.now});
    } else {
        accept(event.request, event.id, context.now, context);
    }
}

bool Forwarder::isStarting(TimePoint now) const
{
    const bool draining = m_rejectFrom && now >= *m_rejectFrom;
    const bool knowsAll = m_table && m_directoryLoaded;
    return !knowsAll && !draining && now - *m_startedAt < m_options.startGracePeriod;
}

void Forwarder::acceptEarlyRequests(HandlerContext &context)
{
    if (isStarting(context.now)) {
        return;
    }
    for (const EarlyRequest &early : std::exchange(m_earlyRequests, {})) {
        accept(early.event.request, early.event.id, early.receivedAt, context);
    }
}

void Forwarder::accept(const ForwardRequest &request, RequestId id, TimePoint receivedAt, HandlerContext &context)
{
    ForwardCall &call = m_calls.try_emplace(id).first->second;
    call.receive(id, request, m_table, receivedAt);
    if (const auto failure = admit(call, context)) {
        refuse(call, *failure, context);
        return;
    }
    call.admitted(responseMargin);
    m_retries.recordRequest(call.service, context.now);
    dispatch(call, ForwardFailure::NoTarget, context);
}

std::optional<ChosenTargets>
Forwarder::choose(ForwardCall &call, const std::set<TargetId> &excluded, HandlerContext &context)
{
    const auto chooseWithout = [&](const ExcludedTargets &without) {
        return m_targets.choose(call.service, *call.request, without, context.router, context.now);
    };
    const auto takeRoom = [&, isNew = !call.wasLimited](const ChosenTargets &chosen) {
        return m_limits.tryTake(chosen.target, isNew, context.now);
    };
    auto chosen = chooseWithout({.everywhere = excluded, .asFirst = {}});
    if (!chosen || call.mustWaitFor(*chosen) || call.awaitsPrompts(*chosen, m_prompts, context.now)
        || takeRoom(*chosen)) {
        return chosen;
    }
    call.wasLimited = true;
    auto other = chooseWithout({.everywhere = excluded, .asFirst = m_limits.withoutRoom(context.now)});
    if (other && !call.mustWaitFor(*other) && !call.awaitsPrompts(*other, m_prompts, context.now) && takeRoom(*other)) {
        return other;
    }
    chosen->limited = true;
    return chosen;
}

void Forwarder::dispatch(ForwardCall &call, ForwardFailure fallbackReason, HandlerContext &context)
{
    if (refuseCondemned(call, context)) {
        return;
    }
    if (!m_links.hasWay(context.now)) {
        refuse(call, ForwardFailure::NoTarget, context);
        return;
    }
    auto chosen = choose(call, call.tried, context);
    if (!chosen) {
        refuse(call, fallbackReason, context);
        return;
    }
    if (call.mustWaitFor(*chosen)) {
        enqueue(call, context);
        return;
    }
    if (call.awaitsPrompts(*chosen, m_prompts, context.now)) {
        m_prompts.add(call.id, context.now);
        return;
    }
    sendToTarget(call, std::move(*chosen), context);
}

void Forwarder::enqueue(ForwardCall &call, HandlerContext &context)
{
    m_prompts.remove(call.id);
    if (const auto refused = m_queue.add(call.queued(context.now), context.now)) {
        refuseQueued(*refused, context);
    }
}

void Forwarder::refuseQueued(const RefusedRequest &refused, HandlerContext &context)
{
    ForwardCall &call = m_calls.at(refused.id);
    context.actions.emplace_back(ForwardLogLine{describe(refused, call.request->attempt)});
    refuse(call, ForwardFailure::Overloaded, context);
}

void Forwarder::serveQueue(HandlerContext &context)
{
    for (const RefusedRequest &refused : m_queue.takeRefused(context.now)) {
        refuseQueued(refused, context);
    }
    if (m_links.awaitsProbes(context.now)) {
        return;
    }
    std::set<ServiceId> withoutCapacity;
    for (const RequestId id : m_queue.order(context.now)) {
        ForwardCall &call = m_calls.at(id);
        if (withoutCapacity.contains(call.service) || refuseCondemned(call, context)) {
            continue;
        }
        auto chosen = choose(call, call.tried, context);
        if (!chosen) {
            refuse(call, ForwardFailure::NoTarget, context);
        } else if (call.mustWaitFor(*chosen)) {
            // The service's calls behind it rarely need less capacity, and each choice of targets is expensive.
            withoutCapacity.insert(call.service);
        } else if (!call.awaitsPrompts(*chosen, m_prompts, context.now)) {
            sendToTarget(call, std::move(*chosen), context);
        }
    }
}

void Forwarder::sendToTarget(ForwardCall &call, ChosenTargets chosen, HandlerContext &context)
{
    call.beginAttempt(chosen, context.now);
    m_buffers.hold(call.id, call.heldBytes());
    call.via = m_links.chooseRelay(context.now);
    m_targets.recordStart(chosen, context.router);
    m_prompts.sent(call.id, call.request->attempt, chosen.unreadPrompt.value(), context.now);
    m_queue.started(call.queued(context.now), context.now);
    context.actions.emplace_back(call.dispatchTo(chosen, context.now));
    call.chosen = std::move(chosen);
}

void Forwarder::dispatchAgain(ForwardCall &call, ForwardFailure fallbackReason, HandlerContext &context)
{
    if (refuseCondemned(call, context)) {
        return;
    }
    if (call.dispatches >= m_options.maximumDispatches || context.now >= call.deadline) {
        refuse(call, fallbackReason, context);
        return;
    }
    if (!takeRetry(call.service, context)) {
        if (!m_loans.enqueue(
                {.id = call.id, .service = call.service, .fallbackReason = fallbackReason, .since = context.now})) {
            refuse(call, ForwardFailure::RetryBudgetSpent, context);
        }
        return;
    }
    context.actions.emplace_back(ForwardLogLine{
        "Forward: event=again request=" + call.request->attempt + " after=" + forwardFailureName(fallbackReason)
        + " dispatches=" + std::to_string(call.dispatches) + " runs=" + std::to_string(call.runs)});
    dispatch(call, fallbackReason, context);
}

bool Forwarder::takeRetry(const ServiceId &service, HandlerContext &context)
{
    const bool granted = m_retries.tryRetry(service, context.now);
    append(m_loans.replenish(service, m_retries, context.now), context.actions);
    return granted;
}

void Forwarder::serveLoans(HandlerContext &context)
{
    for (const CallAwaitingLoan &funded : m_loans.takeFunded(m_retries, context.now)) {
        dispatchAgain(m_calls.at(funded.id), funded.fallbackReason, context);
    }
    for (const CallAwaitingLoan &overdue : m_loans.takeOverdue(context.now)) {
        refuse(m_calls.at(overdue.id), ForwardFailure::RetryBudgetSpent, context);
    }
    append(m_loans.replenishWaiting(m_retries, context.now), context.actions);
}

void Forwarder::on(const RetryLoanMessageReceived &event, HandlerContext &context)
{
    append(m_loans.handle(event, m_retries, context.now), context.actions);
    serveLoans(context);
}

void Forwarder::dispatchUnsent(ForwardCall &call, HandlerContext &context)
{
    call.waitsSince = context.now;
    if (call.dispatches >= m_options.maximumDispatches || context.now >= call.deadline) {
        refuse(call, ForwardFailure::NoTarget, context);
        return;
    }
    if (m_links.awaitsProbes(context.now)) {
        enqueue(call, context);
        return;
    }
    context.actions.emplace_back(ForwardLogLine{"Forward: event=again request=" + call.request->attempt
                                                + " after=not-sent dispatches=" + std::to_string(call.dispatches)
                                                + " runs=" + std::to_string(call.runs)});
    dispatch(call, ForwardFailure::NoTarget, context);
}

void Forwarder::endAttempt(ForwardCall &call, bool abandon, HandlerContext &context)
{
    if (!call.chosen) {
        return;
    }
    m_targets.recordEnd(*call.chosen, context.router);
    call.chosen.reset();
    if (abandon) {
        context.actions.emplace_back(AbandonAttempt{.id = call.id, .attempt = call.attempt});
    }
}

void Forwarder::endStalled(ForwardCall &call, bool abandon, HandlerContext &context)
{
    if (!call.stalled) {
        return;
    }
    m_targets.recordEnd(call.stalled->chosen, context.router);
    if (abandon) {
        context.actions.emplace_back(AbandonAttempt{.id = call.id, .attempt = call.stalled->attempt});
    }
    call.stalled.reset();
}

bool Forwarder::returnToStalled(ForwardCall &call, HandlerContext &context)
{
    if (!call.stalled) {
        return false;
    }
    endAttempt(call, true, context);
    context.actions.emplace_back(ForwardLogLine{"Forward: event=returned request=" + call.request->attempt
                                                + " target=" + call.stalled->chosen.target.value()});
    ++m_moves.returned;
    call.returnToStalled(context.now);
    return true;
}

void Forwarder::stalledStarted(const TargetResponseStarted &event, HandlerContext &context)
{
    ForwardCall *call = stalledAttempt(event.id, event.attempt);
    if (call == nullptr) {
        return;
    }
    recordStatements(call->stalled->chosen.target, event, context);
    if (!call->beginsStream(event)) {
        if (event.notRun) {
            call->discountRun(call->stalled->chosen.target);
            recordRejection(*call, call->stalled->chosen.target, event, context);
        }
        endStalled(*call, true, context);
        return;
    }
    if (call->streaming) {
        // The caller has the head of a response: the first event decides which attempt goes on.
        call->stalled->head = event;
        return;
    }
    recordEvents(call->stalled->chosen, context);
    returnToStalled(*call, context);
    on(event, context);
}

void Forwarder::stalledData(const TargetResponseData &event, HandlerContext &context)
{
    ForwardCall *call = stalledAttempt(event.id, event.attempt);
    if (call == nullptr || !call->stalled->head) {
        return;
    }
    std::string events = call->stalled->relay.append(event.bytes);
    if (call->stalled->relay.isOverlong()) {
        endStalled(*call, true, context);
        return;
    }
    if (events.empty()) {
        return;
    }
    recordEvents(call->stalled->chosen, context);
    returnToStalled(*call, context);
    writeEvents(*call, std::move(events), context);
}

void Forwarder::stalledCompleted(const TargetResponseCompleted &event, HandlerContext &context)
{
    ForwardCall *call = stalledAttempt(event.id, event.attempt);
    if (call == nullptr) {
        return;
    }
    if (!call->stalled->head || call->stalled->relay.hasPartialEvent()) {
        endStalled(*call, false, context);
        return;
    }
    recordEvents(call->stalled->chosen, context);
    returnToStalled(*call, context);
    on(event, context);
}

void Forwarder::stalledFailed(const TargetResponseFailed &event, HandlerContext &context)
{
    ForwardCall *call = stalledAttempt(event.id, event.attempt);
    if (call == nullptr) {
        return;
    }
    const TargetId target = call->stalled->chosen.target;
    const std::optional<RelayHost> via = call->stalled->via;
    if (event.sent) {
        const StalledAttempt &stalled = *call->stalled;
        recordLoss(*call,
                   stalled.attempt,
                   stalled.chosen,
                   stalled.via,
                   call->suspectTraits(
                       stalled.head.has_value(), stalled.answeredSince, m_options.justBegunPeriod, context.now),
                   context);
    }
    endStalled(*call, false, context);
    if (event.sent) {
        m_targets.recordFailure(target, context.now);
        requestSigns({target}, context);
    } else if (event.relayFailure == RelayFailure::HostUnavailable && via) {
        call->discountRun(target);
        m_links.recordRelayUnavailable(*via, context.now);
    } else {
        recordUnreachable(*call, target, via, context);
    }
}

void Forwarder::on(const ForwardCallerDisconnected &event, HandlerContext &context)
{
    std::erase_if(m_earlyRequests, [&](const EarlyRequest &early) { return early.event.id == event.id; });
    if (const auto found = m_calls.find(event.id); found != m_calls.end()) {
        endAttempt(found->second, true, context);
        finish(found->second, "caller-left", context);
    }
}

void Forwarder::on(const DrainTimeoutReached &, HandlerContext &context)
{
    acceptEarlyRequests(context);
    while (!m_calls.empty()) {
        ForwardCall &call = m_calls.begin()->second;
        endAttempt(call, true, context);
        refuse(call, ForwardFailure::Draining, context);
    }
}

void Forwarder::on(const TargetResponseStarted &event, HandlerContext &context)
{
    ForwardCall *call = currentAttempt(event.id, event.attempt);
    if (call == nullptr) {
        stalledStarted(event, context);
        return;
    }
    recordStatements(call->chosen->target, event, context);
    if (event.head.onNewConnection && !call->via) {
        m_links.recordReached(call->sentAt);
    }
    call->head = event;
    if (call->beginsStream(event) && !call->streaming) {
        endStalled(*call, true, context);
        call->streaming = true;
        context.actions.emplace_back(BeginStream{
            .id = call->id, .head = {.status = event.head.status, .headers = event.head.headers, .body = {}}});
    }
}

void Forwarder::recordStatements(const TargetId &target, const TargetResponseStarted &head, HandlerContext &context)
{
    if (!head.misdirected) {
        m_liveness.recordSign(target, context.now);
        m_observations.recordSign(target, m_targets, context.router);
    }
    append(applyStatements(target, head, m_targets, m_limits, context.router, context.now), context.actions);
}

void Forwarder::on(const TargetResponseData &event, HandlerContext &context)
{
    relayData(event, context);
    if (const auto found = m_calls.find(event.id); found != m_calls.end()) {
        m_buffers.hold(event.id, found->second.heldBytes());
    }
    while (const auto largest = m_buffers.excess()) {
        dropResponse(m_calls.at(*largest), context);
    }
}

void Forwarder::dropResponse(ForwardCall &call, HandlerContext &context)
{
    context.actions.emplace_back(ForwardLogLine{"Forward: event=response-dropped request=" + call.request->attempt
                                                + " bytes=" + std::to_string(call.heldBytes())
                                                + " held=" + std::to_string(m_buffers.held().value())});
    m_buffers.hold(call.id, 0);
    if (call.targetFailure) {
        call.targetFailure.reset();
        m_buffers.hold(call.id, call.heldBytes());
        return;
    }
    endStalled(call, true, context);
    call.dropHeldBytes();
    if (call.chosen) {
        responseLost(call, context);
    }
}

void Forwarder::relayData(const TargetResponseData &event, HandlerContext &context)
{
    ForwardCall *call = currentAttempt(event.id, event.attempt);
    if (call == nullptr) {
        stalledData(event, context);
        return;
    }
    if (!call->head) {
        return;
    }
    call->answeredSince = call->answeredSince.value_or(context.now);
    if (call->beginsStream(*call->head)) {
        relayStream(*call, event.bytes, context);
    } else {
        call->body += event.bytes;
    }
}

void Forwarder::relayStream(ForwardCall &call, std::string_view bytes, HandlerContext &context)
{
    std::string events = call.relay.append(bytes);
    if (call.relay.isOverlong()) {
        responseLost(call, context);
        return;
    }
    if (events.empty()) {
        return;
    }
    endStalled(call, true, context);
    recordSurvival(call, context);
    recordEvents(*call.chosen, context);
    writeEvents(call, std::move(events), context);
}

void Forwarder::recordEvents(const ChosenTargets &chosen, HandlerContext &context)
{
    m_liveness.recordSigns(chosen.path, context.now);
    m_observations.recordSigns(chosen.path, m_targets, context.router);
    m_targets.recordResponse(chosen, context.router);
}

void Forwarder::writeEvents(ForwardCall &call, std::string events, HandlerContext &context)
{
    ForwardTargets::recordPromptRead(*call.chosen, context.router);
    m_pace.recordWait(call.chosen->path, call.shareOfObjective(context.now), context.now);
    call.recordEvent(context.now);
    context.actions.emplace_back(WriteStream{.id = call.id, .chunk = std::move(events)});
}

void Forwarder::on(const TargetResponseCompleted &event, HandlerContext &context)
{
    ForwardCall *call = currentAttempt(event.id, event.attempt);
    if (call == nullptr) {
        stalledCompleted(event, context);
        return;
    }
    if (!call->head) {
        responseLost(*call, context);
        return;
    }
    if (call->head->notRun) {
        targetRejected(*call, context);
        return;
    }
    responseCompleted(*call, context);
}

void Forwarder::recordRejection(ForwardCall &call,
                                const TargetId &target,
                                const TargetResponseStarted &head,
                                HandlerContext &context)
{
    const TargetId atFault = head.addressAtFault ? m_targets.targetAt(*head.addressAtFault).value_or(target) : target;
    call.rejectedBy.insert(target);
    call.tried.insert(atFault);
    m_targets.recordFailure(atFault, context.now);
    const RejectionKind kind = head.misdirected ? RejectionKind::Outdated : RejectionKind::Busy;
    m_targets.recordRejection(atFault, kind, context.router, context.now);
    if (statesNoRoom(head)) {
        tell(atFault, ObservationCause::NoRoom, {}, context);
    }
    context.actions.emplace_back(ForwardLogLine{"Forward: event=turned-down request=" + call.request->attempt
                                                + " target=" + atFault.value()
                                                + " status=" + std::to_string(head.head.status)});
}

void Forwarder::recordUnreachable(ForwardCall &call,
                                  const TargetId &target,
                                  const std::optional<RelayHost> &via,
                                  HandlerContext &context)
{
    call.discountRun(target);
    context.actions.emplace_back(ForwardLogLine{"Forward: event=unreachable request=" + call.request->attempt
                                                + " target=" + target.value()
                                                + " via=" + (via ? via->host.value() : "none")});
    if (!via && !m_links.recordOutOfReach(target, m_targets, context.router, context.now)) {
        for (const TargetId &unreached : m_links.reach().unreached()) {
            if (!call.ranAt.contains(unreached)) {
                call.tried.erase(unreached);
            }
        }
        return;
    }
    call.tried.insert(target);
    m_targets.recordFailure(target, context.now);
    if (!via) {
        tell(target, ObservationCause::Unreachable, {}, context);
    }
    // The other host may have found the target silent, which ends as soon as it sends anything.
    const UnresponsiveCause cause = via ? UnresponsiveCause::Silent : UnresponsiveCause::Unreachable;
    m_links.suspect(target, cause, m_targets, context.router, context.now);
}

void Forwarder::tell(const TargetId &target, ObservationCause cause, Duration age, const HandlerContext &context)
{
    if (!m_links.reach().isDoubtful(context.now)) {
        m_observations.observe(target, cause, age, context.now);
    }
}

void Forwarder::on(const TargetProbed &event, HandlerContext &context)
{
    if (event.reached) {
        m_liveness.recordSign(event.target, context.now);
        m_targets.recordReport(event.target, context.router);
    }
    // The reply may be lost or late: events that arrived since the probe show that the target works.
    const bool works =
        event.connected && m_liveness.hasShownSignSince(event.target, context.now - m_options.progressQueryTimeout);
    const bool mayBlame = !works && !m_links.reach().isDoubtful(context.now);
    m_observations.recordProbe(event, mayBlame, m_targets, context.router, context.now);
    if (!m_links.reach().isDoubtful(context.now)) {
        m_pace.recordReport(event, context.now);
    }
    switch (event.purpose) {
    case ProbePurpose::Links:
        m_links.recordProbe(event, m_targets, context.router, context.now);
        break;
    case ProbePurpose::Liveness:
        m_liveness.endQuery(event.target, event.reached, context.now);
        m_signsChanged = true;
        break;
    case ProbePurpose::Pace:
        break;
    }
}

void Forwarder::on(const RelayRequested &event, HandlerContext &context)
{
    const bool isDraining = m_rejectFrom && context.now >= *m_rejectFrom;
    std::visit([&](const auto &decision) { context.actions.emplace_back(decision); },
               m_links.decide(event, isDraining, m_targets));
}

void Forwarder::on(const RelayedResponseStarted &event, HandlerContext &context)
{
    recordStatements(event.target, event.head, context);
}

void Forwarder::on(const RelayedRequestNotSent &event, HandlerContext &context)
{
    if (m_links.recordOutOfReach(event.target, m_targets, context.router, context.now)) {
        m_links.suspect(event.target, UnresponsiveCause::Unreachable, m_targets, context.router, context.now);
    }
}

void Forwarder::targetRejected(ForwardCall &call, HandlerContext &context)
{
    const TargetId target = call.chosen->target;
    call.discountRun(target);
    recordRejection(call, target, *call.head, context);
    call.lastAttemptEnd = "rejected";
    endAttempt(call, false, context);
    if (returnToStalled(call, context)) {
        return;
    }
    dispatchAgain(call, ForwardFailure::TargetsRefused, context);
}

void Forwarder::responseCompleted(ForwardCall &call, HandlerContext &context)
{
    const HttpResponseHead &head = call.head->head;
    if (call.streaming) {
        if (!call.head->sealed || head.status != statusOk || call.relay.hasPartialEvent()) {
            responseLost(call, context);
            return;
        }
        recordSurvival(call, context);
        endAttempt(call, false, context);
        context.actions.emplace_back(EndStream{call.id});
        finish(call, "streamed", context);
        return;
    }
    // A successful response is trusted only if the target has signed it.
    if (head.status < firstErrorStatus && !call.head->sealed) {
        responseLost(call, context);
        return;
    }
    // A failure that the target signed shows as well that the request did not crash it.
    if (call.head->sealed) {
        recordSurvival(call, context);
    }
    const bool success = head.status < firstFailureStatus;
    HttpResponse response{.status = head.status, .headers = head.headers, .body = std::move(call.body)};
    if (!success && (call.stalled || call.mayRunAgain())) {
        call.targetFailure = std::move(response);
        call.tried.insert(call.chosen->target);
        m_targets.recordFailure(call.chosen->target, context.now);
        endAttempt(call, false, context);
        if (returnToStalled(call, context)) {
            return;
        }
        dispatchAgain(call, ForwardFailure::ResponseLost, context);
        return;
    }
    endAttempt(call, false, context);
    context.actions.emplace_back(Respond{.id = call.id, .response = std::move(response)});
    finish(call, "answered", context);
}

void Forwarder::on(const TargetResponseFailed &event, HandlerContext &context)
{
    ForwardCall *call = currentAttempt(event.id, event.attempt);
    if (call == nullptr) {
        stalledFailed(event, context);
        return;
    }
    const TargetId target = call->chosen->target;
    if (!event.sent) {
        if (event.relayFailure == RelayFailure::HostUnavailable && call->via) {
            call->discountRun(target);
            m_links.recordRelayUnavailable(*call->via, context.now);
            // Each host is asked once at most before it is left out for a while.
            call->dispatches -= 1;
        } else {
            recordUnreachable(*call, target, call->via, context);
        }
        call->lastAttemptEnd = "not-sent";
        endAttempt(*call, false, context);
        if (returnToStalled(*call, context)) {
            return;
        }
        dispatchUnsent(*call, context);
        return;
    }
    responseLost(*call, context);
}

void Forwarder::responseLost(ForwardCall &call, HandlerContext &context)
{
    recordLoss(call,
               call.attempt,
               *call.chosen,
               call.via,
               call.suspectTraits(call.head.has_value(), call.answeredSince, m_options.justBegunPeriod, context.now),
               context);
    call.tried.insert(call.chosen->target);
    m_targets.recordFailure(call.chosen->target, context.now);
    call.lastAttemptEnd = "lost";
    requestSigns({call.chosen->target}, context);
    endAttempt(call, true, context);
    if (returnToStalled(call, context)) {
        return;
    }
    if (!call.mayRunAgain()) {
        refuse(call, ForwardFailure::ResponseLost, context);
        return;
    }
    dispatchAgain(call, ForwardFailure::ResponseLost, context);
}

void Forwarder::on(const Tick &, HandlerContext &context)
{
    m_targets.tick(context.router, context.now);
    m_observations.tick(m_targets, context.router, context.now);
    servePace(context);
    if (const auto probe = m_links.nextProbe(m_targets, context.now)) {
        context.actions.emplace_back(*probe);
    }
    if (m_links.reach().isSeparated()) {
        // Responses that were lost with this host's links are no sign of crashes.
        (void)m_crashObserver.takeCrashes(context.now);
    } else if (!m_links.reach().isDoubtful(context.now)) {
        for (const TargetCrashObserved &crash : m_crashObserver.takeCrashes(context.now)) {
            attribute(crash, context);
        }
    }
    attribute(Tick{}, context);
    dispatchLimits(Tick{}, context);
    acceptEarlyRequests(context);
    moveWaitingStreams(context);
    serveLoans(context);
    for (const RequestId id : m_prompts.waiting()) {
        dispatch(m_calls.at(id), ForwardFailure::NoTarget, context);
    }
    serveQueue(context);
    std::vector<RequestId> due;
    for (const auto &[id, call] : m_calls) {
        due.push_back(id);
    }
    for (const RequestId id : due) {
        const auto found = m_calls.find(id);
        if (found == m_calls.end()) {
            continue;
        }
        if (context.now >= found->second.deadline) {
            timeOut(found->second, context);
        } else {
            checkStreamProgress(found->second, context);
        }
    }
}

void Forwarder::checkStreamProgress(ForwardCall &call, HandlerContext &context)
{
    if (!call.chosen || call.route->responseKind != ResponseKind::EventStream || call.chosen->path.empty()) {
        return;
    }
    if (const double share = call.shareOfObjective(context.now); share > m_options.pace.slowShare) {
        m_pace.recordWait(call.chosen->path, share, context.now);
    }
    const Duration objective = call.streaming ? call.route->pauseObjective : call.route->latencyObjective;
    const Duration stallTimeout =
        std::max(m_options.minimumStallTimeout,
                 std::chrono::duration_cast<Duration>(objective * m_options.stallTimeoutPerObjective));
    const TimePoint since = call.progressQueriedAt.value_or(call.progressAt);
    if (context.now - since < stallTimeout) {
        return;
    }
    call.progressQueriedAt = context.now;
    if (m_links.reach().isSeparated() && !call.via) {
        // The connection may have been lost with this host's links.
        if (call.mayMove(m_options.maximumDispatches)) {
            moveStream(call, call.chosen->target, context);
        }
        return;
    }
    context.actions.emplace_back(
        call.progressQuery(call.attempt, *call.chosen, call.via, m_options.progressQueryTimeout));
}

void Forwarder::on(const ProgressReported &event, HandlerContext &context)
{
    m_crashObserver.recordReport(event);
    ForwardCall *call = currentAttempt(event.id, event.attempt);
    if (call == nullptr || !call->progressQueriedAt) {
        return;
    }
    std::optional<TargetId> atFault;
    if (!event.answered) {
        // The reply may be lost or late: events of other streams since the query show that the target works.
        if (m_liveness.hasShownSignSince(call->chosen->target, *call->progressQueriedAt)) {
            return;
        }
        atFault = call->chosen->target;
        if (!call->via && !m_links.recordOutOfReach(*atFault, m_targets, context.router, context.now)) {
            return;
        }
    } else {
        m_liveness.recordSign(call->chosen->target, context.now);
        m_targets.recordReport(call->chosen->target, context.router);
        m_observations.recordSign(call->chosen->target, m_targets, context.router);
        if (event.blockedAtAddress) {
            atFault = m_targets.targetAt(*event.blockedAtAddress);
        }
    }
    if (!atFault) {
        return;
    }
    context.actions.emplace_back(
        ForwardLogLine{"Forward: event=stopped request=" + call->request->attempt + " target=" + atFault->value()});
    m_targets.markUnresponsive(
        *atFault, UnresponsiveCause::Silent, m_options.suspicionPeriod, context.router, context.now);
    if (!call->via) {
        const Duration age = event.answered ? Duration::zero() : context.now - *call->progressQueriedAt;
        tell(*atFault, ObservationCause::Silent, age, context);
    }
    moveStreams(
        *atFault, [&](const ForwardCall &other) { return context.now - other.progressAt >= recentProgress; }, context);
}

void Forwarder::dispatchLimits(const TargetRequestLimitsEvent &event, HandlerContext &context)
{
    for (SharedLimitsAction &action : m_limits.handle(event, context.now)) {
        context.actions.emplace_back(std::get<SendShareMessage>(std::move(action)));
    }
}

void Forwarder::attribute(const CrashAttributionEvent &event, HandlerContext &context)
{
    for (CrashAttributionAction &action : m_attribution.handle(event, context.now)) {
        std::visit(Overloaded{[&](BroadcastAttributionMessage &broadcast) {
                                  context.actions.emplace_back(std::move(broadcast));
                              },
                              [&](const auto &decision) {
                                  context.actions.emplace_back(ForwardLogLine{describe(decision)});
                                  context.actions.emplace_back(decision);
                              }},
                   action);
    }
}

bool Forwarder::refuseCondemned(ForwardCall &call, HandlerContext &context)
{
    if (!m_attribution.refusalTime(call.traits, context.now)) {
        return false;
    }
    attribute(CondemnedRequestRefused{call.traits}, context);
    refuse(call, ForwardFailure::Condemned, context);
    return true;
}

void Forwarder::recordLoss(const ForwardCall &call,
                           AttemptNumber attempt,
                           const ChosenTargets &chosen,
                           const std::optional<RelayHost> &via,
                           const std::vector<RequestTrait> &traits,
                           HandlerContext &context)
{
    if (traits.empty() || !m_crashObserver.recordLoss(chosen.target, call.id, attempt, traits, context.now)) {
        return;
    }
    context.actions.emplace_back(call.progressQuery(attempt, chosen, via, m_options.progressQueryTimeout));
}

void Forwarder::recordSurvival(ForwardCall &call, HandlerContext &context)
{
    const bool isStream = call.route->responseKind == ResponseKind::EventStream;
    const bool isYoung = !call.answeredSince || context.now - *call.answeredSince < m_options.justBegunPeriod;
    if (call.provenSound || (isStream && isYoung)) {
        return;
    }
    call.provenSound = true;
    attribute(TraitsProvenSound{call.traits}, context);
}

void Forwarder::moveStreams(const TargetId &target,
                            const std::function<bool(const ForwardCall &)> &mustMove,
                            HandlerContext &context)
{
    std::vector<RequestId> moved;
    for (const auto &[id, call] : m_calls) {
        if (call.uses(target) && mustMove(call) && call.mayMove(m_options.maximumDispatches)) {
            moved.push_back(id);
        }
    }
    for (const RequestId id : moved) {
        moveStream(m_calls.at(id), target, context);
    }
}

void Forwarder::servePace(HandlerContext &context)
{
    const bool trustsLinks = !m_links.reach().isDoubtful(context.now);
    append(m_pace.readsDue(m_targets.targets(), trustsLinks, context.now), context.actions);
    // A stream that has begun is late already, and elsewhere its whole context would be read again.
    const auto canBeOnTime = [&](const ForwardCall &call) {
        return !call.sawEvent && !call.resumes() && context.now - call.receivedAt < call.route->latencyObjective;
    };
    for (const TargetId &target : m_pace.apply(context.router, context.now)) {
        moveStreams(target, canBeOnTime, context);
    }
}

std::optional<ChosenTargets>
Forwarder::chooseForMove(ForwardCall &call, const TargetId &stopped, HandlerContext &context)
{
    // A target cannot tell two attempts of one request apart: the first target must differ, the others should.
    std::set<TargetId> excluded = m_liveness.unanswered(context.now);
    excluded.insert(call.tried.begin(), call.tried.end());
    excluded.insert(stopped);
    excluded.insert(call.chosen->target);
    std::set<TargetId> wholePath = excluded;
    for (const PathStage &stage : call.chosen->path) {
        wholePath.insert(stage.target);
    }
    const std::set<TargetId> withoutRoom = m_limits.withoutRoom(context.now);
    const auto chooseWithout = [&](const std::set<TargetId> &without) {
        auto chosen = m_targets.choose(
            call.service, *call.request, {.everywhere = without, .asFirst = withoutRoom}, context.router, context.now);
        return chosen && !chosen->congested ? std::move(chosen) : std::nullopt;
    };
    auto chosen = chooseWithout(wholePath);
    return chosen ? std::move(chosen) : chooseWithout(excluded);
}

void Forwarder::moveStream(ForwardCall &call, const TargetId &stopped, HandlerContext &context)
{
    // A condemned request stays where it runs: elsewhere it would crash another target.
    if (m_attribution.refusalTime(call.traits, context.now)) {
        return;
    }
    call.movesAwayFrom.reset();
    auto chosen = m_links.hasWay(context.now) ? chooseForMove(call, stopped, context) : std::nullopt;
    if (!chosen) {
        return;
    }
    // Where all targets are silent at once, another one could not begin the stream any earlier than this one goes on.
    if (const auto silent = m_liveness.withoutRecentSign(chosen->path, context.now); !silent.empty()) {
        call.movesAwayFrom = stopped;
        requestSigns(silent, context);
        requestSigns({stopped}, context);
        return;
    }
    if (!m_limits.tryTake(chosen->target, !call.wasLimited, context.now) || !takeRetry(call.service, context)) {
        return;
    }
    const auto lastSign = m_liveness.longestSilence(chosen->path, context.now);
    context.actions.emplace_back(ForwardLogLine{
        "Forward: event=moved request=" + call.request->attempt + " from=" + stopped.value() + " to="
        + chosen->target.value() + " silent_ms=" + std::to_string(wholeMilliseconds(context.now - call.progressAt))
        + " sign_age_ms=" + (lastSign ? std::to_string(wholeMilliseconds(*lastSign)) : "none")});
    ++m_moves.moved;
    call.tried.insert(stopped);
    call.stall();
    sendToTarget(call, std::move(*chosen), context);
}

void Forwarder::requestSigns(const std::vector<TargetId> &targets, HandlerContext &context)
{
    for (ProbeTarget &probe : m_liveness.beginQueries(targets, m_targets.targets(), m_options.progressQueryTimeout)) {
        probe.via = m_links.chooseRelay(context.now);
        context.actions.emplace_back(std::move(probe));
    }
}

void Forwarder::moveWaitingStreams(HandlerContext &context)
{
    if (!std::exchange(m_signsChanged, false)) {
        return;
    }
    std::vector<std::pair<RequestId, TargetId>> waiting;
    for (const auto &[id, call] : m_calls) {
        if (call.movesAwayFrom && call.chosen && call.mayMove(m_options.maximumDispatches)) {
            waiting.emplace_back(id, *call.movesAwayFrom);
        }
    }
    for (const auto &[id, stopped] : waiting) {
        ForwardCall &call = m_calls.at(id);
        if (m_targets.isUnresponsive(stopped) || m_pace.isSlow(stopped) || m_links.reach().isSeparated()) {
            moveStream(call, stopped, context);
        } else {
            call.movesAwayFrom.reset();
        }
    }
}

void Forwarder::timeOut(ForwardCall &call, HandlerContext &context)
{
    endAttempt(call, true, context);
    refuse(call, ForwardFailure::TimeoutReached, context);
}

Duration Forwarder::retryAfter(const ForwardCall &call, ForwardFailure reason, const HandlerContext &context)
{
    if (reason == ForwardFailure::Condemned) {
        const Duration condemned = m_attribution.refusalTime(call.traits, context.now).value_or(Duration::zero());
        return std::min(condemned, m_options.condemnedRetryAfter);
    }
    const bool isOverloaded = reason == ForwardFailure::Overloaded;
    RetryAfterBounds bounds =
        backlogBounds(isOverloaded ? m_queue.backlog(call.service, call.rank, context.now) : std::nullopt,
                      reason == ForwardFailure::Draining ? m_options.retryElsewhereAfter : m_options.retryAfter,
                      call.callerDeadline ? std::optional(*call.callerDeadline - context.now) : std::nullopt);
    const bool lacksTarget = reason == ForwardFailure::NoTarget || reason == ForwardFailure::TargetsRefused;
    if (const auto restEnd = lacksTarget ? m_targets.firstRestEnd(call.service) : std::nullopt) {
        bounds.shortest = std::max(*restEnd - context.now, Duration::zero());
    }
    return Carawaymill::retryAfter(bounds, m_random);
}

void Forwarder::refuse(ForwardCall &call, ForwardFailure reason, HandlerContext &context)
{
    std::string outcome = "refused:";
    if (call.streaming) {
        outcome = "broken-off:";
        context.actions.emplace_back(AbortStream{call.id});
    } else if (call.targetFailure) {
        context.actions.emplace_back(Respond{.id = call.id, .response = std::move(*call.targetFailure)});
    } else {
        RefuseCaller refusal{.id = call.id, .reason = reason, .mayHaveRun = call.runs > 0, .retryAfter = {}};
        const bool isFinal = reason == ForwardFailure::NoRoute || reason == ForwardFailure::KeyUnknown;
        if (!refusal.mayHaveRun && !isFinal) {
            refusal.retryAfter = retryAfter(call, reason, context);
        }
        context.actions.emplace_back(refusal);
    }
    finish(call, outcome + forwardFailureName(reason), context);
}

void Forwarder::finish(ForwardCall &call, const std::string &outcome, HandlerContext &context)
{
    std::string line = call.describeEnd(outcome, context.now);
    endStalled(call, true, context);
    context.actions.emplace_back(ForwardLogLine{std::move(line)});
    context.actions.emplace_back(ForwardEnded{.outcome = outcome, .took = context.now - call.receivedAt});
    m_queue.remove(call.id, context.now);
    m_loans.remove(call.id);
    m_prompts.remove(call.id);
    m_buffers.hold(call.id, 0);
    m_calls.erase(call.id);
}

} // namespace Carawaymill

#include "forwarding/ForwardCall.h"

#include "support/Seconds.h"

#include <algorithm>
#include <chrono>

namespace Carawaymill {

static constexpr unsigned statusOk = 200;

void ForwardCall::receive(RequestId requestId,
                          const ForwardRequest &received,
                          std::shared_ptr<const RouteTable> routes,
                          TimePoint at)
{
    id = requestId;
    request = std::make_shared<const ForwardRequest>(received);
    table = std::move(routes);
    receivedAt = at;
    waitsSince = at;
    deadline = at + received.timeLeft.value_or(30s);
    relay = EventStreamRelay(received.resumeAfter);
}

void ForwardCall::admitted(Duration responseMargin)
{
    if (request->timeLeft) {
        callerDeadline = receivedAt + *request->timeLeft;
        deadline = *callerDeadline - responseMargin;
    }
    deadline = std::min(deadline, receivedAt + route->timeout);
    traits = traitsOf(
        organisation.value_or(OrganisationId()), request->http.target, request->http.body, request->sharedParts);
    service = selectService(*route, request->attempt);
}

void ForwardCall::beginAttempt(const ChosenTargets &targets, TimePoint now)
{
    lastAttempt = lastAttempt.next();
    attempt = lastAttempt;
    dispatches += 1;
    runs += 1;
    ranAt[targets.target] += 1;
    head.reset();
    answeredSince.reset();
    provenSound = false;
    dropHeldBytes();
    progressAt = now;
    progressQueriedAt.reset();
    movesAwayFrom.reset();
    sentAt = now;
    sentAfter = sentAfter.value_or(now - receivedAt);
}

ForwardToTarget ForwardCall::dispatchTo(const ChosenTargets &targets, TimePoint now) const
{
    ForwardToTarget action{.id = id,
                           .attempt = attempt,
                           .target = targets.target,
                           .address = targets.address,
                           .path = targets.path,
                           .organisation = organisation,
                           .timeLeft = {},
                           .resumeAfter = relay.last(),
                           .request = request,
                           .freshConnection = needsFreshConnection(targets.target),
                           .via = via};
    if (callerDeadline) {
        action.timeLeft = *callerDeadline - now;
    }
    if (!targets.path.empty() && (table->hasSeveralRanks() || resumes())) {
        action.urgency = urgencyOf(rank, resumes());
    }
    return action;
}

/// Expected work in mean requests of the service; a request without token counts counts as a mean one. Bounded, so that
/// token counts that a caller overstates do not put its organisation far behind.
static double expectedWork(const EngineProfile *engine, const ForwardRequest &request)
{
    static constexpr double smallest = 0.1;
    static constexpr double largest = 4;
    const double mean = engine == nullptr ? 0
                                          : static_cast<double>(engine->meanPromptTokens.value())
                                                + static_cast<double>(engine->meanCompletionTokens.value());
    const double tokens =
        static_cast<double>(request.promptTokens.value()) + static_cast<double>(request.expectedTokens.value());
    if (mean <= 0 || tokens <= 0) {
        return 1;
    }
    return std::clamp(tokens / mean, smallest, largest);
}

QueuedRequest ForwardCall::queued(TimePoint now) const
{
    return {.id = id,
            .attempt = request->attempt,
            .service = service,
            .rank = rank,
            .organisation = organisation.value_or(OrganisationId()),
            .work = expectedWork(engineProfile(table->sharedConfiguration(), service), *request),
            .resumes = resumes(),
            .mayBeReplaced = runs == 0 && !streaming,
            .arrivedAt = streaming ? now : waitsSince,
            .latencyObjective = route->latencyObjective};
}

QueryProgress ForwardCall::progressQuery(AttemptNumber queried,
                                         const ChosenTargets &targets,
                                         const std::optional<RelayHost> &passedOnBy,
                                         Duration timeout) const
{
    return {.id = id,
            .attempt = queried,
            .address = targets.address,
            .callerAttempt = request->attempt,
            .timeout = timeout,
            .target = targets.target,
            .via = passedOnBy};
}

void ForwardCall::stall()
{
    lastAttemptEnd = "moved";
    stalled = StalledAttempt{.attempt = attempt,
                             .chosen = *std::exchange(chosen, std::nullopt),
                             .via = via,
                             .sentAt = sentAt,
                             .head = std::move(head),
                             .answeredSince = answeredSince,
                             .relay = relay};
}

void ForwardCall::returnToStalled(TimePoint now)
{
    StalledAttempt earlier = std::move(*stalled);
    stalled.reset();
    attempt = earlier.attempt;
    chosen = std::move(earlier.chosen);
    via = std::move(earlier.via);
    sentAt = earlier.sentAt;
    head = std::move(earlier.head);
    answeredSince = earlier.answeredSince;
    provenSound = false;
    relay = std::move(earlier.relay);
    std::string().swap(body);
    progressAt = now;
    progressQueriedAt.reset();
    movesAwayFrom.reset();
}

void ForwardCall::discountRun(const TargetId &target)
{
    runs -= 1;
    if (--ranAt.at(target) == 0) {
        ranAt.erase(target);
    }
}

void ForwardCall::recordEvent(TimePoint now)
{
    if (firstEventAfter) {
        longestGap = std::max(longestGap, now - lastEventAt);
    } else {
        firstEventAfter = now - receivedAt;
    }
    lastEventAt = now;
    sawEvent = true;
    progressAt = now;
    progressQueriedAt.reset();
    movesAwayFrom.reset();
}

double ForwardCall::shareOfObjective(TimePoint now) const
{
    // After a further dispatch the targets read the whole context first, as before the first event.
    const bool isWriting = sawEvent && progressAt != sentAt;
    const Duration objective = isWriting ? route->pauseObjective : route->latencyObjective;
    return objective > Duration::zero() ? seconds(now - progressAt) / seconds(objective) : 0;
}

bool ForwardCall::mayRunAgain() const
{
    return route->repeat == RepeatPolicy::Repeatable && ranAt.size() < std::max(1U, route->maximumTargets);
}

bool ForwardCall::mayMove(std::uint32_t maximumDispatches) const
{
    // A response that is no stream is not resumed elsewhere, and one stalled attempt is kept open at a time.
    const bool isOtherResponse = head && !beginsStream(*head);
    return mayRunAgain() && !stalled && !isOtherResponse && dispatches < maximumDispatches;
}

bool ForwardCall::mustWaitFor(const ChosenTargets &targets) const
{
    // A stream whose caller has already received its head resumes at once, even on congested targets.
    return targets.limited || (targets.congested && !streaming);
}

bool ForwardCall::awaitsPrompts(const ChosenTargets &targets, const PromptBacklog &prompts, TimePoint now) const
{
    return targets.awaitsPrompts && !streaming && prompts.mayWait(waitsSince, route->latencyObjective, now);
}

bool ForwardCall::uses(const TargetId &target) const
{
    return chosen && std::ranges::any_of(chosen->path, [&](const PathStage &stage) { return stage.target == target; });
}

bool ForwardCall::beginsStream(const TargetResponseStarted &responseHead) const
{
    return route->responseKind == ResponseKind::EventStream && responseHead.head.status == statusOk
           && responseHead.sealed;
}

bool ForwardCall::needsFreshConnection(const TargetId &target) const
{
    return route->repeat == RepeatPolicy::AtMostOnce || rejectedBy.contains(target);
}

std::size_t ForwardCall::heldBytes() const
{
    return body.size() + relay.heldBytes() + (stalled ? stalled->relay.heldBytes() : 0)
           + (targetFailure ? targetFailure->body.size() : 0);
}

void ForwardCall::dropHeldBytes()
{
    // A cleared string would keep its memory.
    std::string().swap(body);
    relay.restart();
}

std::vector<RequestTrait> ForwardCall::suspectTraits(bool hasHead,
                                                     std::optional<TimePoint> bodySince,
                                                     Duration justBegunPeriod,
                                                     TimePoint now) const
{
    if (bodySince) {
        return now - *bodySince < justBegunPeriod ? traits : std::vector<RequestTrait>();
    }
    // A stream without a head mostly waits for its turn, so that its parts are no evidence. The request
    // itself may have crashed the target before its first event.
    if (!hasHead && route->responseKind == ResponseKind::EventStream && !traits.empty()) {
        return {traits.front()};
    }
    return traits;
}

std::string ForwardCall::describeEnd(const std::string &outcome, TimePoint now) const
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now - receivedAt);
    std::string line = "Forward: event=end request=" + request->attempt + " outcome=" + outcome
                       + " route=" + (route != nullptr ? route->name : "none")
                       + " ms=" + std::to_string(milliseconds.count()) + " dispatches=" + std::to_string(dispatches)
                       + " runs=" + std::to_string(runs) + " last-attempt=" + lastAttemptEnd;
    if (sentAfter) {
        line += " sent_ms=" + std::to_string(wholeMilliseconds(*sentAfter));
    }
    if (firstEventAfter) {
        line += " first-event_ms=" + std::to_string(wholeMilliseconds(*firstEventAfter))
                + " longest-gap_ms=" + std::to_string(wholeMilliseconds(longestGap));
    }
    if (table) {
        line += " configuration=" + std::to_string(table->configuration().version.value());
    }
    return line;
}

} // namespace Carawaymill

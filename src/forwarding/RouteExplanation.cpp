#include "forwarding/RouteExplanation.h"

#include "forwarding/CallAdmission.h"

#include <algorithm>
#include <utility>

namespace Carawaymill {

/// As many as the router lists for a stage of a chain.
static constexpr std::size_t maximumPlainAlternatives = 2;

namespace {

/// The targets that a request would get, before it is known whether it waits for them.
struct Choice
{
    /// Only the first target and the reasons to wait are set.
    ChosenTargets chosen;
    std::vector<ExplainedStage> path;
};

/// Explains one question. Chooses on its own copies of what draws random numbers or is updated by a choice.
class Explainer
{
public:
    Explainer(const RoutingState &state, TimePoint now)
        : m_state(state)
        , m_targets(state.targets)
        , m_router(state.router.copyWithoutPrefixes())
        , m_now(now)
    {
    }

    RouteExplanationResult explain(const RouteQuestion &question);

private:
    /// Like `Forwarder::choose`, without taking room in a request limit.
    [[nodiscard]] std::optional<Choice> choose(const ForwardCall &call);
    [[nodiscard]] std::optional<Choice> chooseWithout(const ForwardCall &call, const ExcludedTargets &excluded);
    [[nodiscard]] std::optional<Choice> chooseChain(const RouteRequest &request);
    [[nodiscard]] std::optional<Choice> choosePlain(const ForwardCall &call, ExcludedTargets excluded);
    /// Sets the outcome, and what the request waits for.
    void decide(const ForwardCall &call, const ChosenTargets &chosen, RouteExplanation &explanation) const;
    [[nodiscard]] std::optional<TargetExclusion> exclusionOf(const DirectoryTarget &target,
                                                             const std::optional<RouteRequest> &request) const;
    [[nodiscard]] std::vector<ExcludedTarget> excludedFrom(const ForwardCall &call,
                                                           const std::vector<ExplainedStage> &path) const;

    const RoutingState &m_state;
    ForwardTargets m_targets;
    ChainRouter m_router;
    TimePoint m_now;
    /// The first layer without a holder in the last choice of a chain.
    std::optional<LayerIndex> m_uncovered;
};

} // namespace

static const OrganisationKeys *organisationNamed(const RoutingConfiguration &configuration,
                                                 const std::optional<OrganisationId> &name)
{
    if (!name || !configuration.organisations) {
        return nullptr;
    }
    const auto found = std::ranges::find(*configuration.organisations, *name, &OrganisationKeys::id);
    return found == configuration.organisations->end() ? nullptr : &*found;
}

static ForwardRequest
requestOf(const RouteQuestion &question, const OrganisationKeys *organisation, const EngineProfile *engine)
{
    ForwardRequest request;
    request.attempt = "explain-route";
    request.host = question.hostName;
    request.path = question.path;
    if (organisation != nullptr && !organisation->keys.empty()) {
        request.key = organisation->keys.front();
    }
    request.promptTokens = question.promptTokens.value_or(engine == nullptr ? TokenCount() : engine->meanPromptTokens);
    request.expectedTokens =
        question.expectedTokens.value_or(engine == nullptr ? TokenCount() : engine->meanCompletionTokens);
    return request;
}

RouteExplanationResult Explainer::explain(const RouteQuestion &question)
{
    if (!m_state.table) {
        return RouteTableMissing{};
    }
    const RoutingConfiguration &configuration = m_state.table->configuration();
    const Route *route = m_state.table->route(question.hostName, question.path);
    if (route == nullptr || route->services.empty()) {
        return RouteMissing{.hostName = question.hostName, .path = question.path};
    }
    const OrganisationKeys *organisation = organisationNamed(configuration, question.organisation);
    if (question.organisation && organisation == nullptr) {
        return OrganisationMissing{.organisation = *question.organisation};
    }
    const ServiceId service = std::ranges::max_element(route->services, {}, &ServiceShare::weight)->service;
    ForwardCall call;
    call.receive(RequestId(),
                 requestOf(question, organisation, engineProfile(m_state.table->sharedConfiguration(), service)),
                 m_state.table,
                 m_now);
    const auto notAdmitted = admitCall(*m_state.table, m_state.fresh, call);
    call.service = service;
    if (organisation != nullptr && !route->isPublic) {
        // Also while keys are not accepted, so that the explanation shows the rank that the caller will have.
        call.organisation = organisation->id;
        call.rank = rankOf(*route, organisation);
    }
    std::optional<Choice> choice = choose(call);
    if (!choice) {
        return PathMissing{.service = service, .layer = m_uncovered, .excluded = excludedFrom(call, {})};
    }
    const auto chainRequest = m_targets.chainRequest(service, *call.request, {});
    RouteExplanation explanation{
        .version = configuration.version,
        .route = *route,
        .organisation = call.organisation,
        .rank = call.rank,
        .service = service,
        .promptTokens = chainRequest ? chainRequest->promptTokens : call.request->promptTokens,
        .expectedTokens = call.request->expectedTokens,
        // The order of the forwarder: a drain, the admission by key, and then whether this host reaches any target.
        .refusal = m_state.refusal == ForwardFailure::Draining || !notAdmitted ? m_state.refusal : notAdmitted,
        .expectedWait = {},
        .path = std::move(choice->path),
        .excluded = {},
    };
    explanation.excluded = excludedFrom(call, explanation.path);
    decide(call, choice->chosen, explanation);
    return explanation;
}

std::optional<Choice> Explainer::choose(const ForwardCall &call)
{
    auto choice = chooseWithout(call, {});
    if (!choice || call.mustWaitFor(choice->chosen) || call.awaitsPrompts(choice->chosen, m_state.prompts, m_now)
        || !m_state.withoutRoom.contains(choice->chosen.target)) {
        return choice;
    }
    auto other = chooseWithout(call, {.everywhere = {}, .asFirst = m_state.withoutRoom});
    if (other && !call.mustWaitFor(other->chosen) && !call.awaitsPrompts(other->chosen, m_state.prompts, m_now)) {
        return other;
    }
    choice->chosen.limited = true;
    return choice;
}

std::optional<Choice> Explainer::chooseWithout(const ForwardCall &call, const ExcludedTargets &excluded)
{
    const auto request = m_targets.chainRequest(call.service, *call.request, excluded);
    return request ? chooseChain(*request) : choosePlain(call, excluded);
}

std::optional<Choice> Explainer::chooseChain(const RouteRequest &request)
{
    const auto routed = m_router.route(request, m_now);
    if (const auto *failure = std::get_if<NoChainForModel>(&routed)) {
        m_uncovered = failure->firstUncoveredLayer;
        return std::nullopt;
    }
    Choice choice;
    const TokenCount tokens = averageCachedTokens(request.promptTokens, request.expectedTokens);
    for (const StageDecision &stage : std::get<RoutedChain>(routed).decision.stages) {
        const RoutingTarget *target = m_router.target(stage.stage.target);
        choice.path.push_back({.target = stage.stage.target,
                               .address = m_targets.targets().at(stage.stage.target).address,
                               .layers = stage.stage.layers,
                               .cost = stage.seconds,
                               .openLayers = stage.openLayers,
                               .cacheOccupancy = target->cacheOccupancy(stage.stage.layers, tokens),
                               .pace = target->pace(),
                               .unreadLayerTokens = target->unreadLayerTokens(),
                               .alternatives = {}});
        for (const RoutingAlternative &alternative : stage.alternatives) {
            choice.path.back().alternatives.push_back({.target = alternative.target, .cost = alternative.seconds});
        }
        choice.chosen.congested = choice.chosen.congested || stage.congested;
        choice.chosen.awaitsPrompts = choice.chosen.awaitsPrompts || stage.awaitsPrompts;
    }
    choice.chosen.target = choice.path.front().target;
    return choice;
}

std::optional<Choice> Explainer::choosePlain(const ForwardCall &call, ExcludedTargets excluded)
{
    const auto chosen = m_targets.choose(call.service, *call.request, excluded, m_router, m_now);
    if (!chosen) {
        return std::nullopt;
    }
    Choice choice{.chosen = *chosen, .path = {{.target = chosen->target, .address = chosen->address}}};
    excluded.everywhere.insert(chosen->target);
    while (choice.path.front().alternatives.size() < maximumPlainAlternatives) {
        const auto next = m_targets.choose(call.service, *call.request, excluded, m_router, m_now);
        if (!next) {
            break;
        }
        choice.path.front().alternatives.push_back({.target = next->target, .cost = {}});
        excluded.everywhere.insert(next->target);
    }
    return choice;
}

void Explainer::decide(const ForwardCall &call, const ChosenTargets &chosen, RouteExplanation &explanation) const
{
    if (call.mustWaitFor(chosen)) {
        const QueuePlace place = m_state.queue.placeOf(call.queued(m_now), m_now);
        explanation.outcome = RouteOutcome::Queued;
        explanation.waitsFor = chosen.limited ? RouteWait::RequestLimit : RouteWait::CacheCapacity;
        explanation.ahead = place.ahead;
        explanation.expectedWait = place.expectedWait;
        if (place.isRefused && !explanation.refusal) {
            explanation.refusal = ForwardFailure::Overloaded;
        }
    } else if (call.awaitsPrompts(chosen, m_state.prompts, m_now)) {
        explanation.outcome = RouteOutcome::Held;
        explanation.waitsFor = RouteWait::UnreadPrompts;
        explanation.expectedWait = m_state.prompts.longestWait(call.route->latencyObjective);
    }
    if (explanation.refusal) {
        explanation.outcome = RouteOutcome::Refused;
    }
}

std::optional<TargetExclusion> Explainer::exclusionOf(const DirectoryTarget &target,
                                                      const std::optional<RouteRequest> &request) const
{
    const TargetId &id = target.id;
    if (m_targets.isLeaving(id)) {
        return TargetExclusion::Leaving;
    }
    if (const auto cause = m_targets.unresponsiveCause(id)) {
        return *cause == UnresponsiveCause::Silent ? TargetExclusion::Silent : TargetExclusion::Unreachable;
    }
    if (m_targets.isSuspected(id)) {
        return TargetExclusion::Rejecting;
    }
    if (m_targets.isResting(id)) {
        return TargetExclusion::Resting;
    }
    const RoutingTarget *routed = request ? m_router.target(id) : nullptr;
    std::optional<HeldRange> held;
    if (request) {
        if (routed == nullptr || routed->speed().layerTokensPerSecond <= 0) {
            return TargetExclusion::UnknownKind;
        }
        const auto found = std::ranges::find_if(routed->held(), [&](const HeldRange &range) {
            return range.model == request->model && range.version == request->version;
        });
        if (found == routed->held().end()) {
            return TargetExclusion::WithoutLayers;
        }
        held = *found;
    }
    if (m_targets.isAvoided(id)) {
        return TargetExclusion::Avoided;
    }
    if (m_state.withoutRoom.contains(id)) {
        return TargetExclusion::RequestLimit;
    }
    // The router asks the same before it adds its penalty: whether all held layers of the request would fit.
    if (held
        && routed->cacheOccupancy(held->layers, averageCachedTokens(request->promptTokens, request->expectedTokens))
               > 1) {
        return TargetExclusion::CacheFull;
    }
    return std::nullopt;
}

std::vector<ExcludedTarget> Explainer::excludedFrom(const ForwardCall &call,
                                                    const std::vector<ExplainedStage> &path) const
{
    const auto request = m_targets.chainRequest(call.service, *call.request, {});
    std::vector<ExcludedTarget> excluded;
    for (const auto &[id, target] : m_targets.targets()) {
        if (target.service != call.service || std::ranges::find(path, id, &ExplainedStage::target) != path.end()) {
            continue;
        }
        if (const auto reason = exclusionOf(target, request)) {
            excluded.push_back({.target = id, .reason = *reason});
        }
    }
    return excluded;
}

RouteExplanationResult explainRoute(const RouteQuestion &question, const RoutingState &state, TimePoint now)
{
    return Explainer(state, now).explain(question);
}

const char *routeOutcomeName(RouteOutcome outcome)
{
    switch (outcome) {
    case RouteOutcome::Sent:
        return "sent";
    case RouteOutcome::Queued:
        return "queued";
    case RouteOutcome::Held:
        return "held";
    case RouteOutcome::Refused:
        break;
    }
    return "refused";
}

const char *routeWaitName(RouteWait wait)
{
    switch (wait) {
    case RouteWait::Nothing:
        return "nothing";
    case RouteWait::CacheCapacity:
        return "cache-capacity";
    case RouteWait::RequestLimit:
        return "request-limit";
    case RouteWait::UnreadPrompts:
        break;
    }
    return "unread-prompts";
}

const char *targetExclusionName(TargetExclusion exclusion)
{
    switch (exclusion) {
    case TargetExclusion::Leaving:
        return "leaving";
    case TargetExclusion::Silent:
        return "silent";
    case TargetExclusion::Unreachable:
        return "unreachable";
    case TargetExclusion::Rejecting:
        return "rejecting";
    case TargetExclusion::Resting:
        return "resting";
    case TargetExclusion::UnknownKind:
        return "unknown-kind";
    case TargetExclusion::WithoutLayers:
        return "without-layers";
    case TargetExclusion::Avoided:
        return "avoided";
    case TargetExclusion::RequestLimit:
        return "request-limit";
    case TargetExclusion::CacheFull:
        break;
    }
    return "cache-full";
}

} // namespace Carawaymill

#include "forwarding/ForwardTargets.h"

#include "support/Seconds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Carawaymill {

/// Weight of a recent failure, in requests in progress per unit of the target's concurrency.
static constexpr double failureWeight = 2;
/// Additional weight of a target in another failure domain, in requests in progress per unit of its concurrency.
static constexpr double otherDomainWeight = 0.15;
/// Factor on transfer times between failure domains, whose link is shared by all requests.
static constexpr double domainLinkContention = 40;
/// Penalty of a chain whose first stage is in another failure domain; covers the cost of its traffic.
static constexpr double secondsToEnterDomain = 0.01;
/// A target may read a prompt for this fraction of the shortest latency objective of its service's routes before the
/// prompt counts as long: a short request behind it still has most of its time.
static constexpr double longPromptShare = 0.25;

namespace {

/// A request of mean length on an otherwise idle accelerator of one kind that runs all layers.
struct MeanRequest
{
    double promptTokens = 0;
    double completionTokens = 0;
    /// Seconds that the prompt and the completion take.
    double promptSeconds = 0;
    double completionSeconds = 0;
};

} // namespace

static MeanRequest meanRequest(const EngineProfile &engine, const AcceleratorKind &kind)
{
    MeanRequest mean{.promptTokens = static_cast<double>(engine.meanPromptTokens.value()),
                     .completionTokens = static_cast<double>(engine.meanCompletionTokens.value())};
    if (engine.promptTokensPerSecond > 0) {
        mean.promptSeconds = mean.promptTokens * kind.promptFactor / engine.promptTokensPerSecond;
    }
    mean.completionSeconds = mean.completionTokens * engine.stepSeconds * kind.stepFactor;
    return mean;
}

double layerTokensPerSecond(const EngineProfile &engine, const AcceleratorKind &kind)
{
    const MeanRequest mean = meanRequest(engine, kind);
    const double totalSeconds = mean.promptSeconds + mean.completionSeconds;
    return totalSeconds > 0 ? (mean.promptTokens + mean.completionTokens) * engine.layers / totalSeconds : 0;
}

/// Slowdown of a step by each further request in the batch, as a fraction of the step.
static double costPerOtherStream(const EngineProfile &engine, const AcceleratorKind &kind)
{
    const MeanRequest mean = meanRequest(engine, kind);
    if (mean.completionSeconds <= 0) {
        return 1;
    }
    const double ownStep = engine.stepSecondsPerRequest
                           + engine.stepSecondsPerContextToken * (mean.promptTokens + mean.completionTokens / 2);
    return ownStep / engine.stepSeconds + mean.promptSeconds / mean.completionSeconds;
}

ByteCount heldBytes(const EngineProfile &engine, const std::vector<ModelLayers> &held)
{
    std::uint64_t layers = 0;
    for (const ModelLayers &range : held) {
        layers += range.layers.size();
    }
    return ByteCount(layers * engine.bytesPerLayer.value());
}

/// KV cache capacity in tokens times layers, in the memory that the held layers leave free.
static double cacheLayerTokens(const EngineProfile &engine, ByteCount memory, ByteCount held)
{
    if (engine.cacheBytesPerToken.value() == 0 || memory <= held) {
        return 0;
    }
    const double bytesPerLayerToken = static_cast<double>(engine.cacheBytesPerToken.value()) / engine.layers;
    return static_cast<double>((memory - held).value()) / bytesPerLayerToken;
}

/// Null for a plain or unknown service.
static const EngineProfile *profileOf(const std::map<ServiceId, ServiceDescription> &services, const ServiceId &service)
{
    const auto known = services.find(service);
    return known != services.end() && known->second.engine ? &*known->second.engine : nullptr;
}

/// Prompt tokens times layers that an accelerator of this kind reads in a second.
static double promptLayerTokensPerSecond(const EngineProfile &engine, const AcceleratorKind &kind)
{
    return kind.promptFactor > 0 ? engine.promptTokensPerSecond * engine.layers / kind.promptFactor : 0;
}

/// The prompt tokens that a caller states, within what can be right: a request without them counts as a mean one, and
/// none has more than fit into half of the memory of the largest kind.
static TokenCount believedPrompt(const EngineProfile &engine, TokenCount stated)
{
    if (stated.value() == 0) {
        return engine.meanPromptTokens;
    }
    std::uint64_t largest = 0;
    for (const auto &[name, kind] : engine.kinds) {
        largest = std::max(largest, kind.memory.value());
    }
    const std::uint64_t perToken = engine.cacheBytesPerToken.value();
    // Half of the memory is left to the layers.
    largest /= 2;
    return perToken == 0 ? stated
                         : TokenCount(std::min(stated.value(), std::max<std::uint64_t>(largest / perToken, 1)));
}

/// For each service, how long a target may read a prompt that is not long.
static std::map<ServiceId, Duration> longPromptReads(const RoutingConfiguration &configuration)
{
    std::map<ServiceId, Duration> reads;
    for (const Route &route : configuration.routes) {
        const auto read = std::chrono::duration_cast<Duration>(route.latencyObjective * longPromptShare);
        if (read <= Duration::zero()) {
            continue;
        }
        for (const ServiceShare &share : route.services) {
            const auto known = reads.try_emplace(share.service, read).first;
            known->second = std::min(known->second, read);
        }
    }
    return reads;
}

ModelId routedModel(const ServiceId &service)
{
    return ModelId(service.value());
}

ForwardTargets::ForwardTargets(ForwardTargetsOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

void ForwardTargets::configurationChanged(const SharedConfiguration &configuration, ChainRouter &router)
{
    const bool sameServices = m_configuration && m_configuration->services == configuration->services;
    m_configuration = configuration;
    m_longPromptReads = longPromptReads(*configuration);
    if (sameServices) {
        return;
    }
    for (const auto &[id, service] : configuration->services) {
        m_services.insert_or_assign(id, service);
    }
    for (const auto &[id, target] : m_targets) {
        updateRouter(target, router);
    }
}

void ForwardTargets::listed(const DirectoryTarget &target, ChainRouter &router)
{
    const auto known = m_targets.find(target.id);
    const bool isNewProcess = known != m_targets.end() && known->second.incarnation != target.incarnation;
    const bool holdsOtherLayers = known != m_targets.end() && known->second.held != target.held;
    if (isNewProcess) {
        m_avoided.erase(target.id);
    }
    if (isNewProcess || (holdsOtherLayers && !isUnresponsive(target.id))) {
        m_suspectedUntil.erase(target.id);
        m_unresponsive.erase(target.id);
    }
    if (const auto stated = m_statements.find(target.id);
        stated != m_statements.end() && stated->second.incarnation != target.incarnation) {
        m_statements.erase(stated);
    }
    m_targets.insert_or_assign(target.id, target);
    if (target.leaving) {
        // Kept, since an older copy of the record may be listed later.
        statementOf(target, m_now).leaving = true;
    }
    updateRouter(target, router);
}

void ForwardTargets::unlisted(const TargetId &target, ChainRouter &router)
{
    m_targets.erase(target);
    m_suspectedUntil.erase(target);
    m_unresponsive.erase(target);
    m_avoided.erase(target);
    m_loads.erase(target);
    router.removeTarget(target);
}

void ForwardTargets::tick(ChainRouter &router, TimePoint now)
{
    m_now = now;
    expireStatements(router, now);
    for (auto suspect = m_suspectedUntil.begin(); suspect != m_suspectedUntil.end();) {
        if (now < suspect->second) {
            ++suspect;
            continue;
        }
        const TargetId target = suspect->first;
        suspect = m_suspectedUntil.erase(suspect);
        updateAvailability(target, router);
    }
    for (auto entry = m_unresponsive.begin(); entry != m_unresponsive.end();) {
        if (now < entry->second.until) {
            ++entry;
            continue;
        }
        const TargetId target = entry->first;
        entry = m_unresponsive.erase(entry);
        updateAvailability(target, router);
    }
}

void ForwardTargets::suspect(const TargetId &target, Duration period, ChainRouter &router, TimePoint now)
{
    if (m_targets.contains(target)) {
        TimePoint &until = m_suspectedUntil[target];
        until = std::max(until, now + period);
        updateAvailability(target, router);
    }
}

void ForwardTargets::recordRejection(const TargetId &target, RejectionKind kind, ChainRouter &router, TimePoint now)
{
    const Duration suspicionPeriod =
        kind == RejectionKind::Outdated ? m_options.outdatedSuspicionPeriod : m_options.rejectionSuspicionPeriod;
    suspect(target, suspicionPeriod, router, now);
}

void ForwardTargets::markUnresponsive(
    const TargetId &target, UnresponsiveCause cause, Duration period, ChainRouter &router, TimePoint now)
{
    if (!m_targets.contains(target)) {
        return;
    }
    const auto [entry, isNew] =
        m_unresponsive.try_emplace(target, Unresponsive{.cause = cause, .since = now, .until = now + period});
    if (!isNew) {
        entry->second.cause = cause;
        entry->second.until = std::max(entry->second.until, now + period);
    }
    updateAvailability(target, router);
}

void ForwardTargets::clearUnresponsive(const TargetId &target, ChainRouter &router)
{
    if (m_unresponsive.erase(target) > 0) {
        updateAvailability(target, router);
    }
}

void ForwardTargets::setAvoided(const TargetId &target, bool isAvoided, ChainRouter &router)
{
    if (!m_targets.contains(target)) {
        return;
    }
    if (isAvoided ? m_avoided.insert(target).second : m_avoided.erase(target) > 0) {
        updateAvailability(target, router);
    }
}

bool ForwardTargets::isLost(const TargetId &target) const
{
    const auto found = m_unresponsive.find(target);
    return found != m_unresponsive.end()
           && (found->second.cause == UnresponsiveCause::Unreachable
               || m_now - found->second.since >= m_options.toleratedSilence);
}

void ForwardTargets::recordResponse(const ChosenTargets &chosen, ChainRouter &router)
{
    if (m_unresponsive.empty()) {
        return;
    }
    for (const PathStage &stage : chosen.path) {
        recordReport(stage.target, router);
    }
}

void ForwardTargets::recordReport(const TargetId &target, ChainRouter &router)
{
    const auto found = m_unresponsive.find(target);
    if (found == m_unresponsive.end() || found->second.cause != UnresponsiveCause::Silent) {
        return;
    }
    m_unresponsive.erase(found);
    updateAvailability(target, router);
}

bool ForwardTargets::isLeaving(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    const auto stated = m_statements.find(target);
    return (found != m_targets.end() && found->second.leaving)
           || (stated != m_statements.end() && stated->second.leaving);
}

bool ForwardTargets::isResting(const TargetId &target) const
{
    const auto stated = m_statements.find(target);
    return stated != m_statements.end() && stated->second.restsUntil;
}

std::optional<UnresponsiveCause> ForwardTargets::unresponsiveCause(const TargetId &target) const
{
    const auto found = m_unresponsive.find(target);
    return found == m_unresponsive.end() ? std::nullopt : std::optional(found->second.cause);
}

ForwardTargets::Statement &ForwardTargets::statementOf(const DirectoryTarget &target, TimePoint now)
{
    Statement &statement = m_statements[target.id];
    statement.incarnation = target.incarnation;
    statement.at = now;
    return statement;
}

void ForwardTargets::recordLeaving(const TargetId &target, ChainRouter &router, TimePoint now)
{
    if (const auto found = m_targets.find(target); found != m_targets.end()) {
        statementOf(found->second, now).leaving = true;
        updateAvailability(target, router);
    }
}

void ForwardTargets::recordRest(const TargetId &target, Duration period, ChainRouter &router, TimePoint now)
{
    if (const auto found = m_targets.find(target); found != m_targets.end()) {
        std::optional<TimePoint> &until = statementOf(found->second, now).restsUntil;
        until = std::max(until.value_or(now), now + period);
        updateAvailability(target, router);
    }
}

std::optional<TimePoint> ForwardTargets::firstRestEnd(const ServiceId &service) const
{
    std::optional<TimePoint> first;
    for (const auto &[id, statement] : m_statements) {
        const auto found = m_targets.find(id);
        if (statement.restsUntil && found != m_targets.end() && found->second.service == service) {
            first = std::min(first.value_or(*statement.restsUntil), *statement.restsUntil);
        }
    }
    return first;
}

void ForwardTargets::expireStatements(ChainRouter &router, TimePoint now)
{
    for (auto &[target, statement] : m_statements) {
        if (statement.restsUntil && now >= *statement.restsUntil) {
            statement.restsUntil.reset();
            updateAvailability(target, router);
        }
    }
    std::erase_if(m_statements, [&](const auto &entry) {
        const auto &[target, statement] = entry;
        const bool isNeeded = statement.restsUntil || (statement.leaving && m_targets.contains(target));
        return !isNeeded && now - statement.at >= m_options.statementRetention;
    });
}

void ForwardTargets::updateAvailability(const TargetId &target, ChainRouter &router) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    TargetAvailability availability = TargetAvailability::Available;
    if (isLeaving(target)) {
        availability = TargetAvailability::Leaving;
    } else if (isSuspected(target) || isResting(target)) {
        availability = TargetAvailability::Dead;
    } else if (isAvoided(target)) {
        availability = TargetAvailability::Suspect;
    }
    router.setAvailability(target, availability);
}

void ForwardTargets::updateRouter(const DirectoryTarget &target, ChainRouter &router) const
{
    const EngineProfile *engine = profileOf(m_services, target.service);
    if (engine == nullptr) {
        return;
    }
    const auto kind = engine->kinds.find(target.acceleratorKind);
    if (kind == engine->kinds.end()) {
        return;
    }
    std::vector<HeldRange> held;
    for (const ModelLayers &layers : target.held) {
        held.push_back({.target = target.id,
                        .model = routedModel(target.service),
                        .version = layers.version,
                        .adapter = {},
                        .layers = layers.layers});
    }
    router.updateTarget(
        target.id,
        {.layerTokensPerSecond = layerTokensPerSecond(*engine, kind->second),
         .costPerOtherStream = costPerOtherStream(*engine, kind->second),
         .cacheLayerTokens = cacheLayerTokens(*engine, kind->second.memory, heldBytes(*engine, target.held)),
         .promptLayerTokensPerSecond = promptLayerTokensPerSecond(*engine, kind->second),
         .linkBytesPerSecond = engine->linkBytesPerSecond,
         .linkDelay = {},
         .failureDomain = target.failureDomain,
         .region = m_options.ownRegion},
        std::move(held));
    updateAvailability(target.id, router);
}

std::optional<TargetId> ForwardTargets::targetAt(const std::string &address) const
{
    const auto found =
        std::ranges::find_if(m_targets, [&](const auto &entry) { return entry.second.address == address; });
    return found == m_targets.end() ? std::nullopt : std::optional(found->first);
}

std::optional<ChosenTargets> ForwardTargets::choose(const ServiceId &service,
                                                    const ForwardRequest &request,
                                                    const ExcludedTargets &excluded,
                                                    ChainRouter &router,
                                                    TimePoint now)
{
    if (const auto chain = chainRequest(service, request, excluded)) {
        return chooseChain(*chain, router, now);
    }
    return choosePlain(service, excluded, now);
}

double ForwardTargets::recentFailures(const Load &load, TimePoint now) const
{
    return load.failures * std::exp2(-seconds(now - load.failedAt) / seconds(m_options.failureHalfLife));
}

std::optional<ChosenTargets>
ForwardTargets::choosePlain(const ServiceId &service, const ExcludedTargets &excluded, TimePoint now)
{
    const DirectoryTarget *best = nullptr;
    // Avoided targets come after all others.
    std::pair<bool, double> lowest;
    for (const auto &[id, target] : m_targets) {
        if (target.service != service || !isUsable(id) || excluded.everywhere.contains(id)
            || excluded.asFirst.contains(id)) {
            continue;
        }
        const Load &load = m_loads[id];
        // The random part spreads the requests of several hosts over idle targets.
        const double weight = (load.inProgress + m_random.fraction()) / std::max(1U, target.concurrency)
                              + failureWeight * recentFailures(load, now)
                              + (target.failureDomain == m_options.ownFailureDomain ? 0 : otherDomainWeight);
        const std::pair rank(isAvoided(id), weight);
        if (best == nullptr || rank < lowest) {
            best = &target;
            lowest = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return ChosenTargets{.target = best->id, .address = best->address, .path = {}};
}

std::optional<RouteRequest> ForwardTargets::chainRequest(const ServiceId &service,
                                                         const ForwardRequest &request,
                                                         const ExcludedTargets &excluded) const
{
    const EngineProfile *engine = profileOf(m_services, service);
    if (engine == nullptr) {
        return std::nullopt;
    }
    const TokenCount promptTokens = believedPrompt(*engine, request.promptTokens);
    const auto longPromptRead = m_longPromptReads.find(service);
    const auto promptBytes = static_cast<double>(promptTokens.value() * engine->activationBytes.value());
    const double transfer = engine->domainLinkBytesPerSecond > 0
                                ? promptBytes / engine->domainLinkBytesPerSecond * domainLinkContention
                                : 0;
    const double delays = seconds(engine->domainDelay) * static_cast<double>(request.expectedTokens.value());
    return RouteRequest{.job = JobId(request.attempt),
                        .model = routedModel(service),
                        .version = engine->version,
                        .adapter = {},
                        .layers = engine->layers,
                        .promptTokens = promptTokens,
                        .expectedTokens = request.expectedTokens,
                        .activationBytes = engine->activationBytes,
                        .secondsToEnterDomain = secondsToEnterDomain,
                        .secondsBetweenDomains = transfer + delays,
                        .prefixes = {},
                        .excludedTargets = excluded.everywhere,
                        .excludedFirstTargets = excluded.asFirst,
                        .longPromptRead =
                            longPromptRead == m_longPromptReads.end() ? Duration::zero() : longPromptRead->second};
}

std::optional<ChosenTargets>
ForwardTargets::chooseChain(const RouteRequest &request, ChainRouter &router, TimePoint now) const
{
    const auto routed = router.route(request, now);
    const auto *chain = std::get_if<RoutedChain>(&routed);
    if (chain == nullptr) {
        return std::nullopt;
    }
    ChosenTargets chosen;
    for (const ChainStage &stage : chain->chain.stages) {
        chosen.path.push_back(
            {.target = stage.target, .address = m_targets.at(stage.target).address, .layers = stage.layers});
    }
    chosen.tokens = averageCachedTokens(request.promptTokens, request.expectedTokens);
    chosen.unreadPrompt = request.promptTokens;
    chosen.congested =
        std::ranges::any_of(chain->decision.stages, [](const StageDecision &stage) { return stage.congested; });
    chosen.awaitsPrompts =
        std::ranges::any_of(chain->decision.stages, [](const StageDecision &stage) { return stage.awaitsPrompts; });
    chosen.target = chosen.path.front().target;
    chosen.address = chosen.path.front().address;
    return chosen;
}

void ForwardTargets::recordStart(const ChosenTargets &chosen, ChainRouter &router)
{
    for (const PathStage &stage : chosen.path) {
        router.stageStarted({.target = stage.target, .layers = stage.layers}, chosen.tokens);
        router.promptSent({.target = stage.target, .layers = stage.layers}, chosen.unreadPrompt);
    }
    m_loads[chosen.target].inProgress += 1;
}

void ForwardTargets::recordPromptRead(ChosenTargets &chosen, ChainRouter &router)
{
    const TokenCount read = std::exchange(chosen.unreadPrompt, TokenCount());
    if (read.value() > 0) {
        for (const PathStage &stage : chosen.path) {
            router.promptRead({.target = stage.target, .layers = stage.layers}, read);
        }
    }
}

void ForwardTargets::recordEnd(ChosenTargets &chosen, ChainRouter &router)
{
    recordPromptRead(chosen, router);
    for (const PathStage &stage : chosen.path) {
        router.stageEnded({.target = stage.target, .layers = stage.layers}, chosen.tokens);
    }
    if (const auto load = m_loads.find(chosen.target); load != m_loads.end()) {
        load->second.inProgress = std::max(0.0, load->second.inProgress - 1);
    }
}

void ForwardTargets::recordFailure(const TargetId &target, TimePoint now)
{
    if (const auto load = m_loads.find(target); load != m_loads.end()) {
        load->second.failures = recentFailures(load->second, now) + 1;
        load->second.failedAt = now;
    }
}

} // namespace Carawaymill

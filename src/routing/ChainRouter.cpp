#include "routing/ChainRouter.h"

#include "routing/CheapestChain.h"
#include "routing/MergeRanges.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Carawaymill {

/// Penalty for a suspect target. So high that the target is chosen only for layers that no other target holds.
static constexpr double suspectPenaltySeconds = 1e6;
/// For an isolated job: penalty for each layer of other open streams on the target.
static constexpr double disturbedLayerPenaltySeconds = 1e3;
/// Factor for the sampling weight of suspect targets, so that they are seldom sampled.
static constexpr double suspectWeightFactor = 1e-6;
/// Maximum number of samples per requested candidate, since a sample can repeat a holding or be of an excluded target.
/// If none is usable, all holdings of the segment become candidates.
static constexpr std::uint32_t samplesPerCandidate = 4;
static constexpr std::size_t maximumAlternatives = 2;
/// Penalty for a target without capacity for the job's KV cache. So high that the target is chosen only for layers that
/// no other target holds: it would have to stop other streams, or refuse the job.
static constexpr double congestedPenaltySeconds = 1e3;
/// Above this occupancy a target's KV cache has no capacity.
static constexpr double maximumCacheOccupancy = 1;
/// Relative changes of speed below this do not update the sampling weights.
static constexpr double speedChangeThreshold = 0.1;

static bool differsSignificantly(double left, double right)
{
    return std::abs(left - right) > speedChangeThreshold * std::max(left, right);
}

TokenCount averageCachedTokens(TokenCount prompt, TokenCount answer)
{
    return prompt + TokenCount(answer.value() / 2);
}

ChainRouter::ChainRouter(ChainRouterOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_prefixes(m_options.prefixes)
{
}

ChainRouter ChainRouter::copyWithoutPrefixes() const
{
    ChainRouter copy(m_options);
    copy.m_random = m_random;
    copy.m_targets = m_targets;
    copy.m_slots = m_slots;
    copy.m_models = m_models;
    return copy;
}

std::uint32_t ChainRouter::slotOf(const TargetId &target)
{
    const auto [found, added] = m_slots.try_emplace(target, static_cast<std::uint32_t>(m_targets.size()));
    if (added) {
        m_targets.emplace_back(target, m_options.targets);
    }
    return found->second;
}

RoutingTarget *ChainRouter::find(const TargetId &target)
{
    const auto found = m_slots.find(target);
    return found == m_slots.end() ? nullptr : &m_targets[found->second];
}

const RoutingTarget *ChainRouter::target(const TargetId &target) const
{
    const auto found = m_slots.find(target);
    return found == m_slots.end() ? nullptr : &m_targets[found->second];
}

void ChainRouter::markOutdated(const std::vector<HeldRange> &held)
{
    for (const HeldRange &range : held) {
        m_models[{range.model, range.version, range.adapter}].outdated = true;
    }
}

TargetSpeed ChainRouter::withDelay(TargetSpeed speed) const
{
    if (speed.linkDelay == Duration::zero()) {
        if (speed.region != m_options.ownRegion) {
            speed.linkDelay = m_options.otherRegionDelay;
        } else if (speed.failureDomain != m_options.ownFailureDomain) {
            speed.linkDelay = m_options.otherFailureDomainDelay;
        } else {
            speed.linkDelay = m_options.sameFailureDomainDelay;
        }
    }
    return speed;
}

void ChainRouter::updateTarget(const TargetId &target, TargetSpeed speed, std::vector<HeldRange> held)
{
    RoutingTarget &entry = m_targets[slotOf(target)];
    held = mergeRanges(std::move(held),
                       [](const HeldRange &range) { return std::tie(range.model, range.version, range.adapter); });
    if (entry.held() != held || differsSignificantly(entry.speed().layerTokensPerSecond, speed.layerTokensPerSecond)) {
        markOutdated(entry.held());
        markOutdated(held);
    }
    entry.update(withDelay(std::move(speed)), std::move(held));
}

void ChainRouter::removeTarget(const TargetId &target)
{
    if (RoutingTarget *entry = find(target)) {
        markOutdated(entry->held());
        entry->clear();
    }
}

void ChainRouter::setAvailability(const TargetId &target, TargetAvailability availability)
{
    if (RoutingTarget *entry = find(target); entry && entry->availability() != availability) {
        entry->setAvailability(availability);
        markOutdated(entry->held());
    }
}

void ChainRouter::setPace(const TargetId &target, double pace)
{
    if (RoutingTarget *entry = find(target); entry && entry->pace() != pace) {
        entry->setPace(pace);
        markOutdated(entry->held());
    }
}

void ChainRouter::applyLoadReport(const TargetId &target, const LoadReport &report, TimePoint now)
{
    if (RoutingTarget *entry = find(target)) {
        entry->applyLoadReport(report, now);
    }
}

void ChainRouter::setOtherHostsLoad(const TargetId &target, const StreamLoad &load)
{
    if (RoutingTarget *entry = find(target)) {
        entry->setOtherHostsLoad(load);
    }
}

std::map<TargetId, StreamLoad> ChainRouter::ownLoads() const
{
    std::map<TargetId, StreamLoad> loads;
    for (const RoutingTarget &target : m_targets) {
        if (const StreamLoad load = target.ownLoad(); load.openLayers > 0) {
            loads.emplace(target.id(), load);
        }
    }
    return loads;
}

void ChainRouter::stageStarted(const ChainStage &stage, TokenCount tokens)
{
    m_targets[slotOf(stage.target)].stageStarted(stage.layers, tokens);
}

void ChainRouter::recordStepDuration(const ChainStage &stage, const StageWork &work, Duration took, TimePoint now)
{
    if (RoutingTarget *entry = find(stage.target); entry && entry->speed().layerTokensPerSecond > 0) {
        entry->recordStepDuration(stage.layers, work, took, now);
    }
}

void ChainRouter::stageEnded(const ChainStage &stage, TokenCount tokens)
{
    if (RoutingTarget *entry = find(stage.target)) {
        entry->stageEnded(stage.layers, tokens);
    }
}

void ChainRouter::promptSent(const ChainStage &stage, TokenCount tokens)
{
    m_targets[slotOf(stage.target)].promptSent(stage.layers, tokens);
}

void ChainRouter::promptRead(const ChainStage &stage, TokenCount tokens)
{
    if (RoutingTarget *entry = find(stage.target)) {
        entry->promptRead(stage.layers, tokens);
    }
}

std::vector<Holding> ChainRouter::holdingsOf(const ModelKey &key) const
{
    std::vector<Holding> holdings;
    for (std::uint32_t slot = 0; slot < m_targets.size(); ++slot) {
        const RoutingTarget &target = m_targets[slot];
        const bool suspect = target.availability() == TargetAvailability::Suspect;
        const double speed = target.speed().layerTokensPerSecond;
        if ((!suspect && target.availability() != TargetAvailability::Available) || speed <= 0) {
            continue;
        }
        for (const HeldRange &held : target.held()) {
            if (ModelKey(held.model, held.version, held.adapter) == key) {
                const double weight = speed / target.pace() * (suspect ? suspectWeightFactor : 1);
                holdings.push_back({.target = slot, .layers = held.layers, .weight = weight});
            }
        }
    }
    return holdings;
}

const StageIndex &ChainRouter::indexOf(const RouteRequest &request)
{
    static const StageIndex emptyIndex;
    const auto found = m_models.find({request.model, request.version, request.adapter});
    if (found == m_models.end()) {
        return emptyIndex;
    }
    auto &[key, model] = *found;
    if (model.outdated) {
        model.index = StageIndex(holdingsOf(key));
        model.outdated = false;
    }
    return model.index;
}

bool ChainRouter::usable(const RoutingTarget &target, const RouteRequest &request)
{
    return request.excludedTargets.empty() || !request.excludedTargets.contains(target.id());
}

bool ChainRouter::usableFirst(const RoutingTarget &target, const RouteRequest &request)
{
    return request.excludedFirstTargets.empty() || !request.excludedFirstTargets.contains(target.id());
}

ChainRouter::CachedTokens ChainRouter::cachedTokens(const RouteRequest &request, TimePoint now) const
{
    CachedTokens cached;
    for (const PrefixHit &hit : m_prefixes.find(request.prefixes, now)) {
        if (const auto slot = m_slots.find(hit.target); slot != m_slots.end()) {
            // The last token of a prompt must always be run, since its result is the first token of the answer.
            const std::uint64_t most = std::max<std::uint64_t>(request.promptTokens.value(), 1) - 1;
            cached[slot->second] = TokenCount(std::min(hit.tokens.value(), most));
        }
    }
    return cached;
}

ChainRouter::Candidate ChainRouter::candidateFor(const Holding &held,
                                                 TokenCount cachedTokens,
                                                 const RouteRequest &request,
                                                 TimePoint now) const
{
    const RoutingTarget &target = m_targets[held.target];
    const TokenCount tokens = request.expectedTokens + request.promptTokens - cachedTokens;
    StageCost cost = target.cost(held.layers,
                                 {.tokens = tokens,
                                  .steps = request.expectedTokens.value() + 1,
                                  .activationBytes = request.activationBytes,
                                  .promptTokens = request.promptTokens,
                                  .longPromptRead = request.longPromptRead},
                                 now);
    if (target.availability() == TargetAvailability::Suspect) {
        cost.secondsPerStage += suspectPenaltySeconds;
    }
    if (request.isolated) {
        cost.secondsPerStage += cost.openLayers * disturbedLayerPenaltySeconds;
    }
    if (target.cacheOccupancy(held.layers, averageCachedTokens(request.promptTokens, request.expectedTokens))
        > maximumCacheOccupancy) {
        cost.secondsPerStage += congestedPenaltySeconds;
    }
    return {.target = held.target, .layers = held.layers, .cost = cost, .cachedTokens = cachedTokens};
}

void ChainRouter::sampleCandidates(const StageIndex &index,
                                   const Segment &segment,
                                   bool first,
                                   const RouteRequest &request,
                                   const CachedTokens &cached,
                                   std::vector<std::uint32_t> &sampled)
{
    const std::size_t before = sampled.size();
    const auto add = [&](std::uint32_t holding) {
        const RoutingTarget &target = m_targets[index.holdings()[holding].target];
        if (usable(target, request) && (!first || usableFirst(target, request))
            && std::find(sampled.begin() + static_cast<std::ptrdiff_t>(before), sampled.end(), holding)
                   == sampled.end()) {
            sampled.push_back(holding);
        }
    };
    const std::uint32_t requested = m_options.candidatesPerSegment;
    if (segment.holdings.size() > requested && !request.isolated) {
        for (std::uint32_t i = 0; i < requested * samplesPerCandidate && sampled.size() < before + requested; ++i) {
            add(StageIndex::sample(segment, m_random));
        }
    }
    // The few targets that have the prompt's prefix in their cache are always candidates.
    if (!cached.empty()) {
        for (const std::uint32_t holding : segment.holdings) {
            if (cached.contains(index.holdings()[holding].target)) {
                add(holding);
            }
        }
    }
    if (sampled.size() == before) {
        std::for_each(segment.holdings.begin(), segment.holdings.end(), add);
    }
}

Result<std::vector<ChainRouter::Candidate>, NoChainForModel>
ChainRouter::candidatesFor(const StageIndex &index, const RouteRequest &request, LayerRange layers, TimePoint now)
{
    const CachedTokens cached = cachedTokens(request, now);
    std::vector<std::uint32_t> sampled;
    LayerIndex covered = layers.first;
    for (const Segment &segment : index.segments()) {
        if (segment.layers.end <= layers.first || segment.layers.first >= layers.end) {
            continue;
        }
        const std::size_t before = sampled.size();
        sampleCandidates(index, segment, segment.layers.contains(layers.first), request, cached, sampled);
        if (segment.layers.first > covered || sampled.size() == before) {
            break;
        }
        covered = segment.layers.end;
    }
    if (covered < layers.end) {
        return NoChainForModel{.model = request.model,
                               .version = request.version,
                               .adapter = request.adapter,
                               .firstUncoveredLayer = covered};
    }
    std::sort(sampled.begin(), sampled.end());
    sampled.erase(std::unique(sampled.begin(), sampled.end()), sampled.end());
    std::vector<Candidate> candidates;
    candidates.reserve(sampled.size());
    for (const std::uint32_t holding : sampled) {
        const Holding &held = index.holdings()[holding];
        const auto tokens = cached.find(held.target);
        candidates.push_back(candidateFor(held, tokens == cached.end() ? TokenCount() : tokens->second, request, now));
    }
    return candidates;
}

RoutingDecision
ChainRouter::decide(const RouteRequest &request, LayerRange layers, const std::vector<Candidate> &candidates) const
{
    std::vector<StageCandidate> stageCandidates;
    stageCandidates.reserve(candidates.size());
    // There are few failure domains: a linear search is faster than a map.
    std::vector<FailureDomainId> domains{m_options.ownFailureDomain};
    for (const Candidate &candidate : candidates) {
        const FailureDomainId &domain = m_targets[candidate.target].speed().failureDomain;
        const auto known = std::ranges::find(domains, domain);
        const auto number = static_cast<std::uint32_t>(known - domains.begin());
        if (known == domains.end()) {
            domains.push_back(domain);
        }
        stageCandidates.push_back({.layers = candidate.layers,
                                   .secondsPerLayer = candidate.cost.secondsPerLayer,
                                   .secondsPerStage = candidate.cost.secondsPerStage,
                                   .domain = number,
                                   .mayBeFirst = usableFirst(m_targets[candidate.target], request)});
    }
    const DomainCrossingCost crossing{.firstDomain = 0,
                                      .secondsToEnter = request.secondsToEnterDomain,
                                      .secondsBetweenStages = request.secondsBetweenDomains};
    RoutingDecision decision{.job = request.job, .model = request.model, .candidates = candidates.size()};
    for (const SelectedStage &stage : cheapestChain(layers, stageCandidates, crossing)) {
        const Candidate &chosen = candidates[stage.candidate];
        StageDecision stageDecision{
            .stage = {.target = m_targets[chosen.target].id(), .layers = stage.layers},
            .seconds = chosen.cost.seconds(stage.layers),
            .openLayers = chosen.cost.openLayers,
            .cachedPrefixTokens = chosen.cachedTokens,
            .congested = m_targets[chosen.target].cacheOccupancy(
                             stage.layers, averageCachedTokens(request.promptTokens, request.expectedTokens))
                         > maximumCacheOccupancy,
            .awaitsPrompts = chosen.cost.awaitsPrompts};
        for (const Candidate &other : candidates) {
            if (&other != &chosen && other.layers.contains(stage.layers)) {
                stageDecision.alternatives.push_back(
                    {.target = m_targets[other.target].id(), .seconds = other.cost.seconds(stage.layers)});
            }
        }
        std::sort(stageDecision.alternatives.begin(),
                  stageDecision.alternatives.end(),
                  [](const auto &left, const auto &right) { return left.seconds < right.seconds; });
        stageDecision.alternatives.resize(std::min(stageDecision.alternatives.size(), maximumAlternatives));
        decision.seconds += stageDecision.seconds;
        decision.stages.push_back(std::move(stageDecision));
    }
    return decision;
}

Result<RoutingDecision, NoChainForModel>
ChainRouter::routeLayers(const RouteRequest &request, LayerRange layers, TimePoint now)
{
    const StageIndex &index = indexOf(request);
    auto candidates = candidatesFor(index, request, layers, now);
    if (const auto *failure = std::get_if<NoChainForModel>(&candidates)) {
        return *failure;
    }
    return decide(request, layers, std::get<std::vector<Candidate>>(candidates));
}

Result<RoutedChain, NoChainForModel> ChainRouter::route(const RouteRequest &request, TimePoint now)
{
    assert(request.layers > 0);
    auto decided = routeLayers(request, {LayerIndex(0), LayerIndex(request.layers)}, now);
    if (const auto *failure = std::get_if<NoChainForModel>(&decided)) {
        return *failure;
    }
    RoutedChain routed{.chain = {}, .decision = std::move(std::get<RoutingDecision>(decided))};
    for (const StageDecision &stage : routed.decision.stages) {
        routed.chain.stages.push_back(stage.stage);
    }
    assert(covers(routed.chain, request.layers));
    return routed;
}

Result<RoutedStages, NoChainForModel>
ChainRouter::replaceStage(const RouteRequest &request, LayerRange lost, TimePoint now)
{
    assert(!lost.empty());
    auto decided = routeLayers(request, lost, now);
    if (const auto *failure = std::get_if<NoChainForModel>(&decided)) {
        return *failure;
    }
    RoutedStages routed{.stages = {}, .decision = std::move(std::get<RoutingDecision>(decided))};
    routed.decision.replacement = true;
    for (const StageDecision &stage : routed.decision.stages) {
        routed.stages.push_back(stage.stage);
    }
    return routed;
}

} // namespace Carawaymill

#include "routing/ChainRouter.h"

#include "routing/CheapestChain.h"
#include "routing/MergeRanges.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Carawaymill {

/// A suspect target costs so much more that it is taken only where nobody else holds the layers.
static constexpr double suspectSeconds = 1e6;
/// For a job that runs alone: what one layer of another open stream costs.
static constexpr double disturbedLayerSeconds = 1e3;
/// Suspect targets are seldom drawn.
static constexpr double suspectWeight = 1e-6;
/// How often a draw is repeated for each candidate wished before all holders are looked at.
static constexpr std::uint32_t drawsPerCandidate = 4;
static constexpr std::size_t alternativesShown = 2;
/// A target without room for the job's KV cache is taken only where no other holds the layers: it would have to stop
/// other streams, or refuse the job.
static constexpr double crowdedSeconds = 1e3;
/// From this share of a target's KV cache on it has no room.
static constexpr double fullCache = 1;
/// A change of speed by less than this part leaves the drawing weights as they are.
static constexpr double negligibleChange = 0.1;

static bool differsMuch(double left, double right)
{
    return std::abs(left - right) > negligibleChange * std::max(left, right);
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
    if (entry.held() != held || differsMuch(entry.speed().layerTokensPerSecond, speed.layerTokensPerSecond)) {
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
                const double weight = speed * (suspect ? suspectWeight : 1);
                holdings.push_back({.target = slot, .layers = held.layers, .weight = weight});
            }
        }
    }
    return holdings;
}

const StageIndex &ChainRouter::indexOf(const RouteRequest &request)
{
    static const StageIndex nothing;
    const auto found = m_models.find({request.model, request.version, request.adapter});
    if (found == m_models.end()) {
        return nothing;
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

ChainRouter::CachedTokens ChainRouter::cachedTokens(const RouteRequest &request, TimePoint now) const
{
    CachedTokens cached;
    for (const PrefixHit &hit : m_prefixes.find(request.prefixes, now)) {
        if (const auto slot = m_slots.find(hit.target); slot != m_slots.end()) {
            // The last token of a prompt is always run, since its result begins the answer.
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
    StageCost cost = target.cost(
        {.tokens = tokens, .steps = request.expectedTokens.value() + 1, .activationBytes = request.activationBytes},
        now);
    if (target.availability() == TargetAvailability::Suspect) {
        cost.secondsPerStage += suspectSeconds;
    }
    if (request.isolated) {
        cost.secondsPerStage += cost.openLayers * disturbedLayerSeconds;
    }
    if (target.cacheOccupancy(held.layers, averageCachedTokens(request.promptTokens, request.expectedTokens))
        > fullCache) {
        cost.secondsPerStage += crowdedSeconds;
    }
    return {.target = held.target, .layers = held.layers, .cost = cost, .cachedTokens = cachedTokens};
}

void ChainRouter::drawCandidates(const StageIndex &index,
                                 const Segment &segment,
                                 const RouteRequest &request,
                                 const CachedTokens &cached,
                                 std::vector<std::uint32_t> &drawn)
{
    const std::size_t before = drawn.size();
    const auto add = [&](std::uint32_t holding) {
        if (usable(m_targets[index.holdings()[holding].target], request)
            && std::find(drawn.begin() + static_cast<std::ptrdiff_t>(before), drawn.end(), holding) == drawn.end()) {
            drawn.push_back(holding);
        }
    };
    const std::uint32_t wished = m_options.candidatesPerSegment;
    if (segment.holdings.size() > wished && !request.isolated) {
        for (std::uint32_t i = 0; i < wished * drawsPerCandidate && drawn.size() < before + wished; ++i) {
            add(StageIndex::draw(segment, m_random));
        }
    }
    // The few targets that have the prompt's prefix in their cache always take part.
    if (!cached.empty()) {
        for (const std::uint32_t holding : segment.holdings) {
            if (cached.contains(index.holdings()[holding].target)) {
                add(holding);
            }
        }
    }
    if (drawn.size() == before) {
        std::for_each(segment.holdings.begin(), segment.holdings.end(), add);
    }
}

Result<std::vector<ChainRouter::Candidate>, NoChainForModel>
ChainRouter::candidatesFor(const StageIndex &index, const RouteRequest &request, LayerRange layers, TimePoint now)
{
    const CachedTokens cached = cachedTokens(request, now);
    std::vector<std::uint32_t> drawn;
    LayerIndex covered = layers.first;
    for (const Segment &segment : index.segments()) {
        if (segment.layers.end <= layers.first || segment.layers.first >= layers.end) {
            continue;
        }
        const std::size_t before = drawn.size();
        drawCandidates(index, segment, request, cached, drawn);
        if (segment.layers.first > covered || drawn.size() == before) {
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
    std::sort(drawn.begin(), drawn.end());
    drawn.erase(std::unique(drawn.begin(), drawn.end()), drawn.end());
    std::vector<Candidate> candidates;
    candidates.reserve(drawn.size());
    for (const std::uint32_t holding : drawn) {
        const Holding &held = index.holdings()[holding];
        const auto tokens = cached.find(held.target);
        candidates.push_back(candidateFor(held, tokens == cached.end() ? TokenCount() : tokens->second, request, now));
    }
    return candidates;
}

RoutingDecision
ChainRouter::decide(const RouteRequest &request, LayerRange layers, const std::vector<Candidate> &candidates) const
{
    std::vector<StageCandidate> offers;
    offers.reserve(candidates.size());
    // Few failure domains: a search through a list is quicker than a map.
    std::vector<FailureDomainId> domains{m_options.ownFailureDomain};
    for (const Candidate &candidate : candidates) {
        const FailureDomainId &domain = m_targets[candidate.target].speed().failureDomain;
        const auto known = std::ranges::find(domains, domain);
        const auto number = static_cast<std::uint32_t>(known - domains.begin());
        if (known == domains.end()) {
            domains.push_back(domain);
        }
        offers.push_back({.layers = candidate.layers,
                          .secondsPerLayer = candidate.cost.secondsPerLayer,
                          .secondsPerStage = candidate.cost.secondsPerStage,
                          .domain = number});
    }
    const DomainCrossingCost crossing{.firstDomain = 0,
                                      .secondsToEnter = request.secondsToEnterDomain,
                                      .secondsBetweenStages = request.secondsBetweenDomains};
    RoutingDecision decision{.job = request.job, .model = request.model, .candidates = candidates.size()};
    for (const SelectedStage &stage : cheapestChain(layers, offers, crossing)) {
        const Candidate &chosen = candidates[stage.offer];
        StageDecision why{.stage = {.target = m_targets[chosen.target].id(), .layers = stage.layers},
                          .seconds = chosen.cost.seconds(stage.layers),
                          .openLayers = chosen.cost.openLayers,
                          .cachedPrefixTokens = chosen.cachedTokens,
                          .congested =
                              m_targets[chosen.target].cacheOccupancy(
                                  stage.layers, averageCachedTokens(request.promptTokens, request.expectedTokens))
                              > fullCache};
        for (const Candidate &other : candidates) {
            if (&other != &chosen && other.layers.contains(stage.layers)) {
                why.alternatives.push_back(
                    {.target = m_targets[other.target].id(), .seconds = other.cost.seconds(stage.layers)});
            }
        }
        std::sort(why.alternatives.begin(), why.alternatives.end(), [](const auto &left, const auto &right) {
            return left.seconds < right.seconds;
        });
        why.alternatives.resize(std::min(why.alternatives.size(), alternativesShown));
        decision.seconds += why.seconds;
        decision.stages.push_back(std::move(why));
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

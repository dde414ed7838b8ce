#include "routing/ChainRouter.h"

#include "routing/CheapestChain.h"

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
/// A change of speed by less than this part leaves the drawing weights as they are.
static constexpr double negligibleChange = 0.1;

static double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

static bool differsMuch(double left, double right)
{
    return std::abs(left - right) > negligibleChange * std::max(left, right);
}

ChainRouter::ChainRouter(ChainRouterOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

std::uint32_t ChainRouter::slotOf(const TargetId &target)
{
    const auto [found, added] = m_slots.try_emplace(target, static_cast<std::uint32_t>(m_targets.size()));
    if (added) {
        m_targets.push_back({.id = target});
    }
    return found->second;
}

ChainRouter::Target *ChainRouter::find(const TargetId &target)
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

void ChainRouter::updateTarget(const TargetId &target, TargetSpeed speed, std::vector<HeldRange> held)
{
    Target &entry = m_targets[slotOf(target)];
    if (!entry.known || entry.held != held
        || differsMuch(entry.speed.layerTokensPerSecond, speed.layerTokensPerSecond)) {
        markOutdated(entry.held);
        markOutdated(held);
    }
    double layers = 0;
    for (const HeldRange &range : held) {
        layers += range.layers.size();
    }
    entry.known = true;
    entry.layersPerStream = held.empty() ? 0 : layers / static_cast<double>(held.size());
    entry.speed = std::move(speed);
    entry.held = std::move(held);
}

void ChainRouter::removeTarget(const TargetId &target)
{
    if (Target *entry = find(target)) {
        markOutdated(entry->held);
        // The place stays the target's own, since its streams may end after it was removed.
        entry->known = false;
        entry->held.clear();
        entry->otherStreams = 0;
        entry->availability = TargetAvailability::Available;
    }
}

void ChainRouter::setAvailable(const TargetId &target, TargetAvailability availability)
{
    if (Target *entry = find(target); entry && entry->availability != availability) {
        entry->availability = availability;
        markOutdated(entry->held);
    }
}

void ChainRouter::loadReported(const TargetId &target, const LoadReport &report, TimePoint now)
{
    if (Target *entry = find(target)) {
        const double reported = report.queuedSteps + report.runningSteps;
        // Our own streams are counted exactly, so that only the others' are taken from the report.
        entry->otherStreams = std::max(0.0, reported - entry->ownStreams);
        entry->reportedAt = now;
    }
}

void ChainRouter::stepStarted(const ChainStage &stage)
{
    Target &entry = m_targets[slotOf(stage.target)];
    entry.ownLayers += stage.layers.size();
    entry.ownStreams += 1;
}

void ChainRouter::stepEnded(const ChainStage &stage)
{
    if (Target *entry = find(stage.target)) {
        entry->ownLayers = std::max(0.0, entry->ownLayers - stage.layers.size());
        entry->ownStreams = std::max(0.0, entry->ownStreams - 1);
    }
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
        std::vector<Holding> holdings;
        for (std::uint32_t slot = 0; slot < m_targets.size(); ++slot) {
            const Target &target = m_targets[slot];
            const bool suspect = target.availability == TargetAvailability::Suspect;
            if ((!suspect && target.availability != TargetAvailability::Available)
                || target.speed.layerTokensPerSecond <= 0) {
                continue;
            }
            for (const HeldRange &held : target.held) {
                if (ModelKey(held.model, held.version, held.adapter) == key) {
                    const double weight = target.speed.layerTokensPerSecond * (suspect ? suspectWeight : 1);
                    holdings.push_back({.target = slot, .layers = held.layers, .weight = weight});
                }
            }
        }
        model.index = StageIndex(std::move(holdings));
        model.outdated = false;
    }
    return model.index;
}

bool ChainRouter::usable(const Target &target, const RouteRequest &request) const
{
    return request.excludedTargets.empty() || !request.excludedTargets.contains(target.id);
}

ChainRouter::Candidate ChainRouter::candidateFor(const StageIndex &index,
                                                 std::uint32_t holding,
                                                 const RouteRequest &request,
                                                 TimePoint now) const
{
    const Holding &held = index.holdings()[holding];
    const Target &target = m_targets[held.target];
    const bool reportValid = now - target.reportedAt <= m_options.loadReportLifetime;
    const double otherStreams = reportValid ? target.otherStreams : 0;
    const double openLayers = target.ownLayers + otherStreams * target.layersPerStream;
    const auto generated = static_cast<double>(request.expectedTokens.value());
    const double tokens = generated + static_cast<double>(request.promptTokens.value());

    // Streams share a target and its link, so that each token waits for one token of every other open stream.
    const double secondsPerLayer = tokens / target.speed.layerTokensPerSecond;
    double secondsPerStage = openLayers * secondsPerLayer;
    if (target.speed.linkBytesPerSecond > 0) {
        const double bothWays = 2.0 * static_cast<double>(request.activationBytes.value());
        const double streams = 1 + target.ownStreams + otherStreams;
        secondsPerStage += tokens * streams * bothWays / target.speed.linkBytesPerSecond;
    }
    const bool sameRegion = target.speed.region == m_options.ownRegion;
    const Duration delay = target.speed.linkDelay + (sameRegion ? Duration::zero() : m_options.otherRegionDelay);
    secondsPerStage += 2 * seconds(delay) * (generated + 1);
    if (target.availability == TargetAvailability::Suspect) {
        secondsPerStage += suspectSeconds;
    }
    if (request.runAlone) {
        secondsPerStage += openLayers * disturbedLayerSeconds;
    }
    return {.holding = holding,
            .target = held.target,
            .layers = held.layers,
            .secondsPerLayer = secondsPerLayer,
            .secondsPerStage = secondsPerStage,
            .openLayers = openLayers};
}

void ChainRouter::drawCandidates(const StageIndex &index,
                                 const Segment &segment,
                                 const RouteRequest &request,
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
    if (segment.holdings.size() > wished && !request.runAlone) {
        for (std::uint32_t i = 0; i < wished * drawsPerCandidate && drawn.size() < before + wished; ++i) {
            add(StageIndex::draw(segment, m_random));
        }
    }
    if (drawn.size() == before) {
        std::for_each(segment.holdings.begin(), segment.holdings.end(), add);
    }
}

Result<std::vector<ChainRouter::Candidate>, NoChainForModel>
ChainRouter::candidatesFor(const StageIndex &index, const RouteRequest &request, LayerRange layers, TimePoint now)
{
    std::vector<std::uint32_t> drawn;
    LayerIndex covered = layers.first;
    for (const Segment &segment : index.segments()) {
        if (segment.layers.end <= layers.first || segment.layers.first >= layers.end) {
            continue;
        }
        const std::size_t before = drawn.size();
        drawCandidates(index, segment, request, drawn);
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
        candidates.push_back(candidateFor(index, holding, request, now));
    }
    return candidates;
}

RoutingDecision
ChainRouter::decide(const RouteRequest &request, LayerRange layers, const std::vector<Candidate> &candidates) const
{
    std::vector<StageOffer> offers;
    offers.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        offers.push_back({.layers = candidate.layers,
                          .secondsPerLayer = candidate.secondsPerLayer,
                          .secondsPerStage = candidate.secondsPerStage});
    }
    const auto cost = [](const Candidate &candidate, LayerRange range) {
        return candidate.secondsPerStage + candidate.secondsPerLayer * range.size();
    };
    RoutingDecision decision{.job = request.job, .model = request.model, .candidates = candidates.size()};
    for (const OfferedStage &stage : cheapestChain(layers, offers)) {
        const Candidate &chosen = candidates[stage.offer];
        StageDecision why{.stage = {.target = m_targets[chosen.target].id, .layers = stage.layers},
                          .seconds = cost(chosen, stage.layers),
                          .openLayers = chosen.openLayers};
        for (const Candidate &other : candidates) {
            if (other.holding != chosen.holding && other.layers.contains(stage.layers)) {
                why.alternatives.push_back(
                    {.target = m_targets[other.target].id, .seconds = cost(other, stage.layers)});
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

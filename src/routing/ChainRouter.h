#pragma once

#include "routing/PrefixIndex.h"
#include "routing/RoutingMessages.h"
#include "routing/RoutingTarget.h"
#include "routing/StageIndex.h"
#include "support/Random.h"

#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Carawaymill {

struct ChainRouterOptions
{
    std::uint64_t seed = 0;
    FailureDomainId ownFailureDomain;
    RegionId ownRegion;
    /// Candidates drawn for each run of layers; more find a cheaper chain, fewer keep hosts that see the same lagging
    /// reports from all choosing the same target.
    std::uint32_t candidatesPerSegment = 3;
    /// The delay, one way, that a target has whose `linkDelay` is zero because it has not been measured.
    Duration otherRegionDelay = std::chrono::milliseconds(30);
    Duration otherFailureDomainDelay = std::chrono::microseconds(500);
    Duration sameFailureDomainDelay = std::chrono::microseconds(100);
    RoutingTargetOptions targets;
    PrefixIndexOptions prefixes;
};

/// What a stream takes up in the KV cache on average over its life. An answer grows evenly, and the streams of a target
/// are at different points of theirs.
[[nodiscard]] TokenCount averageCachedTokens(TokenCount prompt, TokenCount answer);

/// Chooses the chains of targets that run jobs.
///
/// For each run of layers a few holders are drawn at random, in proportion to their speed; among these the cheapest
/// chain is found by dynamic programming over the layers. The cost of a stage is the time that the job is expected to
/// spend on it: running, waiting behind other streams, and transfer of activations.
class ChainRouter
{
public:
    explicit ChainRouter(ChainRouterOptions options);

    /// Adds a target, or replaces what is known of its speed and of the layers that it holds.
    void updateTarget(const TargetId &target, TargetSpeed speed, std::vector<HeldRange> held);

    /// Forgets a target.
    void removeTarget(const TargetId &target);

    /// A target that is not known is left unknown.
    void setAvailability(const TargetId &target, TargetAvailability availability);

    /// Takes in a load report, which includes this host's own streams as they were some time ago.
    void applyLoadReport(const TargetId &target, const LoadReport &report, TimePoint now);

    /// Where hosts tell each other their load, replaces what is known of the others' load on a target.
    void setOtherHostsLoad(const TargetId &target, const StreamLoad &load);

    /// What this host's own streams take up on its targets; targets without any are left out.
    [[nodiscard]] std::map<TargetId, StreamLoad> ownLoads() const;

    /// A stage of a job has been given to its target: from now on it counts as load there. `tokens`: prompt and answer
    /// as far as they take up KV cache.
    void stageStarted(const ChainStage &stage, TokenCount tokens = {});

    /// A step on the stage was answered in time `took`, from sending to answer. Corrects the target's expected cost, so
    /// that work moves away from a target or link that has become slow.
    void recordStepDuration(const ChainStage &stage, const StageWork &work, Duration took, TimePoint now);

    /// The stage's work is over, whatever its outcome. Called once for each `stageStarted`.
    void stageEnded(const ChainStage &stage, TokenCount tokens = {});

    /// What is known of the targets' prefix caches. Whoever drives the router feeds it with cache events.
    [[nodiscard]] PrefixIndex &prefixes() { return m_prefixes; }

    /// The chain for a whole model.
    [[nodiscard]] Result<RoutedChain, NoChainForModel> route(const RouteRequest &request, TimePoint now);

    /// Covers `lost`, the layers of a dead stage, by one or several targets, while the rest of the chain stays.
    /// The dead target must be among the request's `excludedTargets`, or be known as dead.
    [[nodiscard]] Result<RoutedStages, NoChainForModel>
    replaceStage(const RouteRequest &request, LayerRange lost, TimePoint now);

private:
    using ModelKey = std::tuple<ModelId, std::string, std::string>;

    struct Model
    {
        StageIndex index;
        bool outdated = true;
    };

    /// A holding that takes part in the choice.
    struct Candidate
    {
        std::uint32_t target = 0;
        LayerRange layers;
        StageCost cost;
        TokenCount cachedTokens;
    };

    /// Prompt tokens that a target, by its place in the table, has in its cache.
    using CachedTokens = std::unordered_map<std::uint32_t, TokenCount>;

    [[nodiscard]] std::uint32_t slotOf(const TargetId &target);
    [[nodiscard]] RoutingTarget *find(const TargetId &target);
    [[nodiscard]] TargetSpeed withDelay(TargetSpeed speed) const;
    [[nodiscard]] std::vector<Holding> holdingsOf(const ModelKey &key) const;
    void markOutdated(const std::vector<HeldRange> &held);
    [[nodiscard]] const StageIndex &indexOf(const RouteRequest &request);
    [[nodiscard]] static bool usable(const RoutingTarget &target, const RouteRequest &request);
    [[nodiscard]] CachedTokens cachedTokens(const RouteRequest &request, TimePoint now) const;
    [[nodiscard]] Candidate
    candidateFor(const Holding &held, TokenCount cachedTokens, const RouteRequest &request, TimePoint now) const;
    void drawCandidates(const StageIndex &index,
                        const Segment &segment,
                        const RouteRequest &request,
                        const CachedTokens &cached,
                        std::vector<std::uint32_t> &drawn);
    [[nodiscard]] Result<std::vector<Candidate>, NoChainForModel>
    candidatesFor(const StageIndex &index, const RouteRequest &request, LayerRange layers, TimePoint now);
    [[nodiscard]] RoutingDecision
    decide(const RouteRequest &request, LayerRange layers, const std::vector<Candidate> &candidates) const;
    [[nodiscard]] Result<RoutingDecision, NoChainForModel>
    routeLayers(const RouteRequest &request, LayerRange layers, TimePoint now);

    ChainRouterOptions m_options;
    Random m_random;
    PrefixIndex m_prefixes;
    std::vector<RoutingTarget> m_targets;
    std::unordered_map<TargetId, std::uint32_t> m_slots;
    std::map<ModelKey, Model> m_models;
};

} // namespace Carawaymill

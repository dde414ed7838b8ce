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
    /// Number of candidates sampled for each segment. More candidates give cheaper chains; fewer make it less likely
    /// that several hosts with the same delayed load reports all choose the same target.
    std::uint32_t candidatesPerSegment = 3;
    /// One-way link delays that are assumed for a target whose `linkDelay` is zero, that is, not measured.
    Duration otherRegionDelay = std::chrono::milliseconds(30);
    Duration otherFailureDomainDelay = std::chrono::microseconds(500);
    Duration sameFailureDomainDelay = std::chrono::microseconds(100);
    RoutingTargetOptions targets;
    PrefixIndexOptions prefixes;
};

/// Average number of tokens that a stream keeps in the KV cache while it is open: the prompt and half of the answer. An
/// answer grows evenly, and the streams of one target are at different points of their answers.
[[nodiscard]] TokenCount averageCachedTokens(TokenCount prompt, TokenCount answer);

/// Chooses the chains of targets that run jobs.
///
/// For each segment of layers a few of the targets that hold it are sampled, with probabilities proportional to their
/// speed. The cheapest chain of these candidates is found by dynamic programming over the layers. The cost of a stage
/// is the time that the job is expected to spend on it: computation, waiting for other streams, and transfer of
/// activations.
class ChainRouter
{
public:
    explicit ChainRouter(ChainRouterOptions options);

    /// A router that chooses the same chains next for requests without prefixes, and shares no state with this one. It
    /// knows no prefixes, whose table may be large.
    [[nodiscard]] ChainRouter copyWithoutPrefixes() const;

    /// Adds a target, or replaces its speed and the layers that it holds.
    void updateTarget(const TargetId &target, TargetSpeed speed, std::vector<HeldRange> held);

    /// Removes a target from routing. Streams that this host still has open there continue to be counted.
    void removeTarget(const TargetId &target);

    /// Does nothing if the target is not known.
    void setAvailability(const TargetId &target, TargetAvailability availability);

    /// Multiplies the target's costs by `pace`: how much slower than usual it runs. Does nothing if it is not known.
    void setPace(const TargetId &target, double pace);

    /// Updates the target's estimated load. The report includes this host's own streams, and is delayed.
    void applyLoadReport(const TargetId &target, const LoadReport &report, TimePoint now);

    /// Replaces the load of all other hosts on a target. Used in deployments where hosts exchange their load.
    void setOtherHostsLoad(const TargetId &target, const StreamLoad &load);

    /// Load of this host's own streams by target. Targets without open streams of this host are left out.
    [[nodiscard]] std::map<TargetId, StreamLoad> ownLoads() const;

    /// Counts a stage of a job as load on its target, from when the stage is sent there. `tokens` is the number of
    /// prompt and answer tokens that it keeps in the KV cache.
    void stageStarted(const ChainStage &stage, TokenCount tokens = {});

    /// Records that a step on the stage took `took`, from sending the request to its response. Corrects the target's
    /// expected cost, so that new jobs avoid a target or link that has become slow.
    void recordStepDuration(const ChainStage &stage, const StageWork &work, Duration took, TimePoint now);

    /// Stops counting the stage as load, whatever its outcome. Called once for each `stageStarted`, with the same
    /// tokens.
    void stageEnded(const ChainStage &stage, TokenCount tokens = {});

    /// Counts a prompt that was sent to the stage's target, until it is read there or not needed any more. Both are
    /// called with the same tokens.
    void promptSent(const ChainStage &stage, TokenCount tokens);
    void promptRead(const ChainStage &stage, TokenCount tokens);

    /// Null if the target was never added.
    [[nodiscard]] const RoutingTarget *target(const TargetId &target) const;

    /// Estimated content of the targets' prefix caches. The owner of the router passes cache events to it.
    [[nodiscard]] PrefixIndex &prefixes() { return m_prefixes; }

    /// Chooses a chain that covers all layers of the model.
    [[nodiscard]] Result<RoutedChain, NoChainForModel> route(const RouteRequest &request, TimePoint now);

    /// Chooses one or more stages that cover `lost`, the layers of a failed stage; the rest of the chain is kept.
    /// The failed target must be in the request's `excludedTargets` or have the availability `Dead`.
    [[nodiscard]] Result<RoutedStages, NoChainForModel>
    replaceStage(const RouteRequest &request, LayerRange lost, TimePoint now);

private:
    using ModelKey = std::tuple<ModelId, std::string, std::string>;

    struct Model
    {
        StageIndex index;
        bool outdated = true;
    };

    /// A held range that the choice of the chain considers, with its cost for this request.
    struct Candidate
    {
        std::uint32_t target = 0;
        LayerRange layers;
        StageCost cost;
        TokenCount cachedTokens;
    };

    /// Number of the prompt's tokens in each target's cache, by the target's position in `m_targets`.
    using CachedTokens = std::unordered_map<std::uint32_t, TokenCount>;

    [[nodiscard]] std::uint32_t slotOf(const TargetId &target);
    [[nodiscard]] RoutingTarget *find(const TargetId &target);
    [[nodiscard]] TargetSpeed withDelay(TargetSpeed speed) const;
    [[nodiscard]] std::vector<Holding> holdingsOf(const ModelKey &key) const;
    void markOutdated(const std::vector<HeldRange> &held);
    [[nodiscard]] const StageIndex &indexOf(const RouteRequest &request);
    /// Whether the request allows the target, or allows it as the first one.
    [[nodiscard]] static bool usable(const RoutingTarget &target, const RouteRequest &request);
    [[nodiscard]] static bool usableFirst(const RoutingTarget &target, const RouteRequest &request);
    [[nodiscard]] CachedTokens cachedTokens(const RouteRequest &request, TimePoint now) const;
    [[nodiscard]] Candidate
    candidateFor(const Holding &held, TokenCount cachedTokens, const RouteRequest &request, TimePoint now) const;
    /// `first`: whether a stage that covers the segment is the first one.
    void sampleCandidates(const StageIndex &index,
                          const Segment &segment,
                          bool first,
                          const RouteRequest &request,
                          const CachedTokens &cached,
                          std::vector<std::uint32_t> &sampled);
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

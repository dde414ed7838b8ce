#pragma once

#include "routing/RoutingMessages.h"
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
    /// Added to a target's delay, one way, when it is in another region and no delay has been measured.
    Duration otherRegionDelay = std::chrono::milliseconds(30);
    /// A load report older than this counts for nothing.
    Duration loadReportLifetime = std::chrono::seconds(10);
};

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
    void setAvailable(const TargetId &target, TargetAvailability availability);

    /// Takes in a load report, which includes this host's own streams as they were some time ago.
    void loadReported(const TargetId &target, const LoadReport &report, TimePoint now);

    /// A stage of a job has been given to its target: from now on it counts as load there.
    void stepStarted(const ChainStage &stage);

    /// The stage's work is over, whatever its outcome. Called once for each `stepStarted`.
    void stepEnded(const ChainStage &stage);

    /// The chain for a whole model.
    [[nodiscard]] Result<RoutedChain, NoChainForModel> route(const RouteRequest &request, TimePoint now);

    /// Covers `lost`, the layers of a dead stage, by one or several targets, while the rest of the chain stays.
    /// The dead target must be among the request's `excludedTargets`, or be known as dead.
    [[nodiscard]] Result<RoutedStages, NoChainForModel>
    replaceStage(const RouteRequest &request, LayerRange lost, TimePoint now);

private:
    using ModelKey = std::tuple<ModelId, std::string, std::string>;

    struct Target
    {
        TargetId id;
        bool known = false;
        TargetSpeed speed;
        std::vector<HeldRange> held;
        TargetAvailability availability = TargetAvailability::Available;
        /// Layers and streams that this host has open on the target.
        double ownLayers = 0;
        double ownStreams = 0;
        /// Streams of other hosts, by the last report.
        double otherStreams = 0;
        /// Layers that a stream takes on the target on average, as far as can be known.
        double layersPerStream = 0;
        TimePoint reportedAt{};
    };

    struct Model
    {
        StageIndex index;
        bool outdated = true;
    };

    /// A holding that takes part in the choice, with its costs in seconds.
    struct Candidate
    {
        std::uint32_t holding = 0;
        std::uint32_t target = 0;
        LayerRange layers;
        double secondsPerLayer = 0;
        double secondsPerStage = 0;
        double openLayers = 0;
    };

    [[nodiscard]] std::uint32_t slotOf(const TargetId &target);
    [[nodiscard]] Target *find(const TargetId &target);
    void markOutdated(const std::vector<HeldRange> &held);
    [[nodiscard]] const StageIndex &indexOf(const RouteRequest &request);
    [[nodiscard]] bool usable(const Target &target, const RouteRequest &request) const;
    [[nodiscard]] Candidate
    candidateFor(const StageIndex &index, std::uint32_t holding, const RouteRequest &request, TimePoint now) const;
    void drawCandidates(const StageIndex &index,
                        const Segment &segment,
                        const RouteRequest &request,
                        std::vector<std::uint32_t> &drawn);
    [[nodiscard]] Result<std::vector<Candidate>, NoChainForModel>
    candidatesFor(const StageIndex &index, const RouteRequest &request, LayerRange layers, TimePoint now);
    [[nodiscard]] RoutingDecision
    decide(const RouteRequest &request, LayerRange layers, const std::vector<Candidate> &candidates) const;
    [[nodiscard]] Result<RoutingDecision, NoChainForModel>
    routeLayers(const RouteRequest &request, LayerRange layers, TimePoint now);

    ChainRouterOptions m_options;
    Random m_random;
    std::vector<Target> m_targets;
    std::unordered_map<TargetId, std::uint32_t> m_slots;
    std::map<ModelKey, Model> m_models;
};

} // namespace Carawaymill

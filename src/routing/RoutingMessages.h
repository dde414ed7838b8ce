#pragma once

#include "catalogue/Records.h"
#include "routing/Chain.h"
#include "support/Time.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

/// Stable hash of the first tokens of a prompt up to the end of one cache block, under one model, version and adapter.
using PrefixFingerprint = StrongType<struct PrefixFingerprintTag, std::uint64_t>;

/// Layers of one model that a target has loaded. It can run any sub-range of them.
struct HeldRange
{
    TargetId target;
    ModelId model;
    std::string version;
    std::string adapter;
    LayerRange layers;

    friend bool operator==(const HeldRange &, const HeldRange &) = default;
};

/// How fast a target and its link are, and where it stands.
struct TargetSpeed
{
    /// Layers that the target runs for one token in one second, with full batches.
    double layerTokensPerSecond = 0;
    /// What each other open stream adds to a stream's time, as a part of the time that it takes alone; 1 where streams
    /// take turns, less where steps are made for several of them together.
    double costPerOtherStream = 1;
    /// Tokens times layers whose KV cache fits beside the layers that are held; 0 when it is not known.
    double cacheLayerTokens = 0;
    double linkBytesPerSecond = 0;
    /// One way, from this host.
    Duration linkDelay{};
    FailureDomainId failureDomain;
    RegionId region;

    friend bool operator==(const TargetSpeed &, const TargetSpeed &) = default;
};

/// What may be asked of a target.
enum class TargetAvailability {
    Available,
    /// Finishes what it has, and gets no new work.
    Leaving,
    /// Used only for layers that no available target holds.
    Suspect,
    Dead,
};

/// What a target says of its own load. It lags behind the truth.
struct LoadReport
{
    std::uint32_t queuedSteps = 0;
    std::uint32_t runningSteps = 0;
    ByteCount freeCacheBytes;
};

/// What streams of all other hosts take up on a target.
struct StreamLoad
{
    double openLayers = 0;
    double cacheLayerTokens = 0;
};

/// Asks for a chain for one attempt of one job.
struct RouteRequest
{
    JobId job;
    ModelId model;
    std::string version;
    std::string adapter;
    /// Number of layers of the model.
    std::uint32_t layers = 0;
    JobClass jobClass = JobClass::Standard;
    TokenCount promptTokens;
    /// Tokens that the answer will probably have.
    TokenCount expectedTokens = TokenCount(128);
    /// Size of one token's activation between two layers.
    ByteCount activationBytes;
    /// Seconds that the job loses when its first stage is in another failure domain than this host.
    double secondsToEnterDomain = 0;
    /// Seconds that the job loses for each pair of neighbouring stages in different failure domains.
    double secondsBetweenDomains = 0;
    /// Fingerprints of the prompt's prefixes, shortest first; empty when not known.
    std::vector<PrefixFingerprint> prefixes;
    std::set<TargetId> excludedTargets;
    /// The job is suspected of crashing targets: choose those where it disturbs the fewest other jobs.
    bool isolated = false;
};

/// No usable target holds `firstUncoveredLayer` of the model.
struct NoChainForModel
{
    ModelId model;
    std::string version;
    std::string adapter;
    LayerIndex firstUncoveredLayer;

    friend bool operator==(const NoChainForModel &, const NoChainForModel &) = default;
};

/// What a target would have cost for the same layers.
struct RoutingAlternative
{
    TargetId target;
    /// Expected seconds that the job spends on the stage, waiting and transfer included.
    double seconds = 0;
};

/// Why one stage went to its target.
struct StageDecision
{
    ChainStage stage;
    /// Expected seconds that the job spends on the stage, waiting and transfer included.
    double seconds = 0;
    /// Layers of other open streams that the target is believed to have.
    double openLayers = 0;
    TokenCount cachedPrefixTokens;
    /// The target's KV cache has no room for the job beside the streams that are open there.
    bool congested = false;
    /// The cheapest other candidates that hold all layers of the stage.
    std::vector<RoutingAlternative> alternatives;
};

/// Why a chain was chosen.
struct RoutingDecision
{
    JobId job;
    ModelId model;
    std::vector<StageDecision> stages;
    /// Expected seconds of the whole chain.
    double seconds = 0;
    /// Layer ranges that were weighed against each other.
    std::size_t candidates = 0;
    /// The chain repairs a lost stage of an earlier one.
    bool replacement = false;
};

/// A chain for a whole model.
struct RoutedChain
{
    Chain chain;
    RoutingDecision decision;
};

/// Stages that take the place of a lost stage.
struct RoutedStages
{
    std::vector<ChainStage> stages;
    RoutingDecision decision;
};

/// One line for the log.
[[nodiscard]] std::string describe(const RoutingDecision &decision);
[[nodiscard]] std::string describe(const NoChainForModel &failure);

} // namespace Carawaymill

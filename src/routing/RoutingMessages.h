#pragma once

#include "catalogue/Records.h"
#include "routing/Chain.h"
#include "support/Time.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

/// Stable hash of the prompt tokens from the first one to the end of a cache block, for one model, version and adapter.
using PrefixFingerprint = StrongType<struct PrefixFingerprintTag, std::uint64_t>;

/// Layers of one model that a target has loaded. The target can run any sub-range of them.
struct HeldRange
{
    TargetId target;
    ModelId model;
    std::string version;
    std::string adapter;
    LayerRange layers;

    friend bool operator==(const HeldRange &, const HeldRange &) = default;
};

/// Speed of a target and of its link, and its location.
struct TargetSpeed
{
    /// Tokens per second times layers that the target runs with full batches.
    double layerTokensPerSecond = 0;
    /// Fraction of a stream's own computation time that each other open stream on the target adds to it: 1 where
    /// streams run one after another, less where the engine batches steps of several streams.
    double costPerOtherStream = 1;
    /// Size of the KV cache in tokens times layers, beside the held layers; 0 when it is not known.
    double cacheLayerTokens = 0;
    /// Prompt tokens times layers that the target reads in a second; 0 when it is not known.
    double promptLayerTokensPerSecond = 0;
    double linkBytesPerSecond = 0;
    /// One-way delay from this host; zero when not measured.
    Duration linkDelay{};
    FailureDomainId failureDomain;
    RegionId region;

    friend bool operator==(const TargetSpeed &, const TargetSpeed &) = default;
};

/// Which work a target can be given.
enum class TargetAvailability {
    Available,
    /// Finishes its open streams and gets no new ones.
    Leaving,
    /// Used only for layers that no available target holds.
    Suspect,
    Dead,
};

/// A target's report of its own load. It is delayed.
struct LoadReport
{
    std::uint32_t queuedSteps = 0;
    std::uint32_t runningSteps = 0;
    ByteCount freeCacheBytes;
};

/// Load that a group of open streams puts on a target: those of this host, or those of all other hosts.
struct StreamLoad
{
    /// Sum of the layers of the open streams.
    double openLayers = 0;
    /// KV cache that the streams use, in tokens times layers.
    double cacheLayerTokens = 0;
    /// Prompts that the target has not read yet, in tokens times layers.
    double unreadLayerTokens = 0;
};

/// Request for a chain, for one attempt of one job.
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
    /// Expected number of tokens of the answer.
    TokenCount expectedTokens = TokenCount(128);
    /// Size of one token's activation between two layers.
    ByteCount activationBytes;
    /// Added cost in seconds when the first stage is in a different failure domain than this host.
    double secondsToEnterDomain = 0;
    /// Added cost in seconds for each pair of neighbouring stages in different failure domains.
    double secondsBetweenDomains = 0;
    /// Fingerprints of the prompt's prefixes, shortest first; empty when not known.
    std::vector<PrefixFingerprint> prefixes;
    std::set<TargetId> excludedTargets;
    /// Targets that may run any stage but the first.
    std::set<TargetId> excludedFirstTargets;
    /// A prompt that a target reads for longer is long there: it avoids targets with many open streams, and targets
    /// with unread prompts that would take longer together with it. No prompt is long when this is zero.
    Duration longPromptRead{};
    /// The job may crash the targets that run it: choose targets with as few other open streams as possible.
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

/// A target that was not chosen for a stage, and its cost for the same layers.
struct RoutingAlternative
{
    TargetId target;
    /// Expected seconds that the job spends on the stage, waiting and transfer included.
    double seconds = 0;
};

/// Why a target was chosen for a stage.
struct StageDecision
{
    ChainStage stage;
    /// Expected seconds that the job spends on the stage, waiting and transfer included.
    double seconds = 0;
    /// Estimated sum of the layers of other open streams on the target.
    double openLayers = 0;
    TokenCount cachedPrefixTokens;
    /// The target's KV cache has no capacity for the job beside the streams that are open there.
    bool congested = false;
    /// The prompt is long, and the target has other prompts to read before it.
    bool awaitsPrompts = false;
    /// The cheapest other candidates that hold all layers of the stage, cheapest first.
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
    /// Number of held ranges that were considered.
    std::size_t candidates = 0;
    /// The stages replace a failed stage of an existing chain.
    bool replacement = false;
};

/// A chain for all layers of a model, and why it was chosen.
struct RoutedChain
{
    Chain chain;
    RoutingDecision decision;
};

/// Stages that replace a failed stage, and why they were chosen.
struct RoutedStages
{
    std::vector<ChainStage> stages;
    RoutingDecision decision;
};

/// One line for the log.
[[nodiscard]] std::string describe(const RoutingDecision &decision);
[[nodiscard]] std::string describe(const NoChainForModel &failure);

} // namespace Carawaymill

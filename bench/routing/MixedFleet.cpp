#include "routing/MixedFleet.h"

#include "support/Random.h"

#include <array>
#include <cmath>

namespace Carawaymill {

struct AcceleratorKind
{
    double layerTokensPerSecond = 0;
    std::uint64_t layers = 0;
};

static constexpr std::array<AcceleratorKind, 7> kinds{
    {{20'000, 6}, {30'000, 8}, {40'000, 10}, {60'000, 12}, {80'000, 16}, {120'000, 20}, {160'000, 24}}};
static constexpr double slowestLink = 1e7;
static constexpr std::uint64_t bytesPerLayer = 500'000'000;

std::vector<PlacementTarget> mixedFleet(std::size_t count, std::uint64_t seed)
{
    Random random(seed);
    std::vector<PlacementTarget> targets;
    for (std::size_t i = 0; i < count; ++i) {
        const AcceleratorKind &kind = kinds[random.below(kinds.size())];
        const double link = slowestLink * std::pow(10, static_cast<double>(random.below(7)) / 3);
        targets.push_back({.id = TargetId("t" + std::to_string(i)),
                           .layerMemory = ByteCount(kind.layers * bytesPerLayer),
                           .layerTokensPerSecond = kind.layerTokensPerSecond,
                           .linkBytesPerSecond = link,
                           .failureDomain = FailureDomainId("d" + std::to_string(i % 3)),
                           .checksFencingNumber = true});
    }
    return targets;
}

PlacementDemand largeModel()
{
    return {.model = ModelId("large"),
            .version = "1",
            .layers = 48,
            .bytesPerLayer = ByteCount(bytesPerLayer),
            .activationBytes = ByteCount(16384)};
}

TargetSpeed routingSpeed(const PlacementTarget &target)
{
    return {.layerTokensPerSecond = target.layerTokensPerSecond,
            .linkBytesPerSecond = target.linkBytesPerSecond,
            .linkDelay = std::chrono::microseconds(300),
            .failureDomain = target.failureDomain};
}

std::vector<HeldRange> heldRanges(const PlacementTarget &target, const PlacementPlan &plan)
{
    std::vector<HeldRange> held;
    if (const auto entry = plan.find(target.id); entry != plan.end()) {
        const ModelLayers &layers = entry->second;
        held.push_back({.target = target.id,
                        .model = layers.model,
                        .version = layers.version,
                        .adapter = layers.adapter,
                        .layers = layers.layers});
    }
    return held;
}

} // namespace Carawaymill

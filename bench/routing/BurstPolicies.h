#pragma once

#include "placement/PlacementMessages.h"
#include "routing/ChainRouter.h"
#include "support/Random.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaymill {

/// How one entry host chooses chains in the burst model.
class BurstPolicy
{
public:
    virtual ~BurstPolicy() = default;
    [[nodiscard]] virtual Chain choose(TimePoint now) = 0;

    virtual void ended(const Chain & /*chain*/) { }

    virtual void
    measured(const ChainStage & /*stage*/, const StageWork & /*work*/, Duration /*took*/, TimePoint /*now*/)
    {
    }

    virtual void reported(const TargetId & /*target*/, std::uint32_t /*steps*/, TimePoint /*now*/) { }
};

/// The fleet and the job that all policies see.
struct BurstScene
{
    std::vector<PlacementTarget> targets;
    PlacementDemand demand;
    PlacementPlan plan;
    TokenCount promptTokens = TokenCount(64);
    TokenCount answerTokens = TokenCount(32);
};

[[nodiscard]] std::unique_ptr<BurstPolicy> productPolicy(const BurstScene &scene, std::uint64_t seed);
[[nodiscard]] std::unique_ptr<BurstPolicy> randomPolicy(const BurstScene &scene, std::uint64_t seed);
[[nodiscard]] std::unique_ptr<BurstPolicy> roundRobinPolicy(const BurstScene &scene, std::uint64_t seed);
[[nodiscard]] std::unique_ptr<BurstPolicy> leastReportedPolicy(const BurstScene &scene, std::uint64_t seed);

} // namespace Carawaymill

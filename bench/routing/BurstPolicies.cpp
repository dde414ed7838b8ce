#include "routing/BurstPolicies.h"

#include "routing/MixedFleet.h"

#include <algorithm>

namespace Carawaymill {

namespace {

class ProductPolicy : public BurstPolicy
{
public:
    ProductPolicy(const BurstScene &scene, std::uint64_t seed)
        : m_router({.seed = seed})
        , m_request{.job = JobId("job"),
                    .model = scene.demand.model,
                    .version = scene.demand.version,
                    .layers = scene.demand.layers,
                    .promptTokens = scene.promptTokens,
                    .expectedTokens = scene.answerTokens,
                    .activationBytes = scene.demand.activationBytes}
    {
        for (const PlacementTarget &target : scene.targets) {
            m_router.updateTarget(target.id, routingSpeed(target), heldRanges(target, scene.plan));
        }
    }

    Chain choose(TimePoint now) override
    {
        auto routed = m_router.route(m_request, now);
        Chain chain = std::get<RoutedChain>(std::move(routed)).chain;
        for (const ChainStage &stage : chain.stages) {
            m_router.stageStarted(stage);
        }
        return chain;
    }

    void ended(const Chain &chain) override
    {
        for (const ChainStage &stage : chain.stages) {
            m_router.stageEnded(stage);
        }
    }

    void measured(const ChainStage &stage, const StageWork &work, Duration took, TimePoint now) override
    {
        m_router.recordStepDuration(stage, work, took, now);
    }

    void reported(const TargetId &target, std::uint32_t steps, TimePoint now) override
    {
        m_router.applyLoadReport(target, {.runningSteps = steps}, now);
    }

private:
    ChainRouter m_router;
    RouteRequest m_request;
};

/// Goes through the layers, chooses one holder of the next layer, and runs all that this one holds from there on.
class GreedyPolicy : public BurstPolicy
{
public:
    explicit GreedyPolicy(const BurstScene &scene)
        : m_layers(scene.demand.layers)
    {
        for (const auto &[target, layers] : scene.plan) {
            m_held.push_back({.target = target, .layers = layers.layers});
        }
    }

    Chain choose(TimePoint /*now*/) override
    {
        Chain chain;
        for (LayerIndex next; next.value() < m_layers; next = chain.stages.back().layers.end) {
            std::vector<ChainStage> holders;
            std::copy_if(m_held.begin(), m_held.end(), std::back_inserter(holders), [&](const ChainStage &held) {
                return held.layers.contains(next);
            });
            ChainStage stage = holders[pick(holders)];
            stage.layers.first = next;
            chain.stages.push_back(std::move(stage));
        }
        return chain;
    }

protected:
    [[nodiscard]] virtual std::size_t pick(const std::vector<ChainStage> &holders) = 0;

private:
    std::uint32_t m_layers;
    std::vector<ChainStage> m_held;
};

class RandomPolicy : public GreedyPolicy
{
public:
    RandomPolicy(const BurstScene &scene, std::uint64_t seed)
        : GreedyPolicy(scene)
        , m_random(seed)
    {
    }

protected:
    std::size_t pick(const std::vector<ChainStage> &holders) override { return m_random.below(holders.size()); }

private:
    Random m_random;
};

class RoundRobinPolicy : public GreedyPolicy
{
public:
    using GreedyPolicy::GreedyPolicy;

protected:
    /// The holder whose last turn is the longest ago.
    std::size_t pick(const std::vector<ChainStage> &holders) override
    {
        const auto chosen = std::min_element(holders.begin(), holders.end(), [&](const auto &left, const auto &right) {
            return m_turns[left.target] < m_turns[right.target];
        });
        m_turns[chosen->target] = ++m_turn;
        return static_cast<std::size_t>(chosen - holders.begin());
    }

private:
    std::map<TargetId, std::uint64_t> m_turns;
    std::uint64_t m_turn = 0;
};

class LeastReportedPolicy : public GreedyPolicy
{
public:
    using GreedyPolicy::GreedyPolicy;

    void reported(const TargetId &target, std::uint32_t steps, TimePoint /*now*/) override
    {
        m_reported[target] = steps;
    }

protected:
    std::size_t pick(const std::vector<ChainStage> &holders) override
    {
        const auto chosen = std::min_element(holders.begin(), holders.end(), [&](const auto &left, const auto &right) {
            return m_reported[left.target] < m_reported[right.target];
        });
        return static_cast<std::size_t>(chosen - holders.begin());
    }

private:
    std::map<TargetId, std::uint32_t> m_reported;
};

} // namespace

std::unique_ptr<BurstPolicy> productPolicy(const BurstScene &scene, std::uint64_t seed)
{
    return std::make_unique<ProductPolicy>(scene, seed);
}

std::unique_ptr<BurstPolicy> randomPolicy(const BurstScene &scene, std::uint64_t seed)
{
    return std::make_unique<RandomPolicy>(scene, seed);
}

std::unique_ptr<BurstPolicy> roundRobinPolicy(const BurstScene &scene, std::uint64_t /*seed*/)
{
    return std::make_unique<RoundRobinPolicy>(scene);
}

std::unique_ptr<BurstPolicy> leastReportedPolicy(const BurstScene &scene, std::uint64_t /*seed*/)
{
    return std::make_unique<LeastReportedPolicy>(scene);
}

} // namespace Carawaymill

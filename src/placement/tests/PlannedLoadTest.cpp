#include "placement/ChainPlanner.h"
#include "routing/ChainRouter.h"
#include "support/Random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <optional>

using namespace Carawaymill;

/// One failure domain with few large and many small targets, together twice the memory of the model, and requests that
/// keep a stream open for about three seconds.
static constexpr std::uint32_t modelLayers = 80;
static constexpr std::uint64_t bytesPerLayer = 1'750'000'000;
static constexpr std::uint64_t cacheBytesPerLayerToken = 7375;
static constexpr std::uint64_t meanPrompt = 775;
static constexpr std::uint64_t meanAnswer = 220;
static const FailureDomainId hall("hall");
static const ModelId model("model");

static PlacementDemand demand()
{
    return {.model = model,
            .version = "1",
            .layers = modelLayers,
            .bytesPerLayer = ByteCount(bytesPerLayer),
            .cacheBytesPerLayer = ByteCount((meanPrompt + meanAnswer / 2) * cacheBytesPerLayerToken),
            .concurrency = 192};
}

static std::vector<PlacementTarget> fleet()
{
    std::vector<PlacementTarget> targets;
    const auto add = [&](const std::string &kind, int count, double gigabytes, double speed) {
        for (int number = 0; number < count; ++number) {
            const auto memory = static_cast<std::uint64_t>(gigabytes * 1e9);
            targets.push_back({.id = TargetId(kind + std::to_string(number)),
                               .layerMemory = ByteCount(memory / 100 * 88),
                               .memory = ByteCount(memory),
                               .layerTokensPerSecond = speed,
                               .failureDomain = hall});
        }
    };
    add("large", 2, 72, 140000);
    add("small", 4, 14.4, 63000);
    add("slow", 4, 21.6, 22000);
    return targets;
}

struct LoadResult
{
    std::size_t atOnce = 0;
    std::size_t withoutRoom = 0;
};

/// A router that knows the layers of the plan.
static ChainRouter routerOf(const ChainPlannerOptions &options)
{
    const std::vector<PlacementTarget> targets = fleet();
    ChainRouter router({.ownFailureDomain = hall});
    for (const auto &[id, held] : ChainPlanner(options).plan(targets, {demand()}, {})) {
        const auto target = std::ranges::find(targets, id, &PlacementTarget::id);
        const double free =
            static_cast<double>(target->memory.value()) - static_cast<double>(bytesPerLayer) * held.layers.size();
        router.updateTarget(id,
                            {.layerTokensPerSecond = target->layerTokensPerSecond,
                             .costPerOtherStream = 0.05,
                             .cacheLayerTokens = free / static_cast<double>(cacheBytesPerLayerToken),
                             .failureDomain = hall},
                            {{.target = id, .model = model, .version = "1", .adapter = {}, .layers = held.layers}});
    }
    return router;
}

/// Draws from a logarithmic normal distribution with this mean.
static TokenCount drawSize(std::uint64_t mean, Random &random)
{
    static constexpr double spread = 0.8;
    const double normal =
        std::sqrt(-2 * std::log(1 - random.fraction())) * std::cos(2 * std::numbers::pi * random.fraction());
    return TokenCount(
        static_cast<std::uint64_t>(static_cast<double>(mean) * std::exp(spread * normal - spread * spread / 2)));
}

struct RunningRequest
{
    std::vector<ChainStage> stages;
    TokenCount tokens;
};

/// Starts a request unless its chain has no room for it.
static std::optional<RunningRequest> start(ChainRouter &router, TokenCount prompt, TokenCount answer, TimePoint now)
{
    const auto routed = router.route({.job = JobId("job"),
                                      .model = model,
                                      .version = "1",
                                      .adapter = {},
                                      .layers = modelLayers,
                                      .promptTokens = prompt,
                                      .expectedTokens = answer},
                                     now);
    REQUIRE(std::holds_alternative<RoutedChain>(routed));
    const auto &chain = std::get<RoutedChain>(routed);
    if (std::ranges::any_of(chain.decision.stages, [](const StageDecision &stage) { return stage.congested; })) {
        return std::nullopt;
    }
    RunningRequest started{.stages = chain.chain.stages, .tokens = averageCachedTokens(prompt, answer)};
    for (const ChainStage &stage : started.stages) {
        router.stageStarted(stage, started.tokens);
    }
    return started;
}

/// Sends `perSecond` requests of random sizes to the chains of the plan. Each stays for `duration`.
static LoadResult simulateLoad(const ChainPlannerOptions &options, double perSecond, Duration duration)
{
    ChainRouter router = routerOf(options);
    std::multimap<TimePoint, RunningRequest> running;
    Random random(7);
    LoadResult result;
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
    for (TimePoint now(1h); now < TimePoint(1h + 60s); now += interval) {
        while (!running.empty() && running.begin()->first <= now) {
            const RunningRequest ended = running.extract(running.begin()).mapped();
            for (const ChainStage &stage : ended.stages) {
                router.stageEnded(stage, ended.tokens);
            }
        }
        const TokenCount prompt = drawSize(meanPrompt, random);
        const TokenCount answer = drawSize(meanAnswer, random);
        if (auto started = start(router, prompt, answer, now)) {
            result.atOnce += 1;
            running.emplace(now + duration, std::move(*started));
        } else {
            result.withoutRoom += 1;
        }
    }
    return result;
}

TEST_CASE("a plan has room for 130 streams at once in a failure domain with twice the memory of the model")
{
    const LoadResult result = simulateLoad({}, 36, 3600ms);
    CAPTURE(result.withoutRoom);
    CHECK(static_cast<double>(result.atOnce) >= 0.95 * static_cast<double>(result.atOnce + result.withoutRoom));
}

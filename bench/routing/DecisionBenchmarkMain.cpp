/// Measures routing decisions a second, and how their cost grows with the number of targets of one model.
#include "placement/PlacementPlanner.h"
#include "routing/MixedFleet.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <vector>

using namespace Carawaymill;

static constexpr int decisions = 20'000;

struct Measurement
{
    std::size_t targets = 0;
    /// Mean processor time, which other work on the machine changes little.
    double microseconds = 0;
    /// Wall time that 99 in 100 decisions keep.
    double slowest99 = 0;
};

static Measurement measure(std::size_t count)
{
    const std::vector<PlacementTarget> targets = mixedFleet(count, 1);
    const PlacementPlan plan = PlacementPlanner({}).plan(targets, {largeModel()}, {});
    ChainRouter router({.seed = 1});
    for (const PlacementTarget &target : targets) {
        router.updateTarget(target.id, routingSpeed(target), heldRanges(target, plan));
    }
    const RouteRequest request{.job = JobId("job"),
                               .model = ModelId("large"),
                               .version = "1",
                               .layers = 48,
                               .promptTokens = TokenCount(200),
                               .activationBytes = ByteCount(16384)};
    std::vector<double> times;
    const std::clock_t processorBegin = std::clock();
    for (int i = 0; i < decisions; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        const auto routed = router.route(request, TimePoint());
        const auto end = std::chrono::steady_clock::now();
        times.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
        if (const auto *chain = std::get_if<RoutedChain>(&routed)) {
            for (const ChainStage &stage : chain->chain.stages) {
                router.stageStarted(stage);
            }
        }
    }
    const double processor = 1e6 * static_cast<double>(std::clock() - processorBegin) / CLOCKS_PER_SEC;
    std::sort(times.begin(), times.end());
    return {.targets = count, .microseconds = processor / decisions, .slowest99 = times[decisions * 99 / 100]};
}

/// Microseconds that each further hundred targets add, by least squares.
static double slopePerHundred(const std::vector<Measurement> &measurements)
{
    const auto count = static_cast<double>(measurements.size());
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const Measurement &each : measurements) {
        const double targets = static_cast<double>(each.targets) / 100;
        x += targets;
        y += each.microseconds;
        xx += targets * targets;
        xy += targets * each.microseconds;
    }
    return (count * xy - x * y) / (count * xx - x * x);
}

int main()
{
    std::vector<Measurement> measurements;
    for (const std::size_t count : {40U, 100U, 275U, 550U, 1100U}) {
        const Measurement measured = measure(count);
        measurements.push_back(measured);
        std::cout << R"({"bench":"routing-decisions","targets":)" << measured.targets << R"(,"microseconds":)"
                  << measured.microseconds << R"(,"p99Microseconds":)" << measured.slowest99
                  << R"(,"decisionsPerSecond":)" << 1e6 / measured.microseconds << "}\n";
    }
    std::cout << R"({"bench":"routing-decisions-slope","microsecondsPerHundredTargets":)"
              << slopePerHundred(measurements) << "}\n\n";
    std::cout << std::fixed << std::setprecision(1) << " targets    us/decision    99 in 100    decisions/s\n";
    for (const Measurement &each : measurements) {
        std::cout << std::setw(8) << each.targets << std::setw(15) << each.microseconds << std::setw(13)
                  << each.slowest99 << std::setw(15) << 1e6 / each.microseconds << '\n';
    }
    return 0;
}

/// Measures the throughput of a burst on a mixed fleet against what the hardware allows, and against simpler policies.
#include "placement/PlacementPlanner.h"
#include "routing/BurstModel.h"
#include "routing/MixedFleet.h"

#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

using namespace Carawaymill;

static constexpr std::size_t fleetSize = 40;

struct NamedPolicy
{
    std::string name;
    BurstPolicyMaker maker;
};

static void measure(std::uint64_t seed, bool degradedLinks, std::ostream &table)
{
    const std::vector<NamedPolicy> policies{{"carawaymill", productPolicy},
                                            {"least-reported", leastReportedPolicy},
                                            {"round-robin", roundRobinPolicy},
                                            {"random", randomPolicy}};
    BurstScene scene{.targets = mixedFleet(fleetSize, seed), .demand = largeModel()};
    scene.plan = PlacementPlanner({}).plan(scene.targets, {scene.demand}, {});
    // Links that are slower than declared are not known to the bound, which is then above what can be reached.
    const double hardware = hardwareBound(scene.targets, scene.demand);
    const double placed = throughputBound(scene.targets, scene.demand, scene.plan);
    for (const NamedPolicy &policy : policies) {
        const BurstResult result = runBurst(scene, {.degradedLinks = degradedLinks}, policy.maker);
        const double cleared = std::chrono::duration<double>(result.cleared).count();
        const char *links = degradedLinks ? "degraded" : "sound";
        std::cout << R"({"bench":"routing-burst","seed":)" << seed << R"(,"links":")" << links << R"(","policy":")"
                  << policy.name << R"(","tokensPerSecond":)" << result.tokensPerSecond << R"(,"wholeTokensPerSecond":)"
                  << result.wholeTokensPerSecond << R"(,"clearedSeconds":)" << cleared << R"(,"placementBound":)"
                  << placed << R"(,"hardwareBound":)" << hardware << "}\n";
        table << std::setw(5) << seed << std::setw(10) << links << std::setw(16) << policy.name << std::setw(10)
              << result.tokensPerSecond << std::setw(12) << 100 * result.tokensPerSecond / hardware << std::setw(15)
              << 100 * result.wholeTokensPerSecond / hardware << std::setw(11) << cleared << '\n';
    }
}

int main()
{
    std::cout << std::fixed << std::setprecision(3);
    std::ostringstream table;
    table << std::fixed << std::setprecision(1);
    for (const bool degradedLinks : {false, true}) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            measure(seed, degradedLinks, table);
        }
    }
    std::cout << "\n seed     links          policy  tokens/s  % of bound  % whole burst  cleared s\n" << table.str();
    return 0;
}

/// Measures plans against the hardware's bound and an equal split in list order, and how soon a fleet recovers.
#include "placement/PlacementPlanner.h"
#include "placement/RecoveryModel.h"
#include "routing/MixedFleet.h"

#include <chrono>
#include <iomanip>
#include <iostream>
#include <sstream>

using namespace Carawaymill;

static constexpr std::size_t fleetSize = 40;
static constexpr double storeBytesPerSecond = 2e9;

static void measureThroughput(std::size_t count, std::uint64_t seed, std::ostream &table)
{
    const std::vector<PlacementTarget> targets = mixedFleet(count, seed);
    const PlacementDemand demand = largeModel();
    const auto begin = std::chrono::steady_clock::now();
    const PlacementPlan plan = PlacementPlanner({}).plan(targets, {demand}, {});
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begin;
    const double hardware = hardwareBound(targets, demand);
    const double planned = throughputBound(targets, demand, plan);
    const double equal = throughputBound(targets, demand, equalSplitPlan(targets, demand));
    std::cout << R"({"bench":"placement-throughput","targets":)" << count << R"(,"seed":)" << seed
              << R"(,"hardwareBound":)" << hardware << R"(,"planBound":)" << planned << R"(,"equalSplitBound":)"
              << equal << R"(,"planMilliseconds":)" << took.count() << "}\n";
    table << std::setw(8) << count << std::setw(6) << seed << std::setw(12) << hardware << std::setw(12) << planned
          << std::setw(14) << equal << std::setw(10) << took.count() << '\n';
}

static void report(const std::string &lost,
                   std::uint64_t seed,
                   const std::string &policy,
                   const RecoveryResult &result,
                   std::ostream &table)
{
    std::cout << R"({"bench":"placement-recovery","lost":")" << lost << R"(","seed":)" << seed << R"(,"policy":")"
              << policy << R"(","serviceSeconds":)" << result.serviceSeconds << R"(,"throughputSeconds":)"
              << result.throughputSeconds << R"(,"orders":)" << result.orders << R"(,"loadedGigabytes":)"
              << result.loadedGigabytes << "}\n";
    table << std::setw(16) << lost << std::setw(6) << seed << std::setw(14) << policy << std::setw(11)
          << result.serviceSeconds << std::setw(12) << result.throughputSeconds << std::setw(8) << result.orders
          << std::setw(11) << result.loadedGigabytes << '\n';
}

static void measureRecovery(const std::string &name, std::uint64_t seed, std::ostream &table)
{
    const std::vector<PlacementTarget> targets = mixedFleet(fleetSize, seed);
    const PlacementDemand demand = largeModel();
    std::set<TargetId> lost;
    for (const PlacementTarget &target : targets) {
        if (name == "failure domain" ? target.failureDomain == targets.front().failureDomain
                                     : target.id == targets.front().id) {
            lost.insert(target.id);
        }
    }
    RecoveryModel product(targets, demand, storeBytesPerSecond);
    product.fill(PlacementPlanner({}).plan(targets, {demand}, {}));
    report(name, seed, "carawaymill", product.recoverByController(lost, 4), table);

    std::vector<PlacementTarget> remaining = targets;
    std::erase_if(remaining, [&](const PlacementTarget &target) { return lost.contains(target.id); });
    RecoveryModel equal(targets, demand, storeBytesPerSecond);
    equal.fill(equalSplitPlan(targets, demand));
    equal.lose(lost);
    report(name, seed, "equal split", equal.recoverAtOnce(equalSplitPlan(remaining, demand)), table);
}

/// Both kinds of loss from a fleet that has just room enough for the model, so that a loss leaves layers without
/// holder.
static void measureTightRecovery(std::uint64_t seed, std::ostream &table)
{
    std::vector<PlacementTarget> targets = mixedFleet(9, seed);
    for (PlacementTarget &target : targets) {
        target.layerMemory = ByteCount(8 * largeModel().bytesPerLayer.value());
    }
    const PlacementDemand demand = largeModel();
    for (const bool product : {true, false}) {
        RecoveryModel model(targets, demand, storeBytesPerSecond);
        const std::set<TargetId> lost{targets[0].id, targets[3].id, targets[6].id};
        if (product) {
            model.fill(PlacementPlanner({}).plan(targets, {demand}, {}));
            report("domain of 9", seed, "carawaymill", model.recoverByController(lost, 4), table);
        } else {
            std::vector<PlacementTarget> remaining = targets;
            std::erase_if(remaining, [&](const PlacementTarget &target) { return lost.contains(target.id); });
            model.fill(equalSplitPlan(targets, demand));
            model.lose(lost);
            report("domain of 9", seed, "equal split", model.recoverAtOnce(equalSplitPlan(remaining, demand)), table);
        }
    }
}

int main()
{
    std::ostringstream throughput;
    std::ostringstream recovery;
    for (std::ostream *stream : {static_cast<std::ostream *>(&throughput), static_cast<std::ostream *>(&recovery)}) {
        *stream << std::fixed << std::setprecision(1);
    }
    for (const std::size_t count : {40U, 160U}) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            measureThroughput(count, seed, throughput);
        }
    }
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        measureRecovery("target", seed, recovery);
        measureRecovery("failure domain", seed, recovery);
        measureTightRecovery(seed, recovery);
    }
    std::cout << "\n targets  seed    hardware        plan   equal split   plan ms\n" << throughput.str();
    std::cout << "\n            lost  seed        policy  service s  full rate s  orders  loaded GB\n"
              << recovery.str();
    return 0;
}

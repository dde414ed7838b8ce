#include "lease/tests/LeaseSimulation.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

/// Counts the lease slice's calls to the key-value service in virtual time, and what a tick of it costs.
namespace Carawaymill {

/// Hosts that try for one scope; more would only add waiting watches.
static constexpr std::size_t candidatesPerScope = 3;
/// 8 hosts fail and 82 restart or are replaced a day, so about four an hour.
static constexpr int holdersLostPerHour = 4;

struct Fleet
{
    const char *name = "";
    std::size_t hosts = 0;
    std::size_t scopes = 0;
    /// Whether every host tries for every scope, instead of three candidates for each.
    bool everyHostWantsAll = false;
    Duration quiet = 1h;
};

static LeaseScopeId scopeOf(std::size_t index)
{
    return LeaseScopeId("scope/" + std::to_string(index));
}

static LeaseSimulation buildSimulation(const Fleet &fleet)
{
    const std::size_t managers =
        fleet.everyHostWantsAll ? fleet.hosts : std::min(fleet.hosts, fleet.scopes * candidatesPerScope);
    LeaseSimulation simulation({.hosts = managers, .step = 100ms, .checks = false});
    for (std::size_t scope = 0; scope < fleet.scopes; ++scope) {
        for (std::size_t candidate = 0; candidate < (fleet.everyHostWantsAll ? managers : candidatesPerScope);
             ++candidate) {
            simulation.request((scope * candidatesPerScope + candidate) % managers, scopeOf(scope));
        }
    }
    simulation.run(60s);
    return simulation;
}

static std::uint64_t readsOf(const KeyValueCounts &counts)
{
    return counts.reads + counts.watches;
}

static void printRate(const char *what, const KeyValueCounts &before, const KeyValueCounts &after, Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    std::printf("  %-28s %7.2f writes/s %7.2f reads/s (watches included)\n",
                what,
                static_cast<double>(after.writes() - before.writes()) / seconds,
                static_cast<double>(readsOf(after) - readsOf(before)) / seconds);
}

static void printHour(LeaseSimulation &simulation, const Fleet &fleet)
{
    const KeyValueCounts before = simulation.store.counts();
    for (int loss = 0; loss < holdersLostPerHour; ++loss) {
        const auto holders = simulation.holders(scopeOf(static_cast<std::size_t>(loss) % fleet.scopes));
        if (!holders.empty()) {
            simulation.pause(holders.front());
        }
        simulation.run(30s);
        if (!holders.empty()) {
            simulation.resume(holders.front());
        }
        simulation.run(fleet.quiet / holdersLostPerHour - 30s);
    }
    printRate("four holders lost, mean", before, simulation.store.counts(), fleet.quiet);
}

static void printOutage(LeaseSimulation &simulation, const Fleet &fleet)
{
    simulation.store.faults().outage = true;
    simulation.run(10min);
    simulation.store.faults().outage = false;
    std::uint64_t mostWrites = 0;
    std::uint64_t mostReads = 0;
    Duration allHeldAfter{};
    for (Duration passed = 0s; passed < 60s; passed += 1s) {
        const KeyValueCounts before = simulation.store.counts();
        simulation.run(1s);
        const KeyValueCounts after = simulation.store.counts();
        mostWrites = std::max(mostWrites, after.writes() - before.writes());
        mostReads = std::max(mostReads, readsOf(after) - readsOf(before));
        bool allHeld = true;
        for (std::size_t scope = 0; scope < fleet.scopes; ++scope) {
            allHeld = allHeld && simulation.holders(scopeOf(scope)).size() == 1;
        }
        if (allHeld && allHeldAfter == Duration()) {
            allHeldAfter = passed + 1s;
        }
    }
    std::printf(
        "  after a 10 min outage: at most %llu writes and %llu reads in one second; all scopes held after %.0f s\n",
        static_cast<unsigned long long>(mostWrites),
        static_cast<unsigned long long>(mostReads),
        std::chrono::duration<double>(allHeldAfter).count());
}

static void printTickCost(LeaseSimulation &simulation)
{
    static constexpr int ticks = 2000;
    const auto start = std::chrono::steady_clock::now();
    for (int tick = 0; tick < ticks; ++tick) {
        static_cast<void>(simulation.manager(0).handle(Tick{}, simulation.localTime(0)));
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - start;
    std::printf("  one tick of host 0: %.2f us\n", spent.count() / ticks);
}

} // namespace Carawaymill

int main()
{
    using namespace Carawaymill;
    const Fleet fleets[] = {
        {.name = "4 hosts, 4 scopes", .hosts = 4, .scopes = 4},
        {.name = "40 hosts, 12 scopes", .hosts = 40, .scopes = 12},
        {.name = "370 hosts, 31 scopes, 3 candidates each", .hosts = 370, .scopes = 31},
        {.name = "370 hosts, 31 scopes, every host tries for all",
         .hosts = 370,
         .scopes = 31,
         .everyHostWantsAll = true,
         .quiet = 5min},
    };
    for (const Fleet &fleet : fleets) {
        std::printf("%s\n", fleet.name);
        LeaseSimulation simulation = buildSimulation(fleet);
        printHour(simulation, fleet);
        printTickCost(simulation);
        if (!fleet.everyHostWantsAll) {
            printOutage(simulation, fleet);
        }
    }
    return 0;
}

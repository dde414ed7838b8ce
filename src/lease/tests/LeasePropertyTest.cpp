#include "lease/tests/LeaseSimulation.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

/// Injects or clears one random fault, or requests or releases a scope.
static void
injectFault(LeaseSimulation &simulation, Random &random, const std::vector<LeaseScopeId> &scopes, std::size_t hosts)
{
    const std::size_t host = random.below(hosts);
    const LeaseScopeId &scope = scopes[random.below(scopes.size())];
    KeyValueFaults &faults = simulation.store.faults();
    if (random.below(3) == 0) {
        // Without intervals free of faults, the hosts would rarely hold a scope.
        faults = KeyValueFaults{};
        simulation.maximumDelay = 5ms;
    }
    switch (random.below(12)) {
    case 0:
    case 1:
        simulation.pause(host);
        break;
    case 2:
    case 3:
    case 4:
        simulation.resume(host);
        break;
    case 5:
        simulation.release(host, scope);
        break;
    case 6:
    case 7:
        simulation.request(host, scope);
        break;
    case 8:
        faults.outage = random.below(3) == 0;
        break;
    case 9:
        faults.answerLossProbability = random.below(2) == 0 ? 0 : 0.4;
        faults.callLossProbability = random.below(2) == 0 ? 0 : 0.3;
        break;
    case 10:
        simulation.maximumDelay = random.below(2) == 0 ? 5ms : 4s;
        break;
    default:
        faults.watches = static_cast<WatchFault>(random.below(3));
        random.below(2) == 0 ? simulation.store.freezeReads() : simulation.store.thawReads();
        break;
    }
}

static void clearFaults(LeaseSimulation &simulation, const std::vector<LeaseScopeId> &scopes, std::size_t hosts)
{
    simulation.store.faults() = KeyValueFaults{};
    simulation.store.thawReads();
    simulation.maximumDelay = 5ms;
    for (std::size_t host = 0; host < hosts; ++host) {
        simulation.resume(host);
        for (const LeaseScopeId &scope : scopes) {
            simulation.request(host, scope);
        }
    }
}

TEST_CASE("no scope has two holders and fencing numbers strictly increase under random faults")
{
    static constexpr std::size_t hosts = 4;
    static constexpr std::uint64_t seeds = 60;
    const std::vector<LeaseScopeId> scopes{LeaseScopeId("domain/a"), LeaseScopeId("domain/b")};
    std::size_t acquisitions = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        LeaseSimulation simulation({.seed = seed, .hosts = hosts, .clockDrift = 0.02});
        Random random(seed);
        for (int round = 0; round < 120; ++round) {
            injectFault(simulation, random, scopes, hosts);
            simulation.run(Duration(random.below(6'000'000)));
        }
        clearFaults(simulation, scopes, hosts);
        // A watch that reports no changes may delay this until the next complete read.
        simulation.run(60s + 25s);
        for (const LeaseScopeId &scope : scopes) {
            CHECK(simulation.holders(scope).size() == 1);
        }
        REQUIRE_MESSAGE(simulation.violations.empty(), simulation.violations.front());
        acquisitions += simulation.acquired.size();
    }
    // Fails if the hosts acquire too few scopes for the checks above to be meaningful.
    CHECK(acquisitions > seeds * 10);
}

#include "lease/tests/LeaseWorld.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

/// Lets one random thing go wrong, or right again.
static void disturb(LeaseWorld &world, Random &random, const std::vector<LeaseScopeId> &scopes, std::size_t hosts)
{
    const std::size_t host = random.below(hosts);
    const LeaseScopeId &scope = scopes[random.below(scopes.size())];
    KeyValueFaults &faults = world.store.faults();
    if (random.below(3) == 0) {
        // Without times of calm the hosts would rarely come to hold anything.
        faults = KeyValueFaults{};
        world.maximumDelay = 5ms;
    }
    switch (random.below(12)) {
    case 0:
    case 1:
        world.pause(host);
        break;
    case 2:
    case 3:
    case 4:
        world.resume(host);
        break;
    case 5:
        world.release(host, scope);
        break;
    case 6:
    case 7:
        world.want(host, scope);
        break;
    case 8:
        faults.outage = random.below(3) == 0;
        break;
    case 9:
        faults.answerLossProbability = random.below(2) == 0 ? 0 : 0.4;
        faults.callLossProbability = random.below(2) == 0 ? 0 : 0.3;
        break;
    case 10:
        world.maximumDelay = random.below(2) == 0 ? 5ms : 4s;
        break;
    default:
        faults.watches = static_cast<WatchFault>(random.below(3));
        random.below(2) == 0 ? world.store.freezeReads() : world.store.thawReads();
        break;
    }
}

static void heal(LeaseWorld &world, const std::vector<LeaseScopeId> &scopes, std::size_t hosts)
{
    world.store.faults() = KeyValueFaults{};
    world.store.thawReads();
    world.maximumDelay = 5ms;
    for (std::size_t host = 0; host < hosts; ++host) {
        world.resume(host);
        for (const LeaseScopeId &scope : scopes) {
            world.want(host, scope);
        }
    }
}

TEST_CASE("whatever fails, no scope has two holders and fencing numbers strictly grow")
{
    static constexpr std::size_t hosts = 4;
    static constexpr std::uint64_t seeds = 60;
    const std::vector<LeaseScopeId> scopes{LeaseScopeId("domain/a"), LeaseScopeId("domain/b")};
    std::size_t acquisitions = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        LeaseWorld world({.seed = seed, .hosts = hosts, .clockDrift = 0.02});
        Random random(seed);
        for (int disturbance = 0; disturbance < 120; ++disturbance) {
            disturb(world, random, scopes, hosts);
            world.run(Duration(random.below(6'000'000)));
        }
        heal(world, scopes, hosts);
        // A silent watch may delay this until the next full reading.
        world.run(60s + 25s);
        for (const LeaseScopeId &scope : scopes) {
            CHECK(world.holders(scope).size() == 1);
        }
        REQUIRE_MESSAGE(world.violations.empty(), world.violations.front());
        acquisitions += world.acquired.size();
    }
    // Guards against a workload in which nothing happens.
    CHECK(acquisitions > seeds * 10);
}

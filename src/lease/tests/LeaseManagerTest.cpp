#include "lease/tests/LeaseSimulation.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const LeaseScopeId fukuoka("domain/fukuoka");
static const LeaseScopeId kyushu("region/kyushu");

/// A simulation in which host 0 holds the scope and the other hosts wait for it.
static LeaseSimulation simulationWithHolder(const LeaseSimulationOptions &options = {})
{
    LeaseSimulation simulation(options);
    simulation.request(0, fukuoka);
    simulation.run(2s);
    REQUIRE(simulation.holds(0, fukuoka));
    for (std::size_t host = 1; host < options.hosts; ++host) {
        simulation.request(host, fukuoka);
    }
    simulation.run(1s);
    return simulation;
}

TEST_CASE("a scope is held by one host until it releases it, then by another with a higher number")
{
    LeaseSimulation simulation = simulationWithHolder();
    simulation.run(60s);
    CHECK(simulation.holders(fukuoka) == std::vector<std::size_t>{0});
    simulation.release(0, fukuoka);
    CHECK_FALSE(simulation.holds(0, fukuoka));
    simulation.run(2s);
    CHECK(simulation.holders(fukuoka).size() == 1);
    CHECK(simulation.acquired.size() == 2);
    CHECK(simulation.violations.empty());
}

TEST_CASE("renewals count per host, not per scope, and hosts that hold nothing have no lease")
{
    LeaseSimulation simulation = simulationWithHolder();
    simulation.request(0, kyushu);
    simulation.run(2s);
    const auto before = simulation.store.counts();
    simulation.run(60s);
    CHECK(simulation.holds(0, kyushu));
    // 10 s time to live, renewed after a third of it or up to a fifth earlier.
    CHECK(simulation.store.counts().writes() - before.writes() <= 60 / 2.64 + 1);
    CHECK(simulation.store.counts().grants == 1);
}

TEST_CASE("a holder that was paused past its lease holds nothing when it wakes up")
{
    LeaseSimulation simulation = simulationWithHolder();
    simulation.pause(0);
    simulation.run(15s);
    CHECK_FALSE(simulation.manager(0).holds(fukuoka, simulation.localTime(0)));
    CHECK(simulation.holders(fukuoka).size() == 1);
    simulation.resume(0);
    simulation.run(20ms);
    REQUIRE_FALSE(simulation.lost.empty());
    CHECK(simulation.lost.back().reason == LeaseLossReason::NotRenewedInTime);
    simulation.run(30s);
    CHECK(simulation.violations.empty());
}

TEST_CASE("a renewal whose answer was lost is repeated, and does not count until one is confirmed")
{
    LeaseSimulation simulation = simulationWithHolder();
    simulation.store.faults().nextAnswersLost = 1;
    simulation.run(8s);
    CHECK(simulation.holds(0, fukuoka));
    simulation.store.faults().answerLossProbability = 1;
    simulation.run(15s);
    CHECK(simulation.holders(fukuoka).empty());
    simulation.store.faults().answerLossProbability = 0;
    simulation.run(15s);
    CHECK(simulation.holders(fukuoka).size() == 1);
    CHECK(simulation.violations.empty());
}

TEST_CASE("a renewal whose answer was delayed counts from when it was sent")
{
    LeaseSimulation simulation = simulationWithHolder({.manager = {.timeToLive = 16s, .callTimeout = 3s}});
    simulation.maximumDelay = 3s;
    simulation.run(5min);
    simulation.pause(0);
    simulation.run(16s);
    CHECK(simulation.violations.empty());
    CHECK_FALSE(simulation.holds(0, fukuoka));
}

TEST_CASE("an acquisition whose answer was lost is found out by the next commit")
{
    LeaseSimulation simulation({});
    simulation.request(0, fukuoka);
    simulation.run(400ms);
    while (simulation.store.counts().grants == 0) {
        simulation.run(20ms);
    }
    simulation.store.faults().nextAnswersLost = 1;
    simulation.run(10s);
    CHECK(simulation.holds(0, fukuoka));
    CHECK(simulation.store.record(leaseKey(fukuoka))->value == leaseValue(HostId("host-0"), FencingNumber(2)));
    CHECK(simulation.violations.empty());
}

TEST_CASE("an acquisition that was given up while its outcome was unknown leaves nothing behind")
{
    for (const bool takesEffect : {true, false}) {
        LeaseSimulation simulation({});
        simulation.request(0, fukuoka);
        while (simulation.store.counts().grants == 0) {
            simulation.run(20ms);
        }
        (takesEffect ? simulation.store.faults().nextAnswersLost : simulation.store.faults().nextCallsLost) = 1;
        while (simulation.store.faults().nextAnswersLost + simulation.store.faults().nextCallsLost > 0) {
            simulation.run(20ms);
        }
        simulation.release(0, fukuoka);
        simulation.run(5s);
        CHECK_FALSE(simulation.store.record(leaseKey(fukuoka)));
        // Even a commit that is still on its way can no longer succeed: the fencing record has moved on.
        CHECK(simulation.store.record(fencingKey(fukuoka)));
        CHECK(simulation.store.counts().revocations == 1);
    }
}

TEST_CASE("the holder stays through a short outage and loses the scope in a long one")
{
    LeaseSimulation simulation = simulationWithHolder();
    simulation.store.faults().outage = true;
    simulation.run(5s);
    CHECK(simulation.holds(0, fukuoka));
    simulation.run(6s);
    CHECK(simulation.holders(fukuoka).empty());
    simulation.run(60s);
    simulation.store.faults().outage = false;
    const auto before = simulation.store.counts();
    simulation.run(12s);
    CHECK(simulation.holders(fukuoka).size() == 1);
    // Three hosts: each reads twice and tries for one lease and one scope, spread over the longest retry delay.
    CHECK(simulation.store.counts().writes() - before.writes() <= 3 * 5);
    CHECK(simulation.violations.empty());
}

TEST_CASE("another host takes over after an outage in which the holder died")
{
    LeaseSimulation simulation = simulationWithHolder();
    simulation.store.faults().outage = true;
    simulation.pause(0);
    simulation.run(30s);
    simulation.store.faults().outage = false;
    simulation.run(12s);
    REQUIRE(simulation.holders(fukuoka).size() == 1);
    CHECK(simulation.holders(fukuoka).front() != 0);
    CHECK(simulation.violations.empty());
}

TEST_CASE("a host whose clock is slow still ends its own holding first")
{
    // The margin covers the stated drift exactly, so the service must not end the lease earlier for any seed.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        LeaseSimulation simulation = simulationWithHolder({.seed = seed, .clockDrift = 0.02});
        simulation.pause(0);
        simulation.run(12s);
        CHECK(simulation.violations.empty());
        CHECK(simulation.holders(fukuoka).size() == 1);
    }
}

TEST_CASE("an old reading after an outage neither makes two holders nor hides the scope for long")
{
    LeaseSimulation simulation = simulationWithHolder();
    simulation.store.freezeReads();
    simulation.release(0, fukuoka);
    simulation.run(2s);
    CHECK(simulation.holders(fukuoka).size() == 1);
    simulation.store.faults().watches = WatchFault::Silent;
    simulation.release(simulation.holders(fukuoka).front(), fukuoka);
    simulation.run(25s);
    simulation.store.faults().watches = WatchFault::None;
    simulation.store.thawReads();
    simulation.run(61s);
    CHECK(simulation.holders(fukuoka).size() == 1);
    CHECK(simulation.violations.empty());
}

TEST_CASE("a waiting host finds a free scope although its watches skip changes")
{
    LeaseSimulation simulation = simulationWithHolder();
    simulation.store.faults().watches = WatchFault::Skipping;
    simulation.release(0, fukuoka);
    // The records are read anew after a minute at the latest, once the present watch has ended.
    simulation.run(60s + 21s + 2s);
    CHECK(simulation.holders(fukuoka).size() == 1);
}

TEST_CASE("an older reading does not replace what a commit has shown")
{
    LeaseRecords records;
    const KeyValueRecord ours{.key = leaseKey(fukuoka), .value = "", .revision = Revision(9)};
    records.applyConflict({.present = {ours}, .storeRevision = Revision(9)}, fukuoka);
    records.applyReading({.records = {}, .storeRevision = Revision(8)}, leasePrefix);
    records.applyChanges({.written = {}, .deletedKeys = {ours.key}, .storeRevision = Revision(8)});
    CHECK(records.of(fukuoka).lease);
    records.applyReading({.records = {}, .storeRevision = Revision(10)}, leasePrefix);
    CHECK_FALSE(records.of(fukuoka).lease);
}

TEST_CASE("impossible options are refused by name")
{
    const auto refused = LeaseManager::create({.host = HostId("a"), .timeToLive = 2s});
    REQUIRE(std::holds_alternative<InvalidLeaseOptions>(refused));
    CHECK(std::get<InvalidLeaseOptions>(refused).option == "timeToLive");
}

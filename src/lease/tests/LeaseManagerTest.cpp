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

TEST_CASE("a scope stays with its holder until released and is then acquired with a higher number")
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

TEST_CASE("one lease is renewed for all scopes of a host and hosts without a scope have none")
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

TEST_CASE("a holder that was paused until its lease expired holds no scope when it resumes")
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

TEST_CASE("a renewal whose response was lost is retried and extends the lease only when one is confirmed")
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

TEST_CASE("a renewal whose response was delayed extends the lease from when it was sent")
{
    LeaseSimulation simulation = simulationWithHolder({.manager = {.timeToLive = 16s, .callTimeout = 3s}});
    simulation.maximumDelay = 3s;
    simulation.run(5min);
    simulation.pause(0);
    simulation.run(16s);
    CHECK(simulation.violations.empty());
    CHECK_FALSE(simulation.holds(0, fukuoka));
}

TEST_CASE("an acquisition whose response was lost is detected by the next commit")
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

TEST_CASE("an acquisition released while its outcome is unknown leaves no lease record")
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
        // The fencing record has been written, so a delayed acquisition commit would fail its condition.
        CHECK(simulation.store.record(fencingKey(fukuoka)));
        CHECK(simulation.store.counts().revocations == 1);
    }
}

TEST_CASE("a holder keeps its scope through a short outage and loses it in a long one")
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
    // Each of the three hosts requests one lease and contends for one scope, spread over the longest retry delay.
    CHECK(simulation.store.counts().writes() - before.writes() <= 3 * 5);
    CHECK(simulation.violations.empty());
}

TEST_CASE("another host acquires the scope after an outage during which the holder stopped")
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

TEST_CASE("a holder with a slow clock stops holding before the service ends its lease")
{
    // The drift margin equals the simulated drift, so the service must not end the lease earlier for any seed.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        LeaseSimulation simulation = simulationWithHolder({.seed = seed, .clockDrift = 0.02});
        simulation.pause(0);
        simulation.run(12s);
        CHECK(simulation.violations.empty());
        CHECK(simulation.holders(fukuoka).size() == 1);
    }
}

TEST_CASE("stale reads neither cause two holders nor keep a free scope unheld")
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

TEST_CASE("a waiting host acquires a free scope although its watches skip changes")
{
    LeaseSimulation simulation = simulationWithHolder();
    simulation.store.faults().watches = WatchFault::Skipping;
    simulation.release(0, fukuoka);
    // The records are read again after at most a minute, once the current watch has ended.
    simulation.run(60s + 21s + 2s);
    CHECK(simulation.holders(fukuoka).size() == 1);
}

TEST_CASE("an older read does not replace newer records from a commit")
{
    LeaseRecords records;
    const KeyValueRecord ours{.key = leaseKey(fukuoka), .value = "", .revision = Revision(9)};
    records.applyConflict({.currentRecords = {ours}, .storeRevision = Revision(9)}, fukuoka);
    records.applyReading({.records = {}, .storeRevision = Revision(8)}, leasePrefix);
    records.applyChanges({.written = {}, .deletedKeys = {ours.key}, .storeRevision = Revision(8)});
    CHECK(records.of(fukuoka).lease);
    records.applyReading({.records = {}, .storeRevision = Revision(10)}, leasePrefix);
    CHECK_FALSE(records.of(fukuoka).lease);
}

/// Replaces the store by an older copy of it and informs the hosts.
static void restore(LeaseSimulation &simulation, const KeyValueStore &copy, StoreEra era)
{
    simulation.store = copy;
    simulation.changeEra({.era = era, .restored = true});
}

TEST_CASE("after a restore of the store no host holds the scope by its old lease and its next number is higher")
{
    LeaseSimulation simulation({});
    simulation.changeEra({.era = StoreEra(1), .restored = false});
    const KeyValueStore empty = simulation.store;
    for (std::size_t host = 0; host < 3; ++host) {
        simulation.request(host, fukuoka);
    }
    simulation.run(3s);
    REQUIRE(simulation.acquired.size() == 1);
    const FencingNumber before = simulation.acquired.back().fencingNumber;
    restore(simulation, empty, StoreEra(2));
    CHECK(simulation.holders(fukuoka).empty());
    REQUIRE(simulation.lost.size() == 1);
    CHECK(simulation.lost.back().reason == LeaseLossReason::EndedByService);
    simulation.run(20s);
    CHECK(simulation.holders(fukuoka).size() == 1);
    CHECK(simulation.acquired.back().fencingNumber > before);
    CHECK(simulation.violations.empty());
}

TEST_CASE("records of an earlier era do not block the lower revisions of a restored store")
{
    LeaseSimulation simulation({});
    simulation.changeEra({.era = StoreEra(1), .restored = false});
    simulation.request(0, fukuoka);
    simulation.run(3s);
    const KeyValueStore copy = simulation.store;
    // The scope changes its holder often, which raises the revisions of its records.
    for (int round = 0; round < 5; ++round) {
        simulation.release(0, fukuoka);
        simulation.run(2s);
        simulation.request(0, fukuoka);
        simulation.run(3s);
    }
    simulation.request(1, fukuoka);
    simulation.run(2s);
    restore(simulation, copy, StoreEra(2));
    simulation.run(30s);
    CHECK(simulation.holders(fukuoka).size() == 1);
    CHECK(simulation.violations.empty());
}

TEST_CASE("a number after a delayed commit of an earlier era overwrote the record exceeds all numbers of this era")
{
    LeaseScopeRecords records;
    records.fencing = KeyValueRecord{.key = fencingKey(fukuoka), .value = "4", .revision = Revision(10), .lease = {}};
    const FencingNumber first = records.nextFencingNumber(StoreEra(2));
    CHECK(LeaseScopeRecords().nextFencingNumber(StoreEra(3)) > first);
    // The holder wrote its number at revision 11; the delayed commit replaced it at revision 12.
    records.fencing->value = "3";
    records.fencing->revision = Revision(12);
    CHECK(records.nextFencingNumber(StoreEra(2)) > first);
    // Without an era the numbers count up from the last one.
    CHECK(records.nextFencingNumber(std::nullopt) == FencingNumber(4));
    // JSON numbers are exact up to 2^53.
    CHECK(records.nextFencingNumber(StoreEra(100'000)) < FencingNumber(std::uint64_t(1) << 53U));
}

TEST_CASE("options out of range are rejected by name")
{
    const auto refused = LeaseManager::create({.host = HostId("a"), .timeToLive = 2s});
    REQUIRE(std::holds_alternative<InvalidLeaseOptions>(refused));
    CHECK(std::get<InvalidLeaseOptions>(refused).option == "timeToLive");
}

#include "lease/tests/LeaseWorld.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const LeaseScopeId fukuoka("domain/fukuoka");
static const LeaseScopeId kyushu("region/kyushu");

/// A world in which host 0 holds the scope and the other hosts wait for it.
static LeaseWorld worldWithHolder(const LeaseWorldOptions &options = {})
{
    LeaseWorld world(options);
    world.want(0, fukuoka);
    world.run(2s);
    REQUIRE(world.holds(0, fukuoka));
    for (std::size_t host = 1; host < options.hosts; ++host) {
        world.want(host, fukuoka);
    }
    world.run(1s);
    return world;
}

TEST_CASE("a scope is held by one host until it releases it, then by another with a higher number")
{
    LeaseWorld world = worldWithHolder();
    world.run(60s);
    CHECK(world.holders(fukuoka) == std::vector<std::size_t>{0});
    world.release(0, fukuoka);
    CHECK_FALSE(world.holds(0, fukuoka));
    world.run(2s);
    CHECK(world.holders(fukuoka).size() == 1);
    CHECK(world.acquired.size() == 2);
    CHECK(world.violations.empty());
}

TEST_CASE("renewals count per host, not per scope, and hosts that hold nothing have no lease")
{
    LeaseWorld world = worldWithHolder();
    world.want(0, kyushu);
    world.run(2s);
    const auto before = world.store.counts();
    world.run(60s);
    CHECK(world.holds(0, kyushu));
    // 10 s time to live, renewed after a third of it or up to a fifth earlier.
    CHECK(world.store.counts().writes() - before.writes() <= 60 / 2.64 + 1);
    CHECK(world.store.counts().grants == 1);
}

TEST_CASE("a holder that was paused past its lease holds nothing when it wakes up")
{
    LeaseWorld world = worldWithHolder();
    world.pause(0);
    world.run(15s);
    CHECK_FALSE(world.keeper(0).holds(fukuoka, world.localTime(0)));
    CHECK(world.holders(fukuoka).size() == 1);
    world.resume(0);
    world.run(20ms);
    REQUIRE_FALSE(world.lost.empty());
    CHECK(world.lost.back().reason == LeaseLossReason::NotRenewedInTime);
    world.run(30s);
    CHECK(world.violations.empty());
}

TEST_CASE("a renewal whose answer was lost is repeated, and does not count until one is confirmed")
{
    LeaseWorld world = worldWithHolder();
    world.store.faults().nextAnswersLost = 1;
    world.run(8s);
    CHECK(world.holds(0, fukuoka));
    world.store.faults().answerLossProbability = 1;
    world.run(15s);
    CHECK(world.holders(fukuoka).empty());
    world.store.faults().answerLossProbability = 0;
    world.run(15s);
    CHECK(world.holders(fukuoka).size() == 1);
    CHECK(world.violations.empty());
}

TEST_CASE("a renewal whose answer was delayed counts from when it was sent")
{
    LeaseWorld world = worldWithHolder({.keeper = {.timeToLive = 16s, .callTimeout = 3s}});
    world.maximumDelay = 3s;
    world.run(5min);
    world.pause(0);
    world.run(16s);
    CHECK(world.violations.empty());
    CHECK_FALSE(world.holds(0, fukuoka));
}

TEST_CASE("an acquisition whose answer was lost is found out by the next commit")
{
    LeaseWorld world({});
    world.want(0, fukuoka);
    world.run(400ms);
    while (world.store.counts().grants == 0) {
        world.run(20ms);
    }
    world.store.faults().nextAnswersLost = 1;
    world.run(10s);
    CHECK(world.holds(0, fukuoka));
    CHECK(world.store.record(leaseKey(fukuoka))->value == leaseValue(HostId("host-0"), FencingNumber(2)));
    CHECK(world.violations.empty());
}

TEST_CASE("an acquisition that was given up while its outcome was unknown leaves nothing behind")
{
    for (const bool takesEffect : {true, false}) {
        LeaseWorld world({});
        world.want(0, fukuoka);
        while (world.store.counts().grants == 0) {
            world.run(20ms);
        }
        (takesEffect ? world.store.faults().nextAnswersLost : world.store.faults().nextCallsLost) = 1;
        while (world.store.faults().nextAnswersLost + world.store.faults().nextCallsLost > 0) {
            world.run(20ms);
        }
        world.release(0, fukuoka);
        world.run(5s);
        CHECK_FALSE(world.store.record(leaseKey(fukuoka)));
        // Even a commit that is still on its way can no longer succeed: the fencing record has moved on.
        CHECK(world.store.record(fencingKey(fukuoka)));
        CHECK(world.store.counts().revocations == 1);
    }
}

TEST_CASE("the holder stays through a short outage and loses the scope in a long one")
{
    LeaseWorld world = worldWithHolder();
    world.store.faults().outage = true;
    world.run(5s);
    CHECK(world.holds(0, fukuoka));
    world.run(6s);
    CHECK(world.holders(fukuoka).empty());
    world.run(60s);
    world.store.faults().outage = false;
    const auto before = world.store.counts();
    world.run(12s);
    CHECK(world.holders(fukuoka).size() == 1);
    // Three hosts: each reads twice and tries for one lease and one scope, spread over the longest retry delay.
    CHECK(world.store.counts().writes() - before.writes() <= 3 * 5);
    CHECK(world.violations.empty());
}

TEST_CASE("another host takes over after an outage in which the holder died")
{
    LeaseWorld world = worldWithHolder();
    world.store.faults().outage = true;
    world.pause(0);
    world.run(30s);
    world.store.faults().outage = false;
    world.run(12s);
    REQUIRE(world.holders(fukuoka).size() == 1);
    CHECK(world.holders(fukuoka).front() != 0);
    CHECK(world.violations.empty());
}

TEST_CASE("a host whose clock is slow still ends its own holding first")
{
    // The margin covers the stated drift exactly, so the service must not end the lease earlier for any seed.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        LeaseWorld world = worldWithHolder({.seed = seed, .clockDrift = 0.02});
        world.pause(0);
        world.run(12s);
        CHECK(world.violations.empty());
        CHECK(world.holders(fukuoka).size() == 1);
    }
}

TEST_CASE("an old reading after an outage neither makes two holders nor hides the scope for long")
{
    LeaseWorld world = worldWithHolder();
    world.store.freezeReads();
    world.release(0, fukuoka);
    world.run(2s);
    CHECK(world.holders(fukuoka).size() == 1);
    world.store.faults().watches = WatchFault::Silent;
    world.release(world.holders(fukuoka).front(), fukuoka);
    world.run(25s);
    world.store.faults().watches = WatchFault::None;
    world.store.thawReads();
    world.run(61s);
    CHECK(world.holders(fukuoka).size() == 1);
    CHECK(world.violations.empty());
}

TEST_CASE("a waiting host finds a free scope although its watches skip changes")
{
    LeaseWorld world = worldWithHolder();
    world.store.faults().watches = WatchFault::Skipping;
    world.release(0, fukuoka);
    // The records are read anew after a minute at the latest, once the present watch has ended.
    world.run(60s + 21s + 2s);
    CHECK(world.holders(fukuoka).size() == 1);
}

TEST_CASE("an older reading does not replace what a commit has shown")
{
    LeaseRecords records;
    const KeyValueRecord ours{.key = leaseKey(fukuoka), .value = "", .revision = Revision(9)};
    records.takeConflict({.present = {ours}, .storeRevision = Revision(9)}, fukuoka);
    records.takeReading({.records = {}, .storeRevision = Revision(8)}, leasePrefix);
    records.takeChanges({.written = {}, .deletedKeys = {ours.key}, .storeRevision = Revision(8)});
    CHECK(records.of(fukuoka).lease);
    records.takeReading({.records = {}, .storeRevision = Revision(10)}, leasePrefix);
    CHECK_FALSE(records.of(fukuoka).lease);
}

TEST_CASE("impossible options are refused by name")
{
    const auto refused = LeaseKeeper::create({.host = HostId("a"), .timeToLive = 2s});
    REQUIRE(std::holds_alternative<InvalidLeaseOptions>(refused));
    CHECK(std::get<InvalidLeaseOptions>(refused).option == "timeToLive");
}

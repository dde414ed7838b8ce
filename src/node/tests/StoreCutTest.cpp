#include "node/tests/StoreAndHosts.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

/// From this time after a cut on, the platform holds a host to what the store has acknowledged.
static constexpr Duration connectivityPeriod = 3s;

TEST_CASE(
    "a target that left while only this host was cut off from the store is unlisted before the host is held to it")
{
    for (Duration cut = 6s; cut < 9s; cut += 100ms) {
        CAPTURE(cut.count());
        // Half of the times the store has dropped the history of the cut when the host returns.
        StoreAndHosts fleet({.keptChanges = cut / 100ms % 2 == 0 ? 100'000U : 1U});
        fleet.write("op/config", "1");
        fleet.write("servers/a", "a:1");
        fleet.write("servers/b", "b:1");
        fleet.advance(4s);
        REQUIRE(fleet.lists(0, 2));
        fleet.setCut(0, true);
        fleet.advance(3s);
        fleet.remove("servers/b");
        fleet.write("op/unread", "1");
        fleet.write("op/unread-too", "1");
        fleet.advance(cut - 3s);
        CHECK(fleet.lists(1, 1));
        fleet.setCut(0, false);
        fleet.advance(connectivityPeriod);
        CHECK(fleet.lists(0, 1));
    }
}

TEST_CASE("targets whose records expired while no host reached the store stay listed until they have registered again")
{
    for (Duration cut = 6s; cut < 9s; cut += 300ms) {
        CAPTURE(cut.count());
        StoreAndHosts fleet({});
        fleet.write("op/config", "1");
        fleet.write("servers/a", "a:1");
        fleet.write("servers/b", "b:1");
        fleet.advance(4s);
        fleet.setCut(0, true);
        fleet.setCut(1, true);
        fleet.advance(cut);
        fleet.remove("servers/a");
        fleet.remove("servers/b");
        fleet.setCut(0, false);
        fleet.setCut(1, false);
        for (int check = 0; check < 17; ++check) {
            fleet.advance(100ms);
            CHECK(fleet.lists(0, 2));
            CHECK(fleet.lists(1, 2));
        }
        fleet.write("servers/a", "a:1");
        fleet.write("servers/b", "b:1");
        fleet.advance(3s);
        CHECK(fleet.lists(0, 2));
        CHECK(fleet.lists(1, 2));
    }
}

/// Guards against a host that is cut off calling the store for each of its three ranges separately: it made 40 calls in
/// 20 s.
TEST_CASE("a host that is cut off calls the store at the rate of one backoff and soon notices its return")
{
    StoreAndHosts fleet({});
    fleet.write("op/config", "1");
    fleet.advance(4s);
    fleet.setCut(0, true);
    fleet.advance(5s);
    const std::size_t before = fleet.watches(0);
    fleet.advance(20s);
    // Delays of 1 s to 2 s.
    CHECK(fleet.watches(0) - before >= 10);
    CHECK(fleet.watches(0) - before <= 20);
    fleet.write("op/config", "2");
    fleet.setCut(0, false);
    fleet.advance(connectivityPeriod);
    CHECK(fleet.shows(0, "configuration_version 2"));
}

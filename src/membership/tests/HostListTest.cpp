#include "membership/tests/MembershipFleet.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const HostId third = MembershipFleet::host(3);

TEST_CASE("a host that the host list shows as leaving is leaving at once and notifies the others")
{
    MembershipFleet fleet({.hosts = 4});
    fleet.run(5s);
    HostListRead list = fleet.fullList();
    list.hosts[3].state = HostListState::Leaving;
    fleet.inject(0, list);
    CHECK(fleet.state(0, 3) == MemberState::Leaving);
    CHECK(fleet.state(1, 3) == MemberState::Alive);
    fleet.inject(3, list);
    CHECK(fleet.runUntil([&] { return fleet.allSee(3, MemberState::Leaving); }, 4s));
}

TEST_CASE("a host missing from the host list becomes leaving and is dropped once it is dead")
{
    MembershipFleet fleet({.hosts = 4});
    fleet.inject(0, fleet.fullList());
    HostListRead list = fleet.fullList();
    list.hosts.pop_back();
    fleet.inject(0, list);
    fleet.run(50s);
    CHECK(fleet.state(0, 3) == MemberState::Alive);
    fleet.run(20s);
    CHECK(fleet.state(0, 3) == MemberState::Leaving);
    fleet.kill(3);
    fleet.run(60s);
    CHECK_FALSE(fleet.at(0).state(third));
    CHECK(fleet.at(0).members().size() == 3);
    const MemberUpdate old{.host = third,
                           .incarnation = IncarnationNumber(1'790'000'000),
                           .profile = MemberProfile{.peerAddress = "tcp://10.0.0.3:7400"}};
    fleet.inject(
        0,
        MembershipMessageReceived{
            .from = MembershipFleet::host(1),
            .message = {.body = Acknowledgement{}, .sender = {.host = MembershipFleet::host(1)}, .updates = {old}}});
    CHECK_FALSE(fleet.at(0).state(third));
    fleet.start(3, IncarnationNumber(1'790'000'100));
    CHECK(fleet.runUntil([&] { return fleet.state(0, 3) == MemberState::Alive; }, 10s));
}

TEST_CASE("a host dropped during a network partition becomes alive again afterwards")
{
    MembershipFleet fleet({.hosts = 4});
    fleet.run(5s);
    for (std::size_t index = 0; index < 3; ++index) {
        fleet.inject(index, fleet.fullList());
        HostListRead list = fleet.fullList();
        list.hosts.pop_back();
        fleet.inject(index, list);
    }
    fleet.isCut = [](std::size_t from, std::size_t to) { return (from == 3) != (to == 3); };
    fleet.run(90s);
    CHECK_FALSE(fleet.at(0).state(third));
    fleet.isCut = nullptr;
    CHECK(fleet.runUntil([&] { return fleet.allSeeAllAlive(); }, 60s));
}

TEST_CASE("a host list without hosts is ignored")
{
    MembershipFleet fleet({.hosts = 4});
    fleet.inject(0, fleet.fullList());
    fleet.inject(0, HostListRead{});
    fleet.run(2min);
    CHECK(fleet.allSeeAllAlive());
}

TEST_CASE("a host listed before its process starts becomes alive once it has started")
{
    MembershipFleet fleet({.hosts = 4, .adjust = [](MembershipOptions &options) { options.configured.clear(); }});
    fleet.kill(3);
    CHECK(fleet.at(0).members().size() == 1);
    for (std::size_t index = 0; index < 3; ++index) {
        fleet.inject(index, fleet.fullList());
    }
    fleet.run(20s);
    CHECK(fleet.allSee(3, MemberState::Dead));
    fleet.start(3, IncarnationNumber(1));
    HostListRead onlyOne = fleet.fullList();
    onlyOne.hosts.erase(onlyOne.hosts.begin(), onlyOne.hosts.begin() + 2);
    fleet.inject(3, onlyOne);
    CHECK(fleet.runUntil([&] { return fleet.allSeeAllAlive(); }, 20s));
}

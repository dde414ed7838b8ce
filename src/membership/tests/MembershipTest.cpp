#include "membership/tests/MembershipFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Carawaymill;

/// All hosts detect a failed host within this time, at the numbers of hosts used here.
static constexpr Duration detectionLimit = 10s;

static std::size_t deathsReported(const MembershipFleet &fleet, std::size_t observer)
{
    const auto &changes = fleet.changes[observer];
    return std::count_if(changes.begin(), changes.end(), [](const auto &change) { //
        return change.state == MemberState::Dead;
    });
}

static std::size_t deathsReported(const MembershipFleet &fleet)
{
    std::size_t deaths = 0;
    for (std::size_t observer = 0; observer < fleet.changes.size(); ++observer) {
        deaths += deathsReported(fleet, observer);
    }
    return deaths;
}

TEST_CASE("a decoded membership message equals the encoded one")
{
    const MemberUpdate plain{.host = HostId("a"), .incarnation = IncarnationNumber(9), .leaving = true};
    MemberUpdate full{.host = HostId("b"), .incarnation = IncarnationNumber(1), .liveness = MemberLiveness::Dead};
    full.profile = MemberProfile{"tcp://10.0.0.1:1", FailureDomainId("d"), RegionId("r")};
    for (const MembershipMessage &message :
         {MembershipMessage{.body = Probe{}, .sequence = 7, .sender = full, .updates = {plain}},
          MembershipMessage{.body = ProbeRequest{HostId("c")}, .sequence = 8, .sender = plain, .updates = {}},
          MembershipMessage{.body = Acknowledgement{}, .sequence = 9, .sender = plain, .updates = {full, plain}}}) {
        const auto decoded = decode<MembershipMessage>(nlohmann::json(message));
        REQUIRE(std::holds_alternative<MembershipMessage>(decoded));
        CHECK(std::get<MembershipMessage>(decoded) == message);
    }
    CHECK(std::holds_alternative<DecodeFailure>(decode<MembershipMessage>(nlohmann::json::array({9, 1}))));
}

TEST_CASE("membership options out of range are rejected by name")
{
    const auto created = Membership::create({.self = HostId("a"), .probePeriod = 1s, .probeTimeout = 1s});
    REQUIRE(std::holds_alternative<InvalidMembershipOptions>(created));
    CHECK(std::get<InvalidMembershipOptions>(created).option == "probeTimeout");
}

TEST_CASE("no host is declared dead while messages are lost and duplicated and reordered")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipFleet fleet({.hosts = 8,
                               .seed = seed,
                               .lossRate = 0.03,
                               .duplicateRate = 0.2,
                               .shortestDelay = 1ms,
                               .longestDelay = 150ms});
        fleet.run(10min);
        CHECK(deathsReported(fleet) == 0);
    }
}

TEST_CASE("a failed host is declared dead by all hosts and stays dead although the host list shows it as live")
{
    MembershipFleet fleet({.hosts = 8});
    fleet.run(5s);
    fleet.kill(3);
    CHECK(fleet.runUntil([&] { return fleet.allSee(3, MemberState::Dead); }, detectionLimit));
    fleet.inject(0, fleet.fullList());
    fleet.run(30s);
    CHECK(deathsReported(fleet, 0) == 1);
    CHECK(fleet.state(0, 3) == MemberState::Dead);
    CHECK_FALSE(fleet.at(0).isAlive(MembershipFleet::host(3)));
    CHECK(fleet.at(0).aliveHosts().size() == 7);
}

/// Delivers to `observer` a message from `from` with an update that `subject` is in the state `liveness`.
static void
gossip(MembershipFleet &fleet, std::size_t observer, std::size_t from, std::size_t subject, MemberLiveness liveness)
{
    const MemberUpdate update{
        .host = MembershipFleet::host(subject), .incarnation = IncarnationNumber(1'790'000'000), .liveness = liveness};
    fleet.inject(observer,
                 MembershipMessageReceived{.from = MembershipFleet::host(from),
                                           .message = {.body = Acknowledgement{},
                                                       .sender = {.host = MembershipFleet::host(from)},
                                                       .updates = {update}}});
}

TEST_CASE("a dead update from another host only makes the subject suspect")
{
    MembershipFleet fleet({.hosts = 8});
    fleet.run(5s);
    gossip(fleet, 0, 1, 3, MemberLiveness::Suspect);
    gossip(fleet, 0, 1, 3, MemberLiveness::Dead);
    gossip(fleet, 0, 1, 4, MemberLiveness::Dead);
    CHECK(fleet.state(0, 3) == MemberState::Suspect);
    fleet.run(60s);
    CHECK(deathsReported(fleet) == 0);
}

TEST_CASE("a host that resumes after a pause declares no host dead and is alive again for all hosts")
{
    MembershipFleet fleet({.hosts = 8});
    fleet.run(5s);
    for (std::size_t subject = 3; subject < 8; ++subject) {
        gossip(fleet, 2, 1, subject, MemberLiveness::Suspect);
    }
    fleet.pause(2);
    fleet.run(60s);
    CHECK(fleet.allSee(2, MemberState::Dead));
    fleet.resume(2);
    CHECK(fleet.runUntil([&] { return fleet.allSeeAllAlive(); }, 20s));
    fleet.run(60s);
    CHECK(deathsReported(fleet, 2) == 0);
}

TEST_CASE("repeated pauses shorter than the detection time cause no dead host")
{
    MembershipFleet fleet({.hosts = 8});
    fleet.run(5s);
    for (int pause = 0; pause < 100; ++pause) {
        fleet.pause(2);
        fleet.run(900ms);
        fleet.resume(2);
        fleet.run(1s);
    }
    CHECK(deathsReported(fleet) == 0);
}

TEST_CASE("message loss in one direction between two hosts causes no dead host")
{
    MembershipFleet fleet({.hosts = 8});
    fleet.isCut = [](std::size_t from, std::size_t to) { return from == 1 && to == 2; };
    fleet.run(10min);
    CHECK(deathsReported(fleet) == 0);
}

TEST_CASE("a host that can send but not receive is declared dead and causes no other dead host")
{
    MembershipFleet fleet({.hosts = 8});
    fleet.run(5s);
    fleet.isCut = [](std::size_t /*from*/, std::size_t to) { return to == 1; };
    fleet.run(10min);
    CHECK(fleet.allSee(1, MemberState::Dead));
    for (std::size_t observer : {0, 2, 3, 4, 5, 6, 7}) {
        CHECK(deathsReported(fleet, observer) == 1);
    }
}

TEST_CASE("a restarted host becomes alive despite old gossip or a lower incarnation")
{
    MembershipFleet fleet({.hosts = 8});
    fleet.run(5s);
    fleet.kill(3);
    REQUIRE(fleet.runUntil([&] { return fleet.allSee(3, MemberState::Dead); }, detectionLimit));
    SUBCASE("its incarnation is higher")
    {
        fleet.start(3, IncarnationNumber(1'790'000'100));
    }
    SUBCASE("its incarnation is the same")
    {
        fleet.start(3, IncarnationNumber(1'790'000'000));
    }
    SUBCASE("its incarnation is lower")
    {
        fleet.start(3, IncarnationNumber(5));
    }
    CHECK(fleet.runUntil([&] { return fleet.allSeeAllAlive(); }, detectionLimit));
    gossip(fleet, 0, 1, 3, MemberLiveness::Dead);
    CHECK(fleet.state(0, 3) == MemberState::Alive);
}

TEST_CASE("all hosts become alive again after an hour of network partition without a host list")
{
    MembershipFleet fleet({.hosts = 24, .step = 50ms});
    fleet.run(5s);
    fleet.isCut = [](std::size_t from, std::size_t to) { return (from < 12) != (to < 12); };
    fleet.run(1h);
    CHECK(fleet.at(0).aliveHosts().size() == 12);
    CHECK(fleet.at(23).aliveHosts().size() == 12);
    fleet.isCut = nullptr;
    CHECK(fleet.runUntil([&] { return fleet.allSeeAllAlive(); }, 60s));
}

TEST_CASE("a leaving host is leaving for all hosts within 4 s and stays leaving while it is suspect")
{
    MembershipFleet fleet({.hosts = 24});
    fleet.run(5s);
    fleet.inject(3, LeaveRequested{});
    CHECK(fleet.runUntil([&] { return fleet.allSee(3, MemberState::Leaving); }, 4s));
    fleet.pause(3);
    fleet.run(3s);
    fleet.resume(3);
    fleet.run(20s);
    CHECK(fleet.allSee(3, MemberState::Leaving));
    CHECK(fleet.state(3, 3) == MemberState::Leaving);
    CHECK_FALSE(fleet.at(0).isAlive(MembershipFleet::host(3)));
    fleet.start(3, IncarnationNumber(1'790'000'100));
    CHECK(fleet.runUntil([&] { return fleet.allSee(3, MemberState::Alive); }, detectionLimit));
}

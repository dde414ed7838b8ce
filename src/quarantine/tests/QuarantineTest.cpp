#include "QuarantineFleet.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const Fingerprint culprit("culprit");
static const Fingerprint first("first");
static const Fingerprint second("second");
static const TargetId engine("engine-1");
static const TargetId other("engine-2");

/// Crashes a target that runs a batch of three requests from two hosts.
static void crashBatch(QuarantineFleet &fleet)
{
    fleet.run(100ms);
    fleet.crash(engine, {{0, {culprit, first}}, {1, {second}}});
    fleet.run(2s);
}

TEST_CASE("a sole request runs isolated after its first crash and is rejected by every host after its second crash")
{
    QuarantineFleet fleet(1, 3);
    fleet.crash(engine, {{0, {culprit}}});
    CHECK(std::holds_alternative<RejectRequest>(fleet.decisionFor(0, culprit)));
    fleet.run(2s);
    // The target may have crashed for another reason, so the request still gets an isolated run.
    REQUIRE(fleet.everyHostDecides<RunIsolated>(culprit));
    REQUIRE(fleet.requestIsolatedRun(0, culprit, other));
    fleet.crash(other, {{0, {culprit}}});
    fleet.run(2s);
    REQUIRE(fleet.everyHostDecides<RejectRequest>(culprit));
    const auto refused = std::get<RejectRequest>(fleet.decisionFor(2, culprit));
    CHECK(refused.condemned);
    CHECK(refused.retryAfter > 23h);
    CHECK(fleet.everyHostDecides<RunUnrestricted>(first));
}

TEST_CASE(
    "suspects of one batch run isolated until they complete and are cleared or crash a second target and are rejected")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    CHECK(fleet.everyHostDecides<RunIsolated>(culprit));
    CHECK(fleet.everyHostDecides<RunIsolated>(first));
    REQUIRE(fleet.requestIsolatedRun(2, first, other));
    fleet.handle(2, RequestCompleted{.fingerprint = first, .target = other});
    fleet.run(100ms);
    REQUIRE(fleet.requestIsolatedRun(1, culprit, other));
    fleet.crash(other, {{1, {culprit}}});
    fleet.run(2s);
    CHECK(fleet.everyHostDecides<RunUnrestricted>(first));
    CHECK(fleet.everyHostDecides<RunIsolated>(second));
    CHECK(fleet.everyHostDecides<RejectRequest>(culprit));
    CHECK_FALSE(fleet.requestIsolatedRun(0, culprit, other));
}

TEST_CASE("a host's only request is not condemned for a crash shared with requests of other hosts")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    CHECK(fleet.everyHostDecides<RunIsolated>(second));
}

TEST_CASE("several hosts that request an isolated run of one suspect at once get one grant")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    int granted = 0;
    fleet.onIsolatedRunDecided = [&](unsigned /*host*/, const IsolatedRunDecided &decided) {
        granted += std::holds_alternative<IsolatedRunGranted>(decided.result) ? 1 : 0;
    };
    for (unsigned host = 0; host < 3; ++host) {
        fleet.handle(
            host, IsolatedRunRequested{.fingerprint = culprit, .target = TargetId("engine-" + std::to_string(host))});
    }
    fleet.run(2s);
    CHECK(granted == 1);
    fleet.onIsolatedRunDecided = {};
    CHECK_FALSE(fleet.requestIsolatedRun(0, culprit, other));
    CHECK_FALSE(fleet.requestIsolatedRun(2, culprit, other));
}

TEST_CASE("a target is reserved for one suspect at a time and released after its run")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    int granted = 0;
    unsigned holder = 0;
    fleet.onIsolatedRunDecided = [&](unsigned host, const IsolatedRunDecided &decided) {
        if (std::holds_alternative<IsolatedRunGranted>(decided.result)) {
            ++granted;
            holder = host;
        }
    };
    fleet.handle(0, IsolatedRunRequested{.fingerprint = culprit, .target = other});
    fleet.handle(1, IsolatedRunRequested{.fingerprint = first, .target = other});
    fleet.handle(2, IsolatedRunRequested{.fingerprint = second, .target = other});
    fleet.run(2s);
    CHECK(granted == 1);
    for (unsigned host = 0; host < 3; ++host) {
        CHECK(fleet.targetReserved(host, other));
    }
    const std::vector<Fingerprint> wanted{culprit, first, second};
    fleet.handle(holder, RequestCompleted{.fingerprint = wanted.at(holder), .target = other});
    fleet.run(1s);
    for (unsigned host = 0; host < 3; ++host) {
        CHECK_FALSE(fleet.targetReserved(host, other));
    }
}

TEST_CASE("reservations of one host for two targets are accepted in any order")
{
    QuarantineFleet fleet(1, 1);
    const auto receive = [&](const TargetId &target, std::uint64_t number) {
        const TargetReservationChanged message{.target = target, .holder = "host9#1", .number = number};
        fleet.handle(0, QuarantineMessageReceived{.message = message});
    };
    receive(other, 2);
    receive(engine, 1);
    CHECK(fleet.targetReserved(0, other));
    CHECK(fleet.targetReserved(0, engine));
}

TEST_CASE("an isolated run is refused during an outage of the key-value service and granted after it")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    fleet.store.faults().outage = true;
    CHECK_FALSE(fleet.requestIsolatedRun(0, culprit, other));
    fleet.store.faults().outage = false;
    fleet.run(2s);
    CHECK(fleet.requestIsolatedRun(0, culprit, other));
}

TEST_CASE("an isolated run is refused when the response to its commit is lost and granted later")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    fleet.store.faults().nextAnswersLost = 1;
    CHECK_FALSE(fleet.requestIsolatedRun(0, culprit, other));
    fleet.run(5s);
    CHECK(fleet.requestIsolatedRun(1, culprit, other));
}

TEST_CASE("an isolated run without a result may be repeated at once if it ended and after a timeout if its host is "
          "unresponsive")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    REQUIRE(fleet.requestIsolatedRun(0, first, other));
    fleet.handle(0, IsolatedRunEnded{.fingerprint = first});
    fleet.run(2s);
    REQUIRE(fleet.requestIsolatedRun(1, first, other));
    // Host 1 never reports the end of its run.
    fleet.run(30s);
    CHECK_FALSE(fleet.requestIsolatedRun(2, first, other));
    fleet.run(6min);
    CHECK(fleet.requestIsolatedRun(2, first, TargetId("engine-3")));
}

TEST_CASE("hosts that missed every message receive the suspects from the key-value service")
{
    QuarantineFleet fleet(1, 3);
    fleet.messageLoss = 1;
    fleet.crash(engine, {{0, {culprit}}});
    fleet.run(40s);
    CHECK(fleet.everyHostDecides<RunIsolated>(culprit));
}

TEST_CASE("a lifted request runs unrestricted on every host and delayed duplicates of old messages change nothing")
{
    QuarantineFleet fleet(1, 3);
    fleet.crash(engine, {{0, {culprit}}});
    fleet.run(40s);
    const auto before = fleet.sent;
    fleet.handle(2, LiftRequested{.fingerprint = culprit});
    fleet.run(1s);
    for (const auto &message : before) {
        fleet.handle(1, QuarantineMessageReceived{.message = message.message});
    }
    fleet.run(40s);
    CHECK(fleet.everyHostDecides<RunUnrestricted>(culprit));
    CHECK_FALSE(fleet.store.record(quarantineKey(culprit)));
}

TEST_CASE("a cleared request is not suspected for a crash that it shares with a suspect")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    fleet.handle(1, RequestCompleted{.fingerprint = second, .target = other});
    fleet.run(1s);
    fleet.crash(other, {{0, {culprit}}, {1, {second}}});
    fleet.run(2s);
    CHECK(fleet.everyHostDecides<RunUnrestricted>(second));
    CHECK(fleet.everyHostDecides<RejectRequest>(culprit));
}

TEST_CASE("the only request that was in two crashes is condemned and the other request of the second crash is cleared")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    const Fingerprint late("late");
    fleet.crash(other, {{0, {culprit}}, {2, {late}}});
    fleet.run(2s);
    CHECK(fleet.everyHostDecides<RejectRequest>(culprit));
    CHECK(fleet.everyHostDecides<RunUnrestricted>(late));
}

TEST_CASE("a pending isolated run request gets one decision when the request is cleared meanwhile")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    int decided = 0;
    fleet.onIsolatedRunDecided = [&](unsigned /*host*/, const IsolatedRunDecided & /*decision*/) { ++decided; };
    fleet.handle(0, IsolatedRunRequested{.fingerprint = first, .target = other});
    fleet.handle(0,
                 QuarantineMessageReceived{
                     .message = QuarantineAnnounced{.fingerprint = first,
                                                    .record = {.state = QuarantineState::Cleared, .crashes = 1}}});
    fleet.run(2s);
    CHECK(decided == 1);
    CHECK(std::holds_alternative<RunUnrestricted>(fleet.decisionFor(0, first)));
}

TEST_CASE("a suspicion ends after the restriction period")
{
    auto quarantine = std::get<Quarantine>(Quarantine::create({.self = HostId("host"), .restrictionPeriod = 1h}));
    TimePoint now{};
    (void)quarantine.handle(TargetCrashed{.target = engine, .inFlight = {culprit}}, now);
    now += 2s;
    (void)quarantine.handle(Tick{}, now);
    CHECK(quarantine.restrictedRequests().size() == 1);
    (void)quarantine.handle(Tick{}, now + 1h);
    CHECK(quarantine.restrictedRequests().empty());
    CHECK(std::holds_alternative<RunUnrestricted>(quarantine.decisionFor(culprit, now + 1h)));
}

#include "QuarantineFleet.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const Fingerprint culprit("culprit");
static const Fingerprint first("first");
static const Fingerprint second("second");
static const TargetId engine("engine-1");
static const TargetId other("engine-2");

/// A batch of three crashed; its requests came through two hosts.
static void crashBatch(QuarantineFleet &fleet)
{
    fleet.run(100ms);
    fleet.crash(engine, {{0, {culprit, first}}, {1, {second}}});
    fleet.run(2s);
}

TEST_CASE("a lone request whose target died once runs alone next, and is refused by every host after the second")
{
    QuarantineFleet fleet(1, 3);
    fleet.crash(engine, {{0, {culprit}}});
    CHECK(std::holds_alternative<RejectRequest>(fleet.decisionFor(0, culprit)));
    fleet.run(2s);
    // The target may have died by itself, so that the request still gets one run alone.
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

TEST_CASE("requests of one batch are run apart: innocents are cleared, the culprit takes a second target and no third")
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

TEST_CASE("a host whose only request shared the crash with those of other hosts condemns nothing")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    CHECK(fleet.everyHostDecides<RunIsolated>(second));
}

TEST_CASE("two hosts that want to run one suspect at once get one trial")
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

TEST_CASE("a target is reserved for one suspect at a time, and free again after its run")
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

TEST_CASE("reservations of one host for two targets may arrive in any order")
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

TEST_CASE("without the service a suspect is refused at once, and tried when the service is back")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    fleet.store.faults().outage = true;
    CHECK_FALSE(fleet.requestIsolatedRun(0, culprit, other));
    fleet.store.faults().outage = false;
    fleet.run(2s);
    CHECK(fleet.requestIsolatedRun(0, culprit, other));
}

TEST_CASE("a trial whose commit seemed to fail is refused and may be had later")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    fleet.store.faults().nextAnswersLost = 1;
    CHECK_FALSE(fleet.requestIsolatedRun(0, culprit, other));
    fleet.run(5s);
    CHECK(fleet.requestIsolatedRun(1, culprit, other));
}

TEST_CASE("a trial that ended without a result may be repeated, also when its host is gone")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    REQUIRE(fleet.requestIsolatedRun(0, first, other));
    fleet.handle(0, IsolatedRunEnded{.fingerprint = first});
    fleet.run(2s);
    REQUIRE(fleet.requestIsolatedRun(1, first, other));
    // Host 1 says nothing more of it.
    fleet.run(30s);
    CHECK_FALSE(fleet.requestIsolatedRun(2, first, other));
    fleet.run(6min);
    CHECK(fleet.requestIsolatedRun(2, first, TargetId("engine-3")));
}

TEST_CASE("hosts that missed every message learn from the service")
{
    QuarantineFleet fleet(1, 3);
    fleet.messageLoss = 1;
    fleet.crash(engine, {{0, {culprit}}});
    fleet.run(40s);
    CHECK(fleet.everyHostDecides<RunIsolated>(culprit));
}

TEST_CASE("an operator's lift frees the request everywhere, and late doubles of old messages change nothing")
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

TEST_CASE("a cleared request is not suspected again for a crash it shares with others")
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

TEST_CASE("the only request of two crashes explains both, and its companions are free")
{
    QuarantineFleet fleet(1, 3);
    crashBatch(fleet);
    const Fingerprint late("late");
    fleet.crash(other, {{0, {culprit}}, {2, {late}}});
    fleet.run(2s);
    CHECK(fleet.everyHostDecides<RejectRequest>(culprit));
    CHECK(fleet.everyHostDecides<RunUnrestricted>(late));
}

TEST_CASE("whoever waits for a trial is answered when the request is cleared meanwhile")
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

TEST_CASE("condemnations and suspicions end")
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

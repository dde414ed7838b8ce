#include "forwarding/TargetPace.h"
#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <utility>

using namespace Carawaymill;

namespace {

/// One host's view of the targets t0 to t9 of one service, all of which hold the same layers.
struct PaceFixture
{
    explicit PaceFixture(TargetPaceOptions options = {})
        : pace(std::move(options))
    {
        for (int i = 0; i < 10; ++i) {
            const DirectoryTarget target = ForwarderFixture::engine("t" + std::to_string(i), layers);
            listed[target.id] = target;
            pace.listed(target);
            router.updateTarget(
                target.id, {.layerTokensPerSecond = 1000}, {{.target = target.id, .model = {}, .layers = layers}});
        }
    }

    static std::vector<PathStage> path(const std::vector<int> &targets)
    {
        std::vector<PathStage> stages;
        stages.reserve(targets.size());
        for (const int target : targets) {
            stages.push_back({.target = TargetId("t" + std::to_string(target)), .address = {}, .layers = layers});
        }
        return stages;
    }

    std::set<std::string> readsDue(bool trustsLinks = true)
    {
        std::set<std::string> targets;
        for (const ProbeTarget &probe : pace.readsDue(listed, trustsLinks, now)) {
            CHECK(probe.purpose == ProbePurpose::Pace);
            targets.insert(probe.target.value());
        }
        return targets;
    }

    void report(int target, std::optional<double> value)
    {
        pace.recordReport({.target = TargetId("t" + std::to_string(target)),
                           .reached = value.has_value(),
                           .purpose = ProbePurpose::Pace,
                           .pace = value},
                          now);
    }

    static constexpr LayerRange layers{LayerIndex(0), LayerIndex(8)};
    TimePoint now{1h};
    TargetPace pace;
    ChainRouter router{{}};
    std::map<TargetId, DirectoryTarget> listed;
};

} // namespace

TEST_CASE("only targets that slow streams have and normal ones have not in common are read")
{
    PaceFixture fixture;
    fixture.pace.recordWait(PaceFixture::path({0, 1, 2}), 0.7, fixture.now);
    fixture.pace.recordWait(PaceFixture::path({0, 2, 3}), 0.3, fixture.now);
    CHECK(fixture.readsDue() == std::set<std::string>{"t1"});
    // It is not read twice for the same suspicion.
    fixture.now += 100ms;
    CHECK(fixture.readsDue().empty());
}

TEST_CASE("while all targets are overloaded, all hosts together read no more reports than allowed")
{
    // Without the bound each host would read all suspected targets, and each read is charged for.
    static constexpr std::size_t hosts = 97;
    std::size_t reads = 0;
    PaceFixture fixture;
    fixture.pace.setHosts(hosts);
    for (int tick = 0; tick < 500; ++tick, fixture.now += 20ms) {
        fixture.pace.recordWait(PaceFixture::path({0, 1, 2, 3, 4, 5, 6, 7, 8, 9}), 0.9, fixture.now);
        reads += fixture.readsDue().size();
    }
    // 10 s at the fewest reads of a host, and those that were saved up.
    CHECK(reads <= 10 * 0.5 + 3);
    CHECK(reads > 0);
}

TEST_CASE("a slow target is told, costs more until it is as usual again, and its expiry does not depend on a message")
{
    PaceFixture fixture;
    PaceFixture other;
    fixture.pace.recordWait(PaceFixture::path({1}), 0.7, fixture.now);
    REQUIRE(fixture.readsDue() == std::set<std::string>{"t1"});
    fixture.report(1, 5);
    CHECK(fixture.pace.apply(fixture.router, fixture.now) == std::vector{TargetId("t1")});
    const auto messages = fixture.pace.takeMessages();
    REQUIRE(messages.size() == 1);
    CHECK(messages.front().observation.pace == 5);
    other.pace.receive({.from = HostId("h"), .observation = messages.front().observation}, other.now);
    CHECK(other.pace.apply(other.router, other.now) == std::vector{TargetId("t1")});
    CHECK(other.pace.slowTargets() == 1);
    // The host that told it reads it again, the other one does not.
    fixture.now += 800ms;
    other.now += 800ms;
    CHECK(fixture.readsDue() == std::set<std::string>{"t1"});
    CHECK(other.readsDue().empty());
    fixture.report(1, 1);
    (void)fixture.pace.apply(fixture.router, fixture.now);
    CHECK(fixture.pace.slowTargets() == 0);
    CHECK(fixture.pace.takeMessages().front().observation.pace == 1);
    // The other host misses that message.
    other.now += 2s;
    (void)other.pace.apply(other.router, other.now);
    CHECK(other.pace.slowTargets() == 0);
}

TEST_CASE("a report from before a target slowed down does not delay the next read")
{
    // Reports are 200 ms old, so that the first one after a slow gap may say that all is as usual.
    PaceFixture fixture;
    fixture.pace.recordWait(PaceFixture::path({1}), 0.7, fixture.now);
    REQUIRE(fixture.readsDue() == std::set<std::string>{"t1"});
    fixture.report(1, 1);
    fixture.now += 500ms;
    fixture.pace.recordWait(PaceFixture::path({1}), 0.9, fixture.now);
    CHECK(fixture.readsDue() == std::set<std::string>{"t1"});
}

TEST_CASE("a stream that returns to an earlier attempt does not clear the targets of that")
{
    PaceFixture fixture;
    fixture.pace.recordWait(PaceFixture::path({1}), 0.7, fixture.now);
    fixture.pace.recordWait(PaceFixture::path({1}), 0, fixture.now);
    CHECK(fixture.readsDue() == std::set<std::string>{"t1"});
}

TEST_CASE("of two hosts that find a slow target at the same time one goes on to confirm it")
{
    // Where each took the other's message for the end of its own task, the pace expired on all hosts after 2 s.
    PaceFixture first({.self = HostId("a")});
    PaceFixture second({.self = HostId("b")});
    first.report(1, 5);
    second.report(1, 5);
    second.pace.receive({.from = HostId("a"), .observation = first.pace.takeMessages().front().observation},
                        second.now);
    first.pace.receive({.from = HostId("b"), .observation = second.pace.takeMessages().front().observation}, first.now);
    first.now += 800ms;
    second.now += 800ms;
    CHECK(first.readsDue() == std::set<std::string>{"t1"});
    CHECK(second.readsDue().empty());
}

TEST_CASE("the slow one of two targets is avoided")
{
    PaceFixture fixture;
    for (int target = 2; target < 10; ++target) {
        fixture.pace.unlisted(TargetId("t" + std::to_string(target)));
    }
    fixture.report(1, 4);
    CHECK(fixture.pace.apply(fixture.router, fixture.now) == std::vector{TargetId("t1")});
}

TEST_CASE("no target is avoided for its pace when most targets of the service are slow")
{
    PaceFixture fixture;
    for (int target = 0; target < 9; ++target) {
        fixture.report(target, 4);
    }
    CHECK(fixture.pace.apply(fixture.router, fixture.now).empty());
    CHECK(fixture.pace.slowTargets() == 0);
    // One that is slower than the others is.
    fixture.report(9, 12);
    CHECK(fixture.pace.apply(fixture.router, fixture.now) == std::vector{TargetId("t9")});
}

TEST_CASE("paces that are late, of another process, or out of bounds do no harm")
{
    PaceFixture fixture;
    const auto receive = [&](IncarnationNumber incarnation, Duration age, double pace) {
        fixture.pace.receive({.from = HostId("h"),
                              .observation = {.cause = ObservationCause::Slow,
                                              .target = TargetId("t1"),
                                              .incarnation = incarnation,
                                              .age = age,
                                              .pace = pace}},
                             fixture.now);
        (void)fixture.pace.apply(fixture.router, fixture.now);
        return fixture.pace.slowTargets();
    };
    CHECK(receive(IncarnationNumber(1), 60s, 5) == 0);
    CHECK(receive(IncarnationNumber(2), 0ms, 5) == 0);
    CHECK(receive(IncarnationNumber(1), 0ms, -3) == 0);
    CHECK(receive(IncarnationNumber(1), 0ms, 1e300) == 1);
    // A host that doubts its links reads nothing.
    fixture.pace.recordWait(PaceFixture::path({2}), 0.7, fixture.now);
    CHECK(fixture.readsDue(false).empty());
    // Without a reply nothing is known.
    CHECK(fixture.readsDue() == std::set<std::string>{"t2"});
    fixture.report(2, std::nullopt);
    CHECK(fixture.pace.takeMessages().empty());
}

TEST_CASE("a stream that has not begun leaves a target that has become slow, and one that writes stays")
{
    // Two chains: a1 and a2, b1 and b2.
    ForwarderFixture fixture;
    const auto begun = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(begun));
    fixture.handle(ForwarderFixture::event(begun, 1));
    const auto waiting = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(2, "/stream/x")));
    REQUIRE(waiting.path.size() == 2);
    const TargetId slow = waiting.path.back().target;
    const TargetObservation told{
        .cause = ObservationCause::Slow, .target = slow, .incarnation = IncarnationNumber(1), .pace = 6};
    fixture.handle(TargetObservationReceived{.from = HostId("h"), .observation = told});
    const auto actions = fixture.answerLivenessProbes(fixture.advance(20ms));
    const auto moved = only<ForwardToTarget>(actions);
    CHECK(moved.id == waiting.id);
    CHECK(std::ranges::none_of(moved.path, [&](const PathStage &stage) { return stage.target == slow; }));
    CHECK(std::ranges::count_if(
              actions, [](const ForwarderAction &action) { return std::holds_alternative<ForwardToTarget>(action); })
          == 1);
}

TEST_CASE("the pace of a target survives the encoding, and other causes are encoded as before")
{
    TargetObservation observation{.cause = ObservationCause::Slow, .target = TargetId("t"), .age = 200ms, .pace = 2.5};
    CHECK(nlohmann::json(observation).get<TargetObservation>() == observation);
    observation = {.cause = ObservationCause::Silent, .target = TargetId("t")};
    CHECK(nlohmann::json(observation).size() == 4);
    CHECK_THROWS(nlohmann::json::parse(R"(["slow", "t", 1, 0])").get<TargetObservation>());
}

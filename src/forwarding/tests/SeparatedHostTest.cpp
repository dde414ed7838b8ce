#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>

using namespace Carawaymill;

/// Time in which a host has to notice that it reaches no target; the platform allows 3 s.
static constexpr Duration noticeTime = 2s;

/// Whether the request goes from this host to its target.
static bool isDirect(const ForwardToTarget &dispatch)
{
    return !dispatch.via;
}

/// Answers dispatches of the fixture's host, to which new connections to all targets are refused, until there are no
/// more. Returns the number of refusals.
static std::size_t answer(ForwarderFixture &fixture, std::vector<ForwarderAction> actions)
{
    std::size_t refusals = 0;
    while (!actions.empty()) {
        std::vector<ForwarderAction> next;
        const auto deliver = [&](const ForwarderEvent &event) {
            for (ForwarderAction &action : fixture.handle(event)) {
                next.push_back(std::move(action));
            }
        };
        for (const ForwarderAction &action : actions) {
            refusals += std::holds_alternative<RefuseCaller>(action) ? 1 : 0;
            if (const auto *probe = std::get_if<ProbeTarget>(&action)) {
                deliver(TargetProbed{.target = probe->target, .reached = false, .purpose = probe->purpose});
            }
            const auto *dispatch = std::get_if<ForwardToTarget>(&action);
            if (dispatch == nullptr) {
                continue;
            }
            if (isDirect(*dispatch)) {
                deliver(ForwarderFixture::failed(*dispatch, false));
            } else {
                deliver(ForwarderFixture::started(*dispatch));
                deliver(ForwarderFixture::ended(*dispatch));
            }
        }
        actions = std::move(next);
    }
    return refusals;
}

/// Guards against a host that takes its own lost links for dead targets and refuses what others could carry.
TEST_CASE("a host that reaches no target refuses no request while another host reaches them")
{
    for (const std::string path : {"/read/x", "/post/x", "/stream/x"}) {
        CAPTURE(path);
        ForwarderFixture fixture;
        fixture.forwarder.setHosts(2, fixture.now);
        fixture.forwarder.setRelayHosts(
            {{.host = HostId("other"), .failureDomain = FailureDomainId("b"), .address = "other:1"}});
        const TimePoint cutAt = fixture.now;
        std::size_t refusals = 0;
        for (std::uint64_t id = 1; id <= 200; ++id) {
            const std::size_t refused = answer(fixture, fixture.handle(ForwarderFixture::request(id, path)))
                                        + answer(fixture, fixture.advance(40ms));
            refusals += fixture.now >= cutAt + noticeTime ? refused : 0;
        }
        CHECK(refusals == 0);
    }
}

static RelayHost relayHost(const std::string &id)
{
    return {.host = HostId(id), .failureDomain = FailureDomainId("b"), .address = id + ":1"};
}

/// Makes new connections of the fixture's host fail until it counts as separated.
static void separate(ForwarderFixture &fixture)
{
    for (std::uint64_t id = 1000; !fixture.forwarder.reach().isSeparated() && id < 1020; ++id) {
        (void)answer(fixture, fixture.handle(ForwarderFixture::request(id, "/read/x")));
        (void)answer(fixture, fixture.advance(40ms));
    }
    REQUIRE(fixture.forwarder.reach().isSeparated());
}

TEST_CASE("a separated host sends to targets itself again once a probe is answered")
{
    ForwarderFixture fixture;
    fixture.forwarder.setRelayHosts({relayHost("other")});
    separate(fixture);
    const auto relayed = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/read/x")));
    CHECK(relayed.via == relayHost("other"));
    fixture.advance(300ms);
    fixture.handle(TargetProbed{.target = TargetId("desk1"), .reached = true});
    CHECK(!only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(2, "/read/x"))).via);
}

TEST_CASE("a host that cannot pass a request on is left out and another one is asked")
{
    ForwarderFixture fixture;
    fixture.forwarder.setRelayHosts({relayHost("first"), relayHost("second")});
    separate(fixture);
    const auto relayed = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/post/x")));
    REQUIRE(relayed.via);
    TargetResponseFailed refused = ForwarderFixture::failed(relayed, false);
    refused.relayFailure = RelayFailure::HostUnavailable;
    const auto again = only<ForwardToTarget>(fixture.handle(refused));
    REQUIRE(again.via);
    CHECK(again.via->host != relayed.via->host);
    CHECK(fixture.forwarder.targets().targets().size() == 7);
    CHECK(!fixture.forwarder.targets().isUnresponsive(relayed.target));
}

/// Guards against streams that wait for the end of a cut on connections that no longer carry anything.
TEST_CASE("a stream whose connection was lost with its host's links resumes through another host")
{
    ForwarderFixture fixture;
    fixture.forwarder.setRelayHosts({relayHost("other")});
    const auto direct = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(direct));
    fixture.handle(ForwarderFixture::event(direct, 1));
    separate(fixture);
    std::vector<ForwarderAction> actions;
    for (const TimePoint end = fixture.now + 1500ms; fixture.now < end;) {
        std::ranges::move(fixture.answerLivenessProbes(fixture.advance(20ms)), std::back_inserter(actions));
    }
    for (const ForwarderAction &action : actions) {
        const auto *probe = std::get_if<ProbeTarget>(&action);
        CHECK((probe == nullptr || probe->purpose == ProbePurpose::Links || probe->via == relayHost("other")));
    }
    const auto found = std::ranges::find_if(actions, [&](const ForwarderAction &action) {
        const auto *dispatch = std::get_if<ForwardToTarget>(&action);
        return dispatch != nullptr && dispatch->id == direct.id;
    });
    REQUIRE(found != actions.end());
    const auto &moved = std::get<ForwardToTarget>(*found);
    CHECK(moved.via == relayHost("other"));
    CHECK(moved.target != direct.target);
    CHECK(moved.resumeAfter == StreamPosition(1));
    CHECK(!has<AbortStream>(actions));
}

/// Guards against a placement that replaces targets which only this host cannot reach.
TEST_CASE("targets that fail together are not lost while the host doubts its links or is separated")
{
    ForwarderFixture fixture;
    fixture.forwarder.setRelayHosts({relayHost("other")});
    std::uint64_t id = 0;
    while (!fixture.forwarder.reach().isSeparated() && id < 20) {
        (void)answer(fixture, fixture.handle(ForwarderFixture::request(++id, "/read/x")));
        if (id > 1) {
            for (const auto &[target, listed] : fixture.forwarder.targets().targets()) {
                CHECK(!fixture.forwarder.isLost(target));
            }
        }
        (void)answer(fixture, fixture.advance(20ms));
    }
    CHECK(fixture.forwarder.reach().isSeparated());
}

TEST_CASE("three targets that fail do not separate a host that reaches others")
{
    ForwarderFixture fixture;
    fixture.forwarder.setRelayHosts({relayHost("other")});
    const std::set<TargetId> dead{TargetId("desk1"), TargetId("desk2"), TargetId("desk3")};
    for (std::uint64_t id = 1; id <= 40; ++id) {
        std::vector<ForwarderAction> actions = fixture.handle(ForwarderFixture::request(id, "/read/x"));
        while (has<ForwardToTarget>(actions)) {
            actions = fixture.handle(ForwarderFixture::failed(only<ForwardToTarget>(actions), false));
        }
        for (const ForwarderAction &action : fixture.advance(60ms)) {
            if (const auto *probe = std::get_if<ProbeTarget>(&action)) {
                fixture.handle(TargetProbed{
                    .target = probe->target, .reached = !dead.contains(probe->target), .purpose = probe->purpose});
            }
        }
    }
    CHECK(!fixture.forwarder.reach().isSeparated());
    CHECK(fixture.forwarder.isLost(TargetId("desk1")));
}

/// Guards against a cut that is read into the silence of a sound target.
TEST_CASE("one target that is silent for a second neither separates a host nor makes it doubt its links")
{
    ForwarderFixture fixture;
    const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.advance(1100ms);
    fixture.handle(
        ProgressReported{.id = dispatch.id, .attempt = dispatch.attempt, .answered = false, .blockedAtAddress = {}});
    CHECK(!fixture.forwarder.reach().isDoubtful(fixture.now));
    // Reads of a target's pace follow from the stream that waits, not from doubt about this host's links.
    for (const ForwarderAction &action : fixture.advance(500ms)) {
        const auto *probe = std::get_if<ProbeTarget>(&action);
        CHECK((probe == nullptr || probe->purpose == ProbePurpose::Pace));
    }
}

/// Guards against sound requests that are condemned because a host lost its links.
TEST_CASE("responses that are lost with a host's links are not taken for crashes")
{
    ForwarderFixture fixture;
    fixture.forwarder.setRelayHosts({relayHost("other")});
    std::vector<ForwardToTarget> direct;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        direct.push_back(only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(id, "/post/x"))));
    }
    for (const ForwardToTarget &lost : direct) {
        for (const ForwarderAction &action : fixture.handle(ForwarderFixture::failed(lost, true))) {
            if (const auto *query = std::get_if<QueryProgress>(&action)) {
                fixture.handle(ProgressReported{
                    .id = query->id, .attempt = query->attempt, .answered = false, .blockedAtAddress = {}});
            }
        }
    }
    separate(fixture);
    (void)answer(fixture, fixture.advance(2s));
    CHECK(fixture.forwarder.attribution().crashes() == 0);
}

TEST_CASE("a host passes on requests of another one to usable targets unless it is separated or drains")
{
    ForwarderFixture fixture;
    const RelayRequested asked{.id = RelayId(1), .target = TargetId("desk1")};
    CHECK(only<PassOnRequest>(fixture.handle(asked)).address == "desk1:1");

    TargetResponseStarted leaving;
    leaving.leaving = true;
    fixture.handle(RelayedResponseStarted{.target = TargetId("desk1"), .head = leaving});
    CHECK(only<RefuseRelay>(fixture.handle(asked)).reason == RelayFailure::TargetUnavailable);
    CHECK(only<RefuseRelay>(fixture.handle(RelayRequested{.id = RelayId(2), .target = TargetId("gone")})).reason
          == RelayFailure::TargetUnavailable);

    const RelayRequested other{.id = RelayId(3), .target = TargetId("desk2")};
    separate(fixture);
    CHECK(only<RefuseRelay>(fixture.handle(other)).reason == RelayFailure::HostUnavailable);
    fixture.handle(TargetProbed{.target = TargetId("desk2"), .reached = true});
    CHECK(has<PassOnRequest>(fixture.handle(other)));
    fixture.forwarder.rejectNewRequestsFrom(fixture.now);
    CHECK(only<RefuseRelay>(fixture.handle(other)).reason == RelayFailure::HostUnavailable);
}

/// Guards against refusals of requests whose targets work, while all targets of another service are silent.
TEST_CASE("a host whose connections are accepted is not separated while all engines are silent")
{
    ForwarderFixture fixture;
    fixture.forwarder.setRelayHosts({relayHost("other")});
    std::vector<ForwarderAction> actions;
    const auto append = [&actions](std::vector<ForwarderAction> more) {
        std::ranges::move(more, std::back_inserter(actions));
    };
    for (std::uint64_t id = 1; id <= 12; ++id) {
        append(fixture.handle(ForwarderFixture::request(id, "/stream/x")));
    }
    std::size_t next = 0;
    for (const TimePoint end = fixture.now + 3s; fixture.now < end;) {
        append(fixture.advance(20ms));
        for (; next < actions.size(); ++next) {
            const ForwarderAction action = actions[next];
            if (const auto *query = std::get_if<QueryProgress>(&action)) {
                append(fixture.handle(ProgressReported{
                    .id = query->id, .attempt = query->attempt, .answered = false, .blockedAtAddress = {}}));
            } else if (const auto *probe = std::get_if<ProbeTarget>(&action)) {
                append(fixture.handle(TargetProbed{
                    .target = probe->target, .reached = false, .connected = true, .purpose = probe->purpose}));
            }
        }
        CHECK(!fixture.forwarder.reach().isSeparated());
    }
    CHECK(has<ProbeTarget>(actions));
    const auto plain = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(100, "/post/x")));
    CHECK(!plain.via);
}

/// Guards against seconds of refusals after a silence that another host took for a target out of reach.
TEST_CASE("a target that another host finds unusable is used again as soon as it sends events")
{
    ForwarderFixture fixture;
    fixture.forwarder.setRelayHosts({relayHost("other")});
    const auto direct = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(direct));
    fixture.handle(ForwarderFixture::event(direct, 1));
    fixture.forwarder.targetUnlisted(TargetId("b1"), fixture.router);
    separate(fixture);
    const auto relayed = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(2, "/stream/x")));
    REQUIRE(relayed.via);
    REQUIRE(relayed.target == direct.target);
    TargetResponseFailed unusable = ForwarderFixture::failed(relayed, false);
    unusable.relayFailure = RelayFailure::TargetUnavailable;
    fixture.handle(unusable);
    CHECK(fixture.forwarder.targets().isUnresponsive(direct.target));
    fixture.handle(ForwarderFixture::event(direct, 2));
    CHECK(!fixture.forwarder.targets().isUnresponsive(direct.target));
}

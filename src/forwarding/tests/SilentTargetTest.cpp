#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static constexpr LayerRange lowerLayers{LayerIndex(0), LayerIndex(4)};
static constexpr LayerRange upperLayers{LayerIndex(4), LayerIndex(8)};

static ForwardToTarget sendStream(ForwarderFixture &fixture, std::uint64_t id)
{
    return only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(id, "/stream/x")));
}

/// Lets time pass until the first target is queried, and reports that it did not reply.
static std::vector<ForwarderAction> findSilent(ForwarderFixture &fixture, const ForwardToTarget &dispatch)
{
    fixture.advance(1100ms);
    return fixture.answerLivenessProbes(fixture.handle(
        ProgressReported{.id = dispatch.id, .attempt = dispatch.attempt, .answered = false, .blockedAtAddress = {}}));
}

TEST_CASE("a response that is no stream is not moved and its body stays whole")
{
    for (const unsigned status : {400U, 500U}) {
        ForwarderFixture fixture;
        const auto dispatch = sendStream(fixture, 1);
        fixture.handle(ForwarderFixture::started(dispatch, status));
        fixture.handle(TargetResponseData{.id = dispatch.id, .attempt = dispatch.attempt, .bytes = "bad\n\n"});
        CHECK(!has<ForwardToTarget>(findSilent(fixture, dispatch)));
        fixture.handle(TargetResponseData{.id = dispatch.id, .attempt = dispatch.attempt, .bytes = "request"});
        const auto actions = fixture.handle(ForwarderFixture::ended(dispatch));
        CHECK(!has<WriteStream>(actions));
        if (status == 400) {
            CHECK(only<Respond>(actions).response.body == "bad\n\nrequest");
        }
    }
}

TEST_CASE("a stream that can only go on from the same first target stays where it is")
{
    ForwarderFixture fixture;
    fixture.forwarder.targetUnlisted(TargetId("b1"), fixture.router);
    const auto dispatch = sendStream(fixture, 1);
    fixture.advance(1100ms);
    const auto actions = fixture.answerLivenessProbes(
        fixture.handle(ProgressReported{.id = dispatch.id,
                                        .attempt = dispatch.attempt,
                                        .answered = true,
                                        .blockedAtAddress = dispatch.path.back().address}));
    CHECK(!has<AbandonAttempt>(actions));
    CHECK(!has<ForwardToTarget>(actions));
    CHECK(has<BeginStream>(fixture.handle(ForwarderFixture::started(dispatch))));
}

TEST_CASE("a stream with an attempt at a silent target is not moved a second time")
{
    ForwarderFixture fixture;
    fixture.forwarder.targetListed(ForwarderFixture::engine("c1", lowerLayers), fixture.router);
    fixture.forwarder.targetListed(ForwarderFixture::engine("c2", upperLayers), fixture.router);
    const auto first = sendStream(fixture, 1);
    fixture.handle(ForwarderFixture::started(first));
    const auto second = only<ForwardToTarget>(findSilent(fixture, first));
    const auto actions = findSilent(fixture, second);
    CHECK(!has<AbandonAttempt>(actions));
    CHECK(has<WriteStream>(fixture.handle(ForwarderFixture::event(first, 1))));
}

TEST_CASE("a stalled attempt of which nothing was sent does not count as run")
{
    ForwarderFixture fixture;
    const auto first = sendStream(fixture, 1);
    const auto second = only<ForwardToTarget>(findSilent(fixture, first));
    fixture.handle(ForwarderFixture::failed(first, false));
    fixture.handle(ForwarderFixture::rejected(second));
    const auto actions = fixture.handle(ForwarderFixture::ended(second));
    CHECK(!only<RefuseCaller>(actions).mayHaveRun);
}

TEST_CASE("a target whose reply is missing is not silent if it sent events of another stream since the query")
{
    ForwarderFixture fixture;
    const auto queried = sendStream(fixture, 1);
    const auto other = sendStream(fixture, 2);
    REQUIRE(queried.target == other.target);
    fixture.handle(ForwarderFixture::started(queried));
    fixture.handle(ForwarderFixture::started(other));
    fixture.advance(1020ms);
    fixture.handle(ForwarderFixture::event(other, 1));
    fixture.advance(160ms);
    const auto actions = fixture.answerLivenessProbes(fixture.handle(
        ProgressReported{.id = queried.id, .attempt = queried.attempt, .answered = false, .blockedAtAddress = {}}));
    CHECK(!has<ForwardToTarget>(actions));
    CHECK(!fixture.forwarder.targets().isSuspected(queried.target));
}

TEST_CASE("a silent target that answers again is still suspected for what it rejected")
{
    ForwarderFixture fixture;
    fixture.forwarder.targetUnlisted(TargetId("b1"), fixture.router);
    const auto stream = sendStream(fixture, 1);
    const auto rejected = sendStream(fixture, 2);
    fixture.handle(ForwarderFixture::started(stream));
    (void)findSilent(fixture, stream);
    TargetResponseStarted misdirected = ForwarderFixture::rejected(rejected);
    misdirected.misdirected = true;
    fixture.handle(misdirected);
    fixture.handle(ForwarderFixture::ended(rejected));
    fixture.handle(ForwarderFixture::event(stream, 1));
    CHECK(!fixture.forwarder.targets().isUnresponsive(stream.target));
    CHECK(fixture.forwarder.targets().isSuspected(stream.target));
}

TEST_CASE("a target that is silent for no longer than a sound one may be is not lost to the placement")
{
    ForwarderFixture fixture;
    const auto stream = sendStream(fixture, 1);
    fixture.handle(ForwarderFixture::started(stream));
    (void)findSilent(fixture, stream);
    fixture.advance(900ms);
    CHECK(fixture.forwarder.targets().isUnresponsive(stream.target));
    CHECK(!fixture.forwarder.targets().isLost(stream.target));
    fixture.advance(200ms);
    CHECK(fixture.forwarder.targets().isLost(stream.target));
}

TEST_CASE("the two attempts of a stream share no target if another chain exists")
{
    ForwarderFixture fixture;
    fixture.forwarder.targetUnlisted(TargetId("b2"), fixture.router);
    fixture.forwarder.targetListed(ForwarderFixture::engine("c2", upperLayers), fixture.router);
    const auto first = sendStream(fixture, 1);
    fixture.handle(ForwarderFixture::started(first));
    const auto second = only<ForwardToTarget>(findSilent(fixture, first));
    CHECK(second.path.back().target != first.path.back().target);
}

TEST_CASE("a stream whose service is no longer configured resumes on a chain of targets")
{
    ForwarderFixture fixture;
    const auto first = sendStream(fixture, 1);
    fixture.handle(ForwarderFixture::started(first));
    fixture.handle(ForwarderFixture::event(first, 1));
    RoutingConfiguration changed;
    changed.version = ConfigurationVersion(8);
    fixture.forwarder.configurationChanged(std::make_shared<const RoutingConfiguration>(changed), fixture.router);
    const auto second = only<ForwardToTarget>(fixture.handle(ForwarderFixture::failed(first)));
    CHECK(second.path.size() == 2);
}

TEST_CASE("a target that was leaving gets no requests when an older record states that it is ready")
{
    ForwarderFixture fixture;
    for (const std::string id : {"desk2", "desk3"}) {
        fixture.forwarder.targetUnlisted(TargetId(id), fixture.router);
    }
    DirectoryTarget leaving = ForwarderFixture::plainTarget("desk1");
    leaving.leaving = true;
    fixture.forwarder.targetListed(leaving, fixture.router);
    fixture.forwarder.targetListed(ForwarderFixture::plainTarget("desk1"), fixture.router);
    CHECK(!has<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/read/x"))));
}

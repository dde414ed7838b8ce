#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <set>

using namespace Carawaymill;

TEST_CASE("a plain response is relayed unchanged and the target is sent the caller's organisation")
{
    ForwarderFixture fixture;
    const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/read/x")));
    CHECK(dispatch.organisation == OrganisationId("club"));
    CHECK(dispatch.path.empty());
    fixture.handle(ForwarderFixture::started(dispatch));
    fixture.handle(TargetResponseData{.id = dispatch.id, .attempt = dispatch.attempt, .bytes = "answer"});
    const auto actions = fixture.handle(ForwarderFixture::ended(dispatch));
    CHECK(only<Respond>(actions).response.status == 200);
    CHECK(only<Respond>(actions).response.body == "answer");
    CHECK(fixture.forwarder.inProgress() == 0);
}

TEST_CASE("requests with an unknown route or key are refused and an unknown route has no retry delay")
{
    ForwarderFixture fixture;
    const auto noRoute = only<RefuseCaller>(fixture.handle(ForwarderFixture::request(1, "/elsewhere/")));
    CHECK(noRoute.reason == ForwardFailure::NoRoute);
    CHECK(!noRoute.retryAfter);
    ForwardRequested stranger = ForwarderFixture::request(2, "/read/x");
    stranger.request.key = "key-2";
    const auto noKey = only<RefuseCaller>(fixture.handle(stranger));
    CHECK(noKey.reason == ForwardFailure::KeyUnknown);
    CHECK(!noKey.mayHaveRun);
}

TEST_CASE("with a configuration that is too old only routes without keys are admitted")
{
    ForwarderFixture fixture;
    fixture.fresh = false;
    const auto refused = only<RefuseCaller>(fixture.handle(ForwarderFixture::request(1, "/read/x")));
    CHECK(refused.reason == ForwardFailure::ConfigurationTooOld);
    CHECK(refused.retryAfter);
    CHECK(has<ForwardToTarget>(fixture.handle(ForwarderFixture::request(2, "/open/x"))));
}

TEST_CASE("a request that may run only once is retried after a rejection but not after a lost response")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/post/x")));
    CHECK(first.freshConnection);
    fixture.handle(ForwarderFixture::rejected(first));
    const auto second = only<ForwardToTarget>(fixture.handle(ForwarderFixture::ended(first)));
    CHECK(second.target != first.target);
    const auto actions = fixture.handle(ForwarderFixture::failed(second));
    CHECK(!has<ForwardToTarget>(actions));
    const auto &refusal = only<RefuseCaller>(actions);
    CHECK(refusal.mayHaveRun);
    CHECK(!refusal.retryAfter);
}

TEST_CASE("a request that every target rejected is refused as not run with a retry delay")
{
    ForwarderFixture fixture;
    auto actions = fixture.handle(ForwarderFixture::request(1, "/post/x"));
    std::set<TargetId> tried;
    while (has<ForwardToTarget>(actions)) {
        const auto dispatch = only<ForwardToTarget>(actions);
        CHECK(tried.insert(dispatch.target).second);
        fixture.handle(ForwarderFixture::rejected(dispatch));
        actions = fixture.handle(ForwarderFixture::ended(dispatch));
    }
    const auto &refusal = only<RefuseCaller>(actions);
    CHECK(!refusal.mayHaveRun);
    REQUIRE(refusal.retryAfter);
    CHECK(*refusal.retryAfter <= 5s);
}

TEST_CASE(
    "a repeatable request is retried at another target after a lost response up to the route's maximum of targets")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/read/x")));
    const auto second = only<ForwardToTarget>(fixture.handle(ForwarderFixture::failed(first)));
    CHECK(second.target != first.target);
    const auto actions = fixture.handle(ForwarderFixture::failed(second));
    CHECK(!has<ForwardToTarget>(actions));
    CHECK(only<RefuseCaller>(actions).mayHaveRun);
}

TEST_CASE("a target's error response is sent to the caller if the retry at another target fails")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/read/x")));
    fixture.handle(ForwarderFixture::started(first, 500));
    const auto second = only<ForwardToTarget>(fixture.handle(ForwarderFixture::ended(first)));
    const auto actions = fixture.handle(ForwarderFixture::failed(second));
    CHECK(only<Respond>(actions).response.status == 500);
}

TEST_CASE("a successful response without the target's seal is refused as possibly run")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/post/x")));
    TargetResponseStarted unsealed = ForwarderFixture::started(first);
    unsealed.sealed = false;
    fixture.handle(unsealed);
    const auto actions = fixture.handle(ForwarderFixture::ended(first));
    CHECK(!has<Respond>(actions));
    CHECK(only<RefuseCaller>(actions).mayHaveRun);
}

TEST_CASE("a request that reaches its route's timeout is refused and its attempt is abandoned")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/post/x")));
    const auto actions = fixture.advance(820ms);
    CHECK(only<RefuseCaller>(actions).reason == ForwardFailure::TimeoutReached);
    CHECK(only<AbandonAttempt>(actions).attempt == first.attempt);
    CHECK(!has<Respond>(fixture.handle(ForwarderFixture::ended(first))));
}

TEST_CASE("the attempt of a request is abandoned when its caller disconnects")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    CHECK(only<AbandonAttempt>(fixture.handle(ForwardCallerDisconnected{first.id})).attempt == first.attempt);
    CHECK(fixture.forwarder.inProgress() == 0);
}

TEST_CASE("the path of a stream has every layer once and in order within one failure domain")
{
    ForwarderFixture fixture;
    const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    REQUIRE(dispatch.path.size() == 2);
    CHECK(dispatch.path[0].layers == LayerRange{LayerIndex(0), LayerIndex(4)});
    CHECK(dispatch.path[1].layers == LayerRange{LayerIndex(4), LayerIndex(8)});
    CHECK(dispatch.target == TargetId("a1"));
    CHECK(dispatch.path[1].target == TargetId("a2"));
}

TEST_CASE("a broken stream resumes at another target after its last complete event")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    CHECK(has<BeginStream>(fixture.handle(ForwarderFixture::started(first))));
    CHECK(only<WriteStream>(fixture.handle(ForwarderFixture::event(first, 1))).chunk == "id: 1\ndata: x\n\n");
    CHECK(!has<WriteStream>(
        fixture.handle(TargetResponseData{.id = first.id, .attempt = first.attempt, .bytes = "id: 2\nda"})));
    const auto second = only<ForwardToTarget>(fixture.handle(ForwarderFixture::failed(first)));
    CHECK(second.target == TargetId("b1"));
    CHECK(second.resumeAfter == StreamPosition(1));
    CHECK(!has<BeginStream>(fixture.handle(ForwarderFixture::started(second))));
    CHECK(!has<WriteStream>(fixture.handle(ForwarderFixture::event(second, 1))));
    CHECK(has<WriteStream>(fixture.handle(ForwarderFixture::event(second, 2))));
    CHECK(has<EndStream>(fixture.handle(ForwarderFixture::ended(second))));
}

TEST_CASE("a stream that ends within an event is broken off towards the caller if its retry does too")
{
    ForwarderFixture fixture;
    auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(dispatch));
    const auto endWithinEvent = [&] {
        fixture.handle(TargetResponseData{.id = dispatch.id, .attempt = dispatch.attempt, .bytes = "id: 2\nda"});
        return fixture.handle(ForwarderFixture::ended(dispatch));
    };
    dispatch = only<ForwardToTarget>(endWithinEvent());
    fixture.handle(ForwarderFixture::started(dispatch));
    const auto actions = endWithinEvent();
    CHECK(!has<EndStream>(actions));
    CHECK(has<AbortStream>(actions));
}

TEST_CASE("a stalled stream is queried for progress and is moved only if a target on its path is reported as blocked")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(first));
    fixture.handle(ForwarderFixture::event(first, 1));
    auto actions = fixture.advance(420ms);
    const auto query = only<QueryProgress>(actions);
    CHECK(query.address == "a1:1");
    ProgressReported report{.id = first.id, .attempt = first.attempt, .answered = true, .blockedAtAddress = {}};
    CHECK(!has<ForwardToTarget>(fixture.answerLivenessProbes(fixture.handle(report))));
    fixture.advance(420ms);
    report.blockedAtAddress = "a2:1";
    const auto second = only<ForwardToTarget>(fixture.answerLivenessProbes(fixture.handle(report)));
    CHECK(second.target == TargetId("b1"));
    CHECK(second.resumeAfter == StreamPosition(1));
}

/// Lets the stream of `dispatch` stall until its first target has not replied to the progress query, and returns the
/// actions that follow.
static std::vector<ForwarderAction> stallAtSilentTarget(ForwarderFixture &fixture, const ForwardToTarget &dispatch)
{
    CHECK(only<QueryProgress>(fixture.advance(420ms)).attempt == dispatch.attempt);
    return fixture.answerLivenessProbes(fixture.handle(
        ProgressReported{.id = dispatch.id, .attempt = dispatch.attempt, .answered = false, .blockedAtAddress = {}}));
}

TEST_CASE("a stream of a silent target is not broken off when the target that it was moved to rejects it")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(first));
    fixture.handle(ForwarderFixture::event(first, 1));
    const auto second = only<ForwardToTarget>(stallAtSilentTarget(fixture, first));
    fixture.handle(ForwarderFixture::rejected(second));
    CHECK(!has<AbortStream>(fixture.handle(ForwarderFixture::ended(second))));
    CHECK(has<WriteStream>(fixture.handle(ForwarderFixture::event(first, 2))));
    CHECK(has<EndStream>(fixture.handle(ForwarderFixture::ended(first))));
    CHECK(fixture.forwarder.inProgress() == 0);
}

TEST_CASE("a stream whose silent target goes on before the new one begins stays with it")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(first));
    fixture.handle(ForwarderFixture::event(first, 1));
    const auto second = only<ForwardToTarget>(stallAtSilentTarget(fixture, first));
    const auto actions = fixture.handle(ForwarderFixture::event(first, 2));
    CHECK(only<WriteStream>(actions).chunk.find("id: 2") != std::string::npos);
    CHECK(only<AbandonAttempt>(actions).attempt == second.attempt);
    CHECK(!fixture.forwarder.targets().isUnresponsive(first.target));
    CHECK(has<EndStream>(fixture.handle(ForwarderFixture::ended(first))));
}

TEST_CASE("a stream leaves its silent target once the new one has sent an event")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(first));
    fixture.handle(ForwarderFixture::event(first, 1));
    const auto second = only<ForwardToTarget>(stallAtSilentTarget(fixture, first));
    CHECK(second.target != first.target);
    CHECK(!has<AbandonAttempt>(fixture.handle(ForwarderFixture::started(second))));
    const auto actions = fixture.handle(ForwarderFixture::event(second, 2));
    CHECK(has<WriteStream>(actions));
    CHECK(only<AbandonAttempt>(actions).attempt == first.attempt);
    CHECK(!has<WriteStream>(fixture.handle(ForwarderFixture::event(first, 2))));
    CHECK(has<EndStream>(fixture.handle(ForwarderFixture::ended(second))));
}

TEST_CASE("a request that left a silent target runs on no more targets than its route allows")
{
    ForwarderFixture fixture;
    fixture.forwarder.targetListed(ForwarderFixture::engine("c1", {LayerIndex(0), LayerIndex(4)}), fixture.router);
    fixture.forwarder.targetListed(ForwarderFixture::engine("c2", {LayerIndex(4), LayerIndex(8)}), fixture.router);
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(first));
    fixture.handle(ForwarderFixture::event(first, 1));
    const auto second = only<ForwardToTarget>(stallAtSilentTarget(fixture, first));
    fixture.handle(ForwarderFixture::started(second));
    fixture.handle(ForwarderFixture::event(second, 2));
    CHECK(!has<ForwardToTarget>(stallAtSilentTarget(fixture, second)));
}

TEST_CASE("a stalled stream stays at its targets if no other chain is available")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(first));
    fixture.forwarder.targetUnlisted(TargetId("b2"), fixture.router);
    fixture.advance(420ms);
    const auto actions = fixture.handle(
        ProgressReported{.id = first.id, .attempt = first.attempt, .answered = true, .blockedAtAddress = "a2:1"});
    CHECK(!has<AbandonAttempt>(actions));
    CHECK(!has<AbortStream>(actions));
    CHECK(has<WriteStream>(fixture.handle(ForwarderFixture::event(first, 1))));
}

TEST_CASE("a target that is leaving receives no new requests")
{
    ForwarderFixture fixture;
    DirectoryTarget leaving = ForwarderFixture::engine("a2", {LayerIndex(4), LayerIndex(8)});
    leaving.leaving = true;
    fixture.forwarder.targetListed(leaving, fixture.router);
    const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    for (const PathStage &stage : dispatch.path) {
        CHECK(stage.target != TargetId("a2"));
    }
}

TEST_CASE("a request is refused at once with a retry delay if no chain has all layers")
{
    ForwarderFixture fixture;
    fixture.forwarder.targetUnlisted(TargetId("a2"), fixture.router);
    fixture.forwarder.targetUnlisted(TargetId("b2"), fixture.router);
    const auto refusal = only<RefuseCaller>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    CHECK(refusal.reason == ForwardFailure::NoTarget);
    CHECK(!refusal.mayHaveRun);
    CHECK(refusal.retryAfter);
}

TEST_CASE("a host that shuts down rejects new requests from the given time on and completes accepted ones")
{
    ForwarderFixture fixture;
    fixture.forwarder.rejectNewRequestsFrom(fixture.now + 1s);
    const auto accepted = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.now += 1s;
    const auto refusal = only<RefuseCaller>(fixture.handle(ForwarderFixture::request(2, "/stream/x")));
    CHECK(refusal.reason == ForwardFailure::Draining);
    CHECK(!refusal.mayHaveRun);
    fixture.handle(ForwarderFixture::started(accepted));
    CHECK(has<EndStream>(fixture.handle(ForwarderFixture::ended(accepted))));
}

/// Guards against connections that a host closes without an answer when it stops.
TEST_CASE("requests that are still in progress at the end of a drain are answered")
{
    ForwarderFixture fixture;
    fixture.forwarder.rejectNewRequestsFrom(fixture.now);
    fixture.now -= 1ms;
    const auto post = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/post/x")));
    const auto silent = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(2, "/stream/x")));
    const auto begun = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(3, "/stream/x")));
    fixture.handle(ForwarderFixture::started(begun));
    const auto actions = fixture.handle(DrainTimeoutReached{});
    std::map<RequestId, RefuseCaller> refusals;
    std::set<RequestId> abandoned;
    for (const ForwarderAction &action : actions) {
        if (const auto *refusal = std::get_if<RefuseCaller>(&action)) {
            refusals[refusal->id] = *refusal;
        } else if (const auto *abandon = std::get_if<AbandonAttempt>(&action)) {
            abandoned.insert(abandon->id);
        }
    }
    REQUIRE(refusals.size() == 2);
    CHECK(refusals.at(post.id).mayHaveRun);
    CHECK(refusals.at(silent.id).mayHaveRun);
    CHECK(!refusals.at(post.id).retryAfter);
    CHECK(only<AbortStream>(actions).id == begun.id);
    CHECK(abandoned.size() == 3);
    CHECK(fixture.forwarder.inProgress() == 0);
}

TEST_CASE("requests that arrive while a host starts are dispatched once its configuration and directory are loaded")
{
    ForwarderFixture fixture({}, false);
    CHECK(fixture.handle(ForwarderFixture::request(1, "/read/x")).empty());
    CHECK(fixture.handle(ForwarderFixture::request(2, "/read/x")).empty());
    fixture.handle(ForwardCallerDisconnected{RequestId(2)});
    CHECK(fixture.forwarder.inProgress() == 1);
    CHECK(!has<RefuseCaller>(fixture.advance(100ms)));
    fixture.loadState();
    const auto actions = fixture.advance(20ms);
    const auto dispatch = only<ForwardToTarget>(actions);
    CHECK(dispatch.id == RequestId(1));
    // The time that the request has waited is subtracted.
    CHECK(*dispatch.timeLeft < 19950ms);
    CHECK(fixture.forwarder.inProgress() == 1);
}

TEST_CASE("early requests are refused with a retry delay if no configuration is loaded within the grace period")
{
    ForwarderFixture fixture({}, false);
    CHECK(fixture.handle(ForwarderFixture::request(1, "/read/x")).empty());
    const auto refusal = only<RefuseCaller>(fixture.advance(600ms));
    CHECK(refusal.reason == ForwardFailure::NoConfiguration);
    CHECK(!refusal.mayHaveRun);
    CHECK(refusal.retryAfter);
    // Requests that arrive after the grace period are refused at once.
    CHECK(only<RefuseCaller>(fixture.handle(ForwarderFixture::request(2, "/read/x"))).id == RequestId(2));
}

TEST_CASE("a target that rejects a request as misdirected is suspected until its directory record changes")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    TargetResponseStarted misdirected = ForwarderFixture::rejected(first);
    misdirected.head.status = 421;
    misdirected.misdirected = true;
    fixture.handle(misdirected);
    const auto second = only<ForwardToTarget>(fixture.handle(ForwarderFixture::ended(first)));
    CHECK(second.target != first.target);
    (void)fixture.advance(1s);
    for (std::uint64_t id = 2; id <= 4; ++id) {
        CHECK(only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(id, "/stream/x"))).target != first.target);
    }
    DirectoryTarget changed = fixture.forwarder.targets().targets().at(first.target);
    changed.held.front().layers.end = LayerIndex(5);
    fixture.forwarder.targetListed(changed, fixture.router);
    CHECK(!fixture.forwarder.targets().isSuspected(first.target));
}

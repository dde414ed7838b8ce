#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <set>

using namespace Carawaymill;

/// Sends one request of each path and returns the targets that the requests reach first.
static std::set<TargetId> reachedTargets(ForwarderFixture &fixture, const std::string &path, std::uint64_t firstId)
{
    static constexpr std::uint64_t requestCount = 24;
    std::set<TargetId> reached;
    for (std::uint64_t id = firstId; id < firstId + requestCount; ++id) {
        const auto actions = fixture.handle(ForwarderFixture::request(id, path));
        if (has<ForwardToTarget>(actions)) {
            const auto &dispatch = only<ForwardToTarget>(actions);
            reached.insert(dispatch.target);
            fixture.handle(ForwarderFixture::started(dispatch));
            fixture.handle(ForwarderFixture::ended(dispatch));
        }
    }
    return reached;
}

/// Sends a request and returns the target that rejects it for `rest`.
static TargetId rejectWithRest(ForwarderFixture &fixture, const std::string &path, Duration rest)
{
    const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, path)));
    TargetResponseStarted rejection = ForwarderFixture::rejected(dispatch);
    rejection.restFor = rest;
    fixture.handle(rejection);
    fixture.handle(ForwarderFixture::ended(dispatch));
    return dispatch.target;
}

TEST_CASE("a target that said in a response that it leaves gets no new requests")
{
    for (const std::string path : {"/read/x", "/stream/x"}) {
        ForwarderFixture fixture;
        const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, path)));
        TargetResponseStarted response = ForwarderFixture::started(dispatch);
        response.leaving = true;
        fixture.handle(response);
        fixture.handle(ForwarderFixture::ended(dispatch));
        CHECK(!reachedTargets(fixture, path, 2).contains(dispatch.target));
        // Its record in the directory may still state that it is ready, or come back from an older copy.
        const DirectoryTarget record = fixture.forwarder.targets().targets().at(dispatch.target);
        fixture.forwarder.targetListed(record, fixture.router);
        CHECK(!reachedTargets(fixture, path, 30).contains(dispatch.target));
        fixture.forwarder.targetUnlisted(dispatch.target, fixture.router);
        fixture.forwarder.targetListed(record, fixture.router);
        fixture.advance(10s);
        CHECK(!reachedTargets(fixture, path, 60).contains(dispatch.target));
        CHECK(fixture.forwarder.targets().isLeaving(dispatch.target));
    }
}

TEST_CASE("a target that left and started again as a new process gets requests")
{
    ForwarderFixture fixture;
    const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/read/x")));
    TargetResponseStarted response = ForwarderFixture::started(dispatch);
    response.leaving = true;
    fixture.handle(response);
    fixture.handle(ForwarderFixture::ended(dispatch));
    DirectoryTarget record = fixture.forwarder.targets().targets().at(dispatch.target);
    record.incarnation = record.incarnation.next();
    fixture.forwarder.targetListed(record, fixture.router);
    CHECK(!fixture.forwarder.targets().isLeaving(dispatch.target));
    CHECK(reachedTargets(fixture, "/read/x", 2).contains(dispatch.target));
}

TEST_CASE("a target that rejected a request with a rest gets no request until the rest is over")
{
    static constexpr Duration rest = 3s;
    for (const std::string path : {"/read/x", "/stream/x"}) {
        ForwarderFixture fixture;
        const TargetId target = rejectWithRest(fixture, path, rest);
        fixture.advance(1s);
        CHECK(!reachedTargets(fixture, path, 100).contains(target));
        // Other layers in its record, and a record that was away, do not end the rest.
        DirectoryTarget record = fixture.forwarder.targets().targets().at(target);
        record.concurrency += 1;
        if (!record.held.empty()) {
            record.held.front().version = "2";
            fixture.forwarder.targetListed(record, fixture.router);
            record.held.front().version = "1";
        }
        fixture.forwarder.targetListed(record, fixture.router);
        CHECK(!reachedTargets(fixture, path, 200).contains(target));
        fixture.forwarder.targetUnlisted(target, fixture.router);
        fixture.forwarder.targetListed(record, fixture.router);
        fixture.advance(rest - 1s - 20ms);
        CHECK(!reachedTargets(fixture, path, 300).contains(target));
        fixture.advance(40ms);
        for (const std::string other : {"b1", "desk1", "desk2", "desk3"}) {
            if (TargetId(other) != target) {
                fixture.forwarder.targetUnlisted(TargetId(other), fixture.router);
            }
        }
        CHECK(reachedTargets(fixture, path, 400).contains(target));
    }
}

TEST_CASE("a caller that is refused because all targets rest is told to come back when the first rest ends")
{
    ForwarderFixture fixture;
    std::vector<ForwarderAction> actions = fixture.handle(ForwarderFixture::request(1, "/post/x"));
    while (has<ForwardToTarget>(actions)) {
        const auto dispatch = only<ForwardToTarget>(actions);
        TargetResponseStarted rejection = ForwarderFixture::rejected(dispatch);
        rejection.restFor = 2s;
        fixture.handle(rejection);
        actions = fixture.handle(ForwarderFixture::ended(dispatch));
    }
    const auto &refusal = only<RefuseCaller>(actions);
    CHECK(!refusal.mayHaveRun);
    REQUIRE(refusal.retryAfter);
    CHECK(*refusal.retryAfter >= 2s);
    CHECK(*refusal.retryAfter <= 4s);
    const auto later = only<RefuseCaller>(fixture.handle(ForwarderFixture::request(2, "/post/x")));
    REQUIRE(later.retryAfter);
    CHECK(*later.retryAfter >= 2s);
}

/// Guards against a stream whose target sends one event without end, which fills the memory of the host.
TEST_CASE("a stream whose event never ends is given up and resumes at another target")
{
    ForwarderFixture fixture;
    const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(dispatch));
    fixture.handle(ForwarderFixture::event(dispatch, 1));
    const std::string filler(4096, 'a');
    std::vector<ForwarderAction> actions;
    for (int part = 0; part < 100 && actions.empty(); ++part) {
        actions = fixture.handle(
            TargetResponseData{.id = dispatch.id, .attempt = dispatch.attempt, .bytes = "id: 2\ndata: " + filler});
    }
    CHECK(has<AbandonAttempt>(actions));
    const auto resumed = only<ForwardToTarget>(actions);
    CHECK(resumed.target != dispatch.target);
    CHECK(resumed.resumeAfter == StreamPosition(1));
}

/// Guards against a target that writes an earlier refusal once more on a kept connection: it names the same attempt as
/// the request that runs there now, so that the caller would be told that this one did not run.
TEST_CASE("a request that a target has rejected is sent there again on a new connection only")
{
    ForwarderFixture fixture;
    for (const std::string id : {"a3", "a4"}) {
        fixture.forwarder.targetListed(ForwarderFixture::engine(id, {LayerIndex(4), LayerIndex(8)}), fixture.router);
    }
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    CHECK(!first.freshConnection);
    // The second target of the path is at fault, so that the first one is chosen again.
    fixture.handle(ForwarderFixture::rejected(first, first.path.at(1).address));
    auto actions = fixture.handle(ForwarderFixture::ended(first));
    std::set<TargetId> rejecting{first.target};
    std::size_t sentAgain = 0;
    while (has<ForwardToTarget>(actions)) {
        const auto dispatch = only<ForwardToTarget>(actions);
        const bool isAgain = !rejecting.insert(dispatch.target).second;
        sentAgain += isAgain ? 1 : 0;
        CHECK(dispatch.freshConnection == isAgain);
        fixture.handle(ForwarderFixture::rejected(dispatch, dispatch.path.at(1).address));
        actions = fixture.handle(ForwarderFixture::ended(dispatch));
    }
    CHECK(sentAgain > 0);
}

/// Guards against the text or head of an error in the middle of a caller's stream, and against a stream that ends as
/// if it were complete: it broke off, and the next target answered with something else than its rest.
TEST_CASE("an error of the next target is not part of a stream that broke off")
{
    const std::string errorText = "id: 2\ndata: error\n\n";

    struct Answer
    {
        unsigned status;
        bool sealed;
        bool notRun;
    };

    for (const Answer answer : {Answer{500, true, false},
                                Answer{500, false, false},
                                Answer{404, true, false},
                                Answer{503, false, true},
                                Answer{421, false, true},
                                Answer{204, true, false},
                                Answer{206, true, false},
                                Answer{302, true, false},
                                Answer{200, false, false}}) {
        for (const bool isLost : {false, true}) {
            for (const std::size_t eventsBefore : {0U, 1U}) {
                CAPTURE(answer.status);
                CAPTURE(answer.sealed);
                CAPTURE(isLost);
                CAPTURE(eventsBefore);
                ForwarderFixture fixture;
                const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
                CHECK(has<BeginStream>(fixture.handle(ForwarderFixture::started(first))));
                if (eventsBefore > 0) {
                    fixture.handle(ForwarderFixture::event(first, 1));
                }
                fixture.handle(
                    TargetResponseData{.id = first.id, .attempt = first.attempt, .bytes = "id: 2\ndata: ha"});
                auto actions = fixture.handle(ForwarderFixture::failed(first));
                bool aborted = false;
                while (has<ForwardToTarget>(actions)) {
                    const auto next = only<ForwardToTarget>(actions);
                    TargetResponseStarted head = ForwarderFixture::started(next, answer.status);
                    head.sealed = answer.sealed;
                    head.notRun = answer.notRun;
                    auto seen = fixture.handle(head);
                    const auto data =
                        fixture.handle(TargetResponseData{.id = next.id, .attempt = next.attempt, .bytes = errorText});
                    seen.insert(seen.end(), data.begin(), data.end());
                    actions = fixture.handle(isLost ? ForwarderEvent(ForwarderFixture::failed(next))
                                                    : ForwarderEvent(ForwarderFixture::ended(next)));
                    seen.insert(seen.end(), actions.begin(), actions.end());
                    CHECK(!has<BeginStream>(seen));
                    CHECK(!has<WriteStream>(seen));
                    CHECK(!has<EndStream>(seen));
                    CHECK(!has<Respond>(seen));
                    CHECK(!has<RefuseCaller>(seen));
                    aborted = has<AbortStream>(seen);
                }
                CHECK(aborted);
            }
        }
    }
}

TEST_CASE("a stream that broke off goes on at a third target after an error of the second one")
{
    ForwarderFixture fixture;
    const auto first = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(first));
    fixture.handle(ForwarderFixture::event(first, 1));
    const auto second = only<ForwardToTarget>(fixture.handle(ForwarderFixture::failed(first)));
    fixture.handle(ForwarderFixture::rejected(second, second.path.at(1).address));
    fixture.handle(TargetResponseData{.id = second.id, .attempt = second.attempt, .bytes = "busy\n\n"});
    const auto actions = fixture.handle(ForwarderFixture::ended(second));
    REQUIRE(has<ForwardToTarget>(actions));
    const auto third = only<ForwardToTarget>(actions);
    CHECK(third.resumeAfter == StreamPosition(1));
    fixture.handle(ForwarderFixture::started(third));
    CHECK(only<WriteStream>(fixture.handle(ForwarderFixture::event(third, 2))).chunk == "id: 2\ndata: x\n\n");
    CHECK(has<EndStream>(fixture.handle(ForwarderFixture::ended(third))));
}

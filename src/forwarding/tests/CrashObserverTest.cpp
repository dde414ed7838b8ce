#include "forwarding/CrashObserver.h"
#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static std::vector<RequestTrait> traitsOf(const std::string &body)
{
    return Carawaymill::traitsOf(OrganisationId("club"), "/stream/x", body, {"first"});
}

TEST_CASE("losses at a target that doesn't answer its query are one crash with the traits of all of them")
{
    CrashObserver observer;
    const TimePoint now{1h};
    const TargetId target("a1");
    CHECK(observer.recordLoss(target, RequestId(1), AttemptNumber(1), traitsOf("one"), now));
    CHECK(!observer.recordLoss(target, RequestId(2), AttemptNumber(1), traitsOf("two"), now + 20ms));
    observer.recordReport({.id = RequestId(1), .attempt = AttemptNumber(1), .answered = false, .blockedAtAddress = {}});
    CHECK(observer.takeCrashes(now + 60ms).empty());
    const auto crashes = observer.takeCrashes(now + 100ms);
    REQUIRE(crashes.size() == 1);
    CHECK(crashes.front().target == target);
    // Two requests and the part that they share.
    CHECK(crashes.front().traits.size() == 3);
    CHECK(observer.takeCrashes(now + 2s).empty());
}

TEST_CASE("a connection that broke while its target still answers is no crash")
{
    CrashObserver observer;
    const TimePoint now{1h};
    CHECK(observer.recordLoss(TargetId("a1"), RequestId(1), AttemptNumber(1), traitsOf("one"), now));
    observer.recordReport({.id = RequestId(1), .attempt = AttemptNumber(1), .answered = true, .blockedAtAddress = {}});
    CHECK(observer.takeCrashes(now + 200ms).empty());
    CHECK(observer.takeCrashes(now + 2s).empty());
}

TEST_CASE(
    "a target whose stream broke soon after its start is queried and one whose stream had long been written is not")
{
    for (const bool isYoung : {true, false}) {
        ForwarderFixture fixture;
        const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
        fixture.handle(ForwarderFixture::started(dispatch));
        fixture.handle(ForwarderFixture::event(dispatch, 1));
        fixture.now += isYoung ? 100ms : 500ms;
        CHECK(has<QueryProgress>(fixture.handle(ForwarderFixture::failed(dispatch))) == isYoung);
    }
}

TEST_CASE("a target whose stream broke soon after its first event is queried although its head had come long before")
{
    ForwarderFixture fixture;
    const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
    fixture.handle(ForwarderFixture::started(dispatch));
    fixture.now += 600ms;
    fixture.handle(ForwarderFixture::event(dispatch, 1));
    fixture.now += 100ms;
    CHECK(has<QueryProgress>(fixture.handle(ForwarderFixture::failed(dispatch))));
}

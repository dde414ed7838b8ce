#include "services/ServiceCall.h"

#include <doctest/doctest.h>

#include <set>

using namespace Carawaymill;

static constexpr TimePoint start{};

static ServiceCallOptions bookingOptions(const std::string &method)
{
    return {.job = JobId("job"),
            .method = method,
            .entry = {.targets = {TargetId("a"), TargetId("b"), TargetId("c")}, .idempotentMethods = {"GET"}},
            .timeout = 10s,
            .attemptTimeout = 1s,
            .targetUsable = [](const TargetId &) { return true; },
            .retryAllowed = [] { return true; }};
}

static ServiceCall makeCall(ServiceCallOptions options)
{
    return std::get<ServiceCall>(ServiceCall::create(std::move(options)));
}

static const DispatchToTarget &dispatch(const std::vector<ServiceCallAction> &actions)
{
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<DispatchToTarget>(actions[0]));
    return std::get<DispatchToTarget>(actions[0]);
}

template<typename Expected>
static const Expected &outcome(const std::vector<ServiceCallAction> &actions)
{
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<CompleteCall>(actions[0]));
    const Outcome &found = std::get<CompleteCall>(actions[0]).outcome;
    REQUIRE(std::holds_alternative<Expected>(found));
    return std::get<Expected>(found);
}

TEST_CASE("a booking whose connection is lost is unknown and never sent again")
{
    ServiceCall call = makeCall(bookingOptions("POST"));
    const auto first = dispatch(call.handle(ServiceCallStarted{}, start));
    CHECK(outcome<Unknown>(call.handle(TargetAnswered{first.attempt, HttpNoResponse{}}, start)).problem
          == CallProblem::ConnectionLost);
    CHECK(call.handle(Tick{}, start + 5s).empty());
}

TEST_CASE("a slow booking is not hedged, is unknown at the deadline, and its late answer is recorded")
{
    ServiceCall call = makeCall(bookingOptions("POST"));
    const auto first = dispatch(call.handle(ServiceCallStarted{}, start));
    CHECK(call.handle(Tick{}, start + 9s).empty());
    CHECK(outcome<Unknown>(call.handle(Tick{}, start + 10s)).problem == CallProblem::DeadlineExceeded);
    const auto late = call.handle(TargetAnswered{first.attempt, HttpResponse{}}, start + 11s);
    REQUIRE(late.size() == 1);
    CHECK(std::holds_alternative<RecordLateAnswer>(late[0]));
}

TEST_CASE("a booking of which no byte was sent tries each target once and is then not run")
{
    ServiceCall call = makeCall(bookingOptions("POST"));
    std::set<TargetId> tried;
    auto actions = call.handle(ServiceCallStarted{}, start);
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto sent = dispatch(actions);
        CHECK(tried.insert(sent.target).second);
        actions = call.handle(TargetAnswered{sent.attempt, HttpNotSent{}}, start);
    }
    CHECK(outcome<NotRun>(actions).retryAfter() > 0s);
}

TEST_CASE("an availability query is asked of another target, within the retry budget")
{
    int budget = 1;
    ServiceCallOptions options = bookingOptions("GET");
    options.retryAllowed = [&] { return budget-- > 0; };
    ServiceCall call = makeCall(options);
    const auto first = dispatch(call.handle(ServiceCallStarted{}, start));
    const auto second = dispatch(call.handle(TargetAnswered{first.attempt, HttpNoResponse{}}, start));
    CHECK(second.target != first.target);
    CHECK(outcome<Unknown>(call.handle(TargetAnswered{second.attempt, HttpNoResponse{}}, start)).problem
          == CallProblem::RetryBudgetSpent);
}

TEST_CASE("one attempt without an answer keeps the outcome unknown although the next was not sent")
{
    ServiceCall call = makeCall(bookingOptions("GET"));
    auto actions = call.handle(ServiceCallStarted{}, start);
    actions = call.handle(TargetAnswered{dispatch(actions).attempt, HttpNoResponse{}}, start);
    actions = call.handle(TargetAnswered{dispatch(actions).attempt, HttpNotSent{}}, start);
    actions = call.handle(TargetAnswered{dispatch(actions).attempt, HttpNotSent{}}, start);
    outcome<Unknown>(actions);
}

TEST_CASE("a silent target of an idempotent call is passed by, and whichever answers first counts")
{
    ServiceCall call = makeCall(bookingOptions("GET"));
    const auto first = dispatch(call.handle(ServiceCallStarted{}, start));
    const auto second = dispatch(call.handle(Tick{}, start + 1s));
    CHECK(call.handle(TargetAnswered{second.attempt, HttpNoResponse{}}, start + 1s).empty());
    CHECK(outcome<Answered>(call.handle(TargetAnswered{first.attempt, HttpResponse{}}, start + 2s)).target
          == first.target);
}

TEST_CASE("targets that leave or are suspected are passed over")
{
    ServiceCallOptions options = bookingOptions("POST");
    options.targetUsable = [](const TargetId &target) { return target == TargetId("b"); };
    ServiceCall call = makeCall(options);
    CHECK(dispatch(call.handle(ServiceCallStarted{}, start)).target == TargetId("b"));
    options.targetUsable = [](const TargetId &) { return false; };
    ServiceCall unserved = makeCall(options);
    CHECK(outcome<NotRun>(unserved.handle(ServiceCallStarted{}, start)).problem() == CallProblem::NoUsableTarget);
}

TEST_CASE("a booking whose caller leaves is awaited for the caller's repeat")
{
    ServiceCall call = makeCall(bookingOptions("POST"));
    const auto first = dispatch(call.handle(ServiceCallStarted{}, start));
    CHECK(call.handle(CallerGone{}, start).empty());
    CHECK(outcome<Answered>(call.handle(TargetAnswered{first.attempt, HttpResponse{}}, start)).response.status == 200);
}

TEST_CASE("a booking whose caller left before a byte was sent goes to no other target")
{
    ServiceCall call = makeCall(bookingOptions("POST"));
    const auto first = dispatch(call.handle(ServiceCallStarted{}, start));
    CHECK(call.handle(CallerGone{}, start).empty());
    outcome<NotRun>(call.handle(TargetAnswered{first.attempt, HttpNotSent{}}, start));
}

TEST_CASE("a second result for one attempt changes nothing")
{
    ServiceCall call = makeCall(bookingOptions("POST"));
    const auto first = dispatch(call.handle(ServiceCallStarted{}, start));
    const auto second = dispatch(call.handle(TargetAnswered{first.attempt, HttpNotSent{}}, start));
    CHECK(call.handle(TargetAnswered{first.attempt, HttpNotSent{}}, start).empty());
    CHECK(outcome<Answered>(call.handle(TargetAnswered{second.attempt, HttpResponse{}}, start)).target
          == second.target);
}

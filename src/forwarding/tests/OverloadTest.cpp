#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <map>

using namespace Carawaymill;

/// Two chains with KV cache capacity for 500 tokens each. A request has a prompt of 100 tokens and 20 more when its
/// response is complete, so it occupies 110 on average.
static constexpr std::size_t requestCapacity = 8;

TEST_CASE("a request without KV cache capacity waits and starts as soon as another request ends")
{
    ForwarderFixture fixture;
    std::vector<ForwardToTarget> running;
    for (std::uint64_t id = 1; id <= requestCapacity; ++id) {
        running.push_back(only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(id, "/stream/x"))));
    }
    const auto waiting = fixture.handle(ForwarderFixture::request(100, "/stream/x"));
    CHECK(!has<ForwardToTarget>(waiting));
    CHECK(!has<RefuseCaller>(waiting));
    fixture.handle(ForwarderFixture::started(running.front()));
    fixture.handle(ForwarderFixture::ended(running.front()));
    CHECK(only<ForwardToTarget>(fixture.advance(20ms)).id == RequestId(100));
}

TEST_CASE("a request that cannot start within the maximum wait is refused as not run with a retry delay")
{
    ForwarderFixture fixture;
    for (std::uint64_t id = 1; id <= requestCapacity; ++id) {
        (void)fixture.handle(ForwarderFixture::request(id, "/stream/x"));
    }
    (void)fixture.handle(ForwarderFixture::request(100, "/stream/x"));
    const auto actions = fixture.advance(1300ms);
    const auto refusal = only<RefuseCaller>(actions);
    CHECK(refusal.id == RequestId(100));
    CHECK(refusal.reason == ForwardFailure::Overloaded);
    CHECK(!refusal.mayHaveRun);
    CHECK(refusal.retryAfter);
}

/// Number of requests that were dispatched within the objective, dispatched later, or refused.
struct LoadResult
{
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
};

/// Sends one request every `interval`. Each runs for one second, and its first event arrives when it is dispatched.
static LoadResult simulateLoad(Duration interval, Duration length, StartQueueOptions queue = {})
{
    ForwarderFixture fixture({.queue = queue});
    std::map<RequestId, TimePoint> arrived;
    std::multimap<TimePoint, ForwardToTarget> ends;
    LoadResult result;
    const auto record = [&](const std::vector<ForwarderAction> &actions) {
        for (const ForwarderAction &action : actions) {
            if (const auto *dispatch = std::get_if<ForwardToTarget>(&action)) {
                const bool inTime = fixture.now - arrived.at(dispatch->id) <= 500ms;
                (inTime ? result.onTime : result.late) += 1;
                ends.emplace(fixture.now + 1s, *dispatch);
            } else if (std::holds_alternative<RefuseCaller>(action)) {
                result.refused += 1;
            }
        }
    };
    std::uint64_t id = 0;
    TimePoint next = fixture.now;
    for (const TimePoint stop = fixture.now + length; fixture.now < stop;) {
        while (next <= fixture.now) {
            arrived.emplace(RequestId(++id), fixture.now);
            record(fixture.handle(ForwarderFixture::request(id, "/stream/x")));
            next += interval;
        }
        while (!ends.empty() && ends.begin()->first <= fixture.now) {
            const ForwardToTarget dispatch = ends.extract(ends.begin()).mapped();
            fixture.handle(ForwarderFixture::started(dispatch));
            record(fixture.handle(ForwarderFixture::ended(dispatch)));
        }
        record(fixture.advance(20ms));
    }
    return result;
}

TEST_CASE("a load below the capacity of the targets is served completely and within the objective")
{
    const LoadResult result = simulateLoad(250ms, 30s);
    CHECK(result.late + result.refused == 0);
}

TEST_CASE("under twice the capacity at least 85 % of the capacity is served within the objective")
{
    static constexpr Duration length = 30s;
    const LoadResult result = simulateLoad(1000ms / (2 * static_cast<int>(requestCapacity)), length);
    const auto possible = static_cast<double>(requestCapacity) * 30;
    CHECK(static_cast<double>(result.onTime) >= 0.85 * possible);
    CHECK(result.refused > 0);
}

TEST_CASE("serving requests that can still meet their objective first gives more on-time responses than arrival order")
{
    const Duration interval = 1000ms / (2 * static_cast<int>(requestCapacity));
    const LoadResult result = simulateLoad(interval, 30s);
    // With this share every queued request counts as on time, so the queue is served in the order of arrival.
    const LoadResult byArrival = simulateLoad(interval, 30s, {.onTimeShare = 1000});
    CHECK(result.onTime > byArrival.onTime);
}

TEST_CASE("an engine gets as many requests as fit into its KV cache by their average length")
{
    ForwarderFixture fixture;
    std::size_t started = 0;
    while (has<ForwardToTarget>(fixture.handle(ForwarderFixture::request(started + 1, "/stream/x")))) {
        ++started;
    }
    CHECK(started == requestCapacity);
}

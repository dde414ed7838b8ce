#include "forwarding/RetryAfter.h"
#include "forwarding/StartQueue.h"
#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Carawaymill;

static constexpr Duration objective = 500ms;
static constexpr Duration onTimeWait = 300ms;

static QueuedRequest queued(std::uint64_t id,
                            const std::string &organisation,
                            std::uint32_t rank,
                            TimePoint now,
                            Duration latencyObjective = objective)
{
    return {.id = RequestId(id),
            .attempt = std::to_string(id),
            .service = ServiceId("scribe"),
            .rank = rank,
            .organisation = OrganisationId(organisation),
            .arrivedAt = now,
            .latencyObjective = latencyObjective};
}

namespace {

/// Requests of one organisation and rank that arrive at a constant rate.
struct Demand
{
    std::string organisation;
    std::uint32_t rank = 0;
    Duration interval;
};

struct Served
{
    std::size_t sent = 0;
    std::size_t onTime = 0;
    std::size_t refused = 0;
};

} // namespace

/// Plays the demands for 20 s to a host that can start one request in each 125 ms.
static std::map<std::string, Served> play(const std::vector<Demand> &demands)
{
    static constexpr Duration startInterval = 125ms;
    StartQueue queue({});
    std::map<std::string, Served> served;
    std::map<RequestId, QueuedRequest> waiting;
    std::vector<TimePoint> next(demands.size(), TimePoint{1h});
    TimePoint nextStart{1h};
    std::uint64_t id = 0;
    const auto refuse = [&](const RefusedRequest &refused) {
        served[waiting.extract(refused.id).mapped().organisation.value()].refused += 1;
    };
    for (TimePoint now{1h}; now < TimePoint{1h} + 20s; now += 5ms) {
        for (std::size_t i = 0; i < demands.size(); ++i) {
            for (; next[i] <= now; next[i] += demands[i].interval) {
                const QueuedRequest request = queued(++id, demands[i].organisation, demands[i].rank, now);
                served[demands[i].organisation].sent += 1;
                waiting.emplace(request.id, request);
                if (const auto refused = queue.add(request, now)) {
                    refuse(*refused);
                }
            }
        }
        for (const RefusedRequest &refused : queue.takeRefused(now)) {
            refuse(refused);
        }
        if (const auto order = queue.order(now); now >= nextStart && !order.empty()) {
            nextStart = now + startInterval;
            const QueuedRequest request = waiting.extract(order.front()).mapped();
            queue.started(request, now);
            served[request.organisation.value()].onTime += now - request.arrivedAt <= onTimeWait ? 1 : 0;
        }
    }
    return served;
}

TEST_CASE("an organisation below its share starts on time beside one that asks for ten times the capacity")
{
    // Without fair shares the small organisation would start as late as the mean of all requests.
    auto served = play({{.organisation = "large", .rank = 1, .interval = 12500us},
                        {.organisation = "small", .rank = 1, .interval = 500ms}});
    CHECK(served["small"].onTime == served["small"].sent);
    // What the small one leaves, 6 of 8 starts a second, goes to the large one.
    CHECK(served["large"].onTime >= 6 * 20 - 8);
}

TEST_CASE("the most urgent rank starts on time beside a burst of the least urgent one")
{
    auto served = play({{.organisation = "burst", .rank = 2, .interval = 12500us},
                        {.organisation = "urgent", .rank = 0, .interval = 250ms}});
    CHECK(served["urgent"].onTime == served["urgent"].sent);
    CHECK(served["burst"].onTime >= 4 * 20 - 8);
}

TEST_CASE("a request that would start after the longest wait is refused on arrival instead of after it")
{
    StartQueue queue({});
    TimePoint now{1h};
    std::uint64_t id = 0;
    // All of them can still be on time, so that none replaces another one of its rank.
    const auto next = [&](std::uint32_t rank) { return queued(++id, "club", rank, now, 10s); };
    // One start in 500 ms: two requests wait for 1 s, a third one would wait for 1.5 s.
    for (int start = 0; start < 20; ++start, now += 500ms) {
        while (queue.size() < 2) {
            REQUIRE(!queue.add(next(1), now));
        }
        queue.started(queued(queue.order(now).front().value(), "club", 1, now), now);
    }
    while (queue.size() < 2) {
        REQUIRE(!queue.add(next(1), now));
    }
    const auto refused = queue.add(next(1), now);
    REQUIRE(refused);
    CHECK(refused->id == RequestId(id));
    CHECK(refused->reason == QueueRefusal::Arrival);
    CHECK(refused->expectedWait.value() > 1200ms);
    // A more urgent request takes the place of the one that would start last.
    const auto replaced = queue.add(next(0), now);
    REQUIRE(replaced);
    CHECK(replaced->reason == QueueRefusal::Replaced);
    CHECK(queue.order(now).front() == RequestId(id));
}

TEST_CASE("a stream that resumes starts before new requests of its rank, and not before a more urgent rank")
{
    StartQueue queue({.minimumLength = 10});
    const TimePoint now{1h};
    QueuedRequest resumed = queued(3, "club", 1, now);
    resumed.resumes = true;
    REQUIRE(!queue.add(queued(1, "club", 1, now), now));
    REQUIRE(!queue.add(queued(2, "school", 1, now), now));
    REQUIRE(!queue.add(resumed, now));
    REQUIRE(!queue.add(queued(4, "club", 0, now), now));
    CHECK(queue.order(now) == std::vector{RequestId(4), RequestId(3), RequestId(1), RequestId(2)});
}

TEST_CASE("late requests are refused early for requests of their own service that overtake them, not of another one")
{
    for (const std::string service : {"scribe", "desk"}) {
        CAPTURE(service);
        StartQueue queue({});
        TimePoint now{1h};
        std::uint64_t id = 0;
        // Ten starts a second, so that three requests may wait.
        REQUIRE(!queue.add(queued(++id, "club", 1, now), now));
        for (int start = 0; start < 20; ++start, now += 100ms) {
            REQUIRE(!queue.add(queued(++id, "club", 1, now), now));
            queue.started(queued(id, "club", 1, now), now);
        }
        queue.remove(RequestId(1), now);
        for (int late = 0; late < 3; ++late) {
            REQUIRE(!queue.add(queued(++id, "club", 1, now, 100ms), now));
        }
        now += 1s;
        QueuedRequest overtaking = queued(++id, "club", 1, now);
        overtaking.service = ServiceId(service);
        REQUIRE(!queue.add(overtaking, now));
        CHECK(queue.takeRefused(now).empty() == (service == "desk"));
    }
}

TEST_CASE("a request without token counts has the work of a mean one")
{
    // Otherwise organisations that state no counts would get ten times the share of others.
    RoutingConfiguration configuration;
    EngineProfile engine;
    engine.meanPromptTokens = TokenCount(100);
    engine.meanCompletionTokens = TokenCount(20);
    configuration.services[ServiceId("scribe")].engine = engine;
    const Route route;
    const auto workOf = [&](std::uint64_t promptTokens) {
        ForwardCall call;
        call.table = std::make_shared<const RouteTable>(std::make_shared<const RoutingConfiguration>(configuration));
        call.service = ServiceId("scribe");
        call.route = &route;
        ForwardRequest request;
        request.promptTokens = TokenCount(promptTokens);
        call.request = std::make_shared<const ForwardRequest>(request);
        return call.queued(TimePoint{1h}).work;
    };
    CHECK(workOf(0) == 1);
    CHECK(workOf(60) == 0.5);
    CHECK(workOf(1'000'000) == 4);
}

TEST_CASE("callers refused together come back apart, after the backlog, within a third of their time")
{
    Random random(1);
    std::set<Duration> times;
    for (int caller = 0; caller < 50; ++caller) {
        const Duration after = retryAfter(backlogBounds(2s, 500ms, 20s), random);
        CHECK(after >= 2s);
        CHECK(after <= 4s);
        times.insert(after);
        CHECK(retryAfter(backlogBounds(60s, 500ms, 600ms), random) <= 200ms);
        CHECK(retryAfter(backlogBounds(10ms, 500ms, 20s), random) >= 100ms);
    }
    CHECK(times.size() == 50);
}

TEST_CASE("an organisation's own priority goes before its route's, and engines get urgencies in the order of the ranks")
{
    const Route route{.priority = 2};
    const OrganisationKeys plain{.id = OrganisationId("plain"), .keys = {}, .priority = {}};
    const OrganisationKeys urgent{.id = OrganisationId("urgent"), .keys = {}, .priority = 0};
    CHECK(rankOf(route, nullptr) == 2);
    CHECK(rankOf(route, &plain) == 2);
    CHECK(rankOf(route, &urgent) == 0);
    CHECK(urgencyOf(0, false) == 3);
    CHECK(urgencyOf(1, false) == 5);
    CHECK(urgencyOf(2, false) == 6);
    CHECK(urgencyOf(100, false) == 9);
    CHECK(urgencyOf(0, true) == 2);
    CHECK(urgencyOf(5, true) == 8);
}

TEST_CASE("engines are told an urgency only where requests differ in rank or a stream resumes")
{
    ForwarderFixture fixture;
    CHECK(!only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x"))).urgency);
    ForwardRequested resumed = ForwarderFixture::request(2, "/stream/x");
    resumed.request.resumeAfter = StreamPosition(4);
    CHECK(only<ForwardToTarget>(fixture.handle(resumed)).urgency == 2);
}

#include "daemon/tests/PlatformFixture.h"
#include "support/BootClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace Carawaymill;

/// Bound for what the daemon does at its start: read the configuration and the directory, and place layers.
static constexpr Duration startLimit = 10s;
/// Longest wait for the end of a request; callers' deadlines are sooner.
static constexpr Duration responseLimit = 12s;

/// A plain service, a service of resumable streams, and an engine service.
static PublishedConfiguration configuration()
{
    return {
        .version = 1,
        .routes = {{.prefix = "/plain/", .service = ServiceId("plain")},
                   {.prefix = "/stream/", .service = ServiceId("stream"), .kind = PublishedRouteKind::ResumableStream},
                   {.prefix = "/engine/", .service = ServiceId("engine"), .kind = PublishedRouteKind::ResumableStream}},
        .services = {
            {.id = ServiceId("plain")}, {.id = ServiceId("stream")}, {.id = ServiceId("engine"), .layers = 4}}};
}

static TargetStandInOptions plainTarget(const std::string &id)
{
    return {.id = TargetId(id), .service = ServiceId("plain"), .failureDomain = FailureDomainId("zone-1")};
}

static TargetStandInOptions streamTarget(const std::string &id)
{
    return {.id = TargetId(id),
            .service = ServiceId("stream"),
            .failureDomain = FailureDomainId("zone-1"),
            .streams = true};
}

static TargetStandInOptions engineTarget(const std::string &id)
{
    return {.id = TargetId(id),
            .service = ServiceId("engine"),
            .failureDomain = FailureDomainId("zone-1"),
            .streams = true,
            .engine = EngineStandInProfile{.acceleratorKind = publishedAcceleratorKind, .layers = {}}};
}

/// Arrivals of requests at the target that the predicate holds for.
template<typename Predicate>
static std::ptrdiff_t countArrivals(const TargetStandIn &target, Predicate predicate)
{
    return std::ranges::count_if(target.arrivals(), predicate);
}

TEST_CASE("a plain request and streams of a plain target and an engine are served whole on the platform")
{
    PlatformFixture fixture;
    fixture.platform().publish(configuration());
    fixture.platform().addTarget(plainTarget("p1"));
    const TargetStandIn &streaming = fixture.platform().addTarget(streamTarget("s1"));
    const TargetStandIn &engine = fixture.platform().addTarget(engineTarget("e1"));
    REQUIRE(fixture.waitUntilServed("/plain/a", startLimit));
    REQUIRE(fixture.waitUntilServed("/engine/a", startLimit));

    const auto plain = fixture.call(0, "/plain/b");
    const auto stream = fixture.call(0, "/stream/b");
    const auto generation = fixture.call(0, "/engine/b");
    REQUIRE(fixture.runUntil([&] { return plain->ended() && stream->ended() && generation->ended(); }, responseLimit));
    CHECK(plain->complete);
    CHECK(plain->status == 200);
    CHECK(plain->body == "served by p1");
    CHECK(stream->complete);
    CHECK(stream->body == streamEvents(streaming.options().eventsPerStream));
    CHECK(generation->complete);
    CHECK(generation->body == streamEvents(engine.options().eventsPerStream));
}

/// Guards against streams that are broken off, or sent to target after target, while all of their connections are quiet
/// for a second.
TEST_CASE("a stream whose target is silent for a second ends whole and reaches two targets at most")
{
    static constexpr Duration silence = 1s;
    PlatformFixture fixture;
    fixture.platform().publish(configuration());
    std::vector<TargetStandIn *> targets;
    for (const char *id : {"s1", "s2", "s3"}) {
        targets.push_back(&fixture.platform().addTarget(streamTarget(id)));
    }
    REQUIRE(fixture.waitUntilServed("/stream/a", startLimit));

    const auto stream = fixture.call(0, "/stream/b");
    const auto received = [&stream](const TargetArrival &arrival) { return arrival.attempt == stream->attempt; };
    REQUIRE(fixture.runUntil([&] { return stream->body.size() > streamEvents(3).size(); }, responseLimit));
    const auto serving = std::ranges::find_if(
        targets, [&](const TargetStandIn *target) { return countArrivals(*target, received) > 0; });
    REQUIRE(serving != targets.end());
    (*serving)->beSilentUntil(readBootClock() + silence);
    REQUIRE(fixture.runUntil([&] { return stream->ended(); }, responseLimit));
    CHECK(stream->complete);
    CHECK(stream->body == streamEvents((*serving)->options().eventsPerStream));
    // The silent target reads what was sent to it meanwhile.
    fixture.runFor(silence);
    std::ptrdiff_t dispatches = 0;
    for (const TargetStandIn *target : targets) {
        dispatches += countArrivals(*target, received);
    }
    CHECK(dispatches <= 2);
}

/// Guards against requests to a target that leaves without saying so in the directory.
TEST_CASE("a target that says in an answer that it leaves gets no request after the drain bound")
{
    /// The platform's bound, from when the host has passed on the answer.
    static constexpr Duration drainBound = 2s;
    PlatformFixture fixture;
    fixture.platform().publish(configuration());
    TargetStandIn &leaving = fixture.platform().addTarget(plainTarget("p1"));
    const TargetStandIn &staying = fixture.platform().addTarget(plainTarget("p2"));
    REQUIRE(fixture.waitUntilServed("/plain/a", startLimit));

    leaving.leave();
    std::vector<std::shared_ptr<CallerExchange>> calls;
    const auto keepCalling = [&](const std::function<bool()> &condition, Duration limit) {
        const TimePoint end = readBootClock() + limit;
        while (!condition() && readBootClock() < end) {
            calls.push_back(fixture.call(0, "/plain/b"));
            fixture.runFor(20ms);
        }
    };
    const auto passedOn = [&] {
        return std::ranges::any_of(calls, [](const auto &call) { return call->body == "served by p1"; });
    };
    keepCalling(passedOn, responseLimit);
    REQUIRE(passedOn());
    const TimePoint boundFrom = readBootClock() + drainBound;
    keepCalling([] { return false; }, drainBound + 1500ms);
    REQUIRE(fixture.runUntil([&] { return std::ranges::all_of(calls, [](const auto &call) { return call->ended(); }); },
                             responseLimit));

    std::set<std::string> sentAfterBound;
    for (const auto &call : calls) {
        CHECK(call->status == 200);
        if (call->sentAt >= boundFrom) {
            sentAfterBound.insert(call->attempt);
        }
    }
    const auto sentLate = [&](const TargetArrival &arrival) { return sentAfterBound.contains(arrival.attempt); };
    REQUIRE(!sentAfterBound.empty());
    CHECK(countArrivals(leaving, sentLate) == 0);
    CHECK(countArrivals(staying, sentLate) == static_cast<std::ptrdiff_t>(sentAfterBound.size()));
}

/// Guards against requests that go on to a target which has stated how long it wants none.
TEST_CASE("a target that rests gets two requests at most from half a second later to the end of its rest")
{
    static constexpr Duration rest = 2500ms;
    /// Requests that arrive so soon after the answer may have been on their way.
    static constexpr Duration allowedDelay = 500ms;
    static constexpr std::ptrdiff_t allowedArrivals = 2;
    PlatformFixture fixture;
    fixture.platform().publish(configuration());
    TargetStandIn &resting = fixture.platform().addTarget(plainTarget("p1"));
    REQUIRE(fixture.waitUntilServed("/plain/a", startLimit));

    const TimePoint restEnd = readBootClock() + rest;
    resting.restUntil(restEnd);
    const auto rejected = [](const TargetArrival &arrival) { return !arrival.ran; };
    std::vector<std::shared_ptr<CallerExchange>> calls;
    while (readBootClock() < restEnd) {
        calls.push_back(fixture.call(0, "/plain/b"));
        fixture.runFor(20ms);
    }
    REQUIRE(fixture.runUntil([&] { return std::ranges::all_of(calls, [](const auto &call) { return call->ended(); }); },
                             responseLimit));

    const auto first = std::ranges::find_if(resting.arrivals(), rejected);
    REQUIRE(first != resting.arrivals().end());
    const TimePoint from = first->at + allowedDelay;
    CHECK(
        countArrivals(resting, [&](const TargetArrival &arrival) { return arrival.at >= from && arrival.at < restEnd; })
        <= allowedArrivals);
    // A request sent shortly before the end may still be served.
    CHECK(std::ranges::all_of(calls, [](const auto &call) { return call->status == 503 || call->status == 200; }));
    CHECK(fixture.waitUntilServed("/plain/c", responseLimit));
}

/// The most arrivals that the predicate holds for in any window of that length.
template<typename Predicate>
static std::ptrdiff_t mostArrivals(const TargetStandIn &target, Duration window, Predicate predicate)
{
    std::vector<TimePoint> times;
    for (const TargetArrival &arrival : target.arrivals()) {
        if (predicate(arrival)) {
            times.push_back(arrival.at);
        }
    }
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(), last = times.begin(); last != times.end(); ++last) {
        while (*last - *first >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Guards against hosts that each send a target as much as it takes from all of them together.
TEST_CASE("a target that names a request limit gets no more than it from two hosts together")
{
    static constexpr double limit = 5;
    static constexpr Duration window = 4s;
    /// The platform's bound for the requests in any window.
    static constexpr double allowed = 1.5 * limit * 4 + 5;
    /// Time in which the hosts learn of the limit and divide it.
    static constexpr Duration settlingTime = 3s;
    PlatformFixture fixture(2);
    fixture.platform().publish(configuration());
    TargetStandIn &limited = fixture.platform().addTarget(plainTarget("p1"));
    fixture.platform().addTarget(plainTarget("p2"));
    REQUIRE(fixture.waitUntilServed("/plain/a", startLimit));

    limited.limitRequests(limit);
    const TimePoint namedAt = readBootClock();
    std::vector<std::shared_ptr<CallerExchange>> calls;
    while (readBootClock() < namedAt + settlingTime + 2 * window) {
        // The first host gets four times as many requests as the second.
        for (const std::size_t host : {0U, 0U, 0U, 0U, 1U}) {
            calls.push_back(fixture.call(host, "/plain/b"));
            fixture.runFor(10ms);
        }
    }
    REQUIRE(fixture.runUntil([&] { return std::ranges::all_of(calls, [](const auto &call) { return call->ended(); }); },
                             responseLimit));

    const auto settled = [&](const TargetArrival &arrival) { return arrival.at >= namedAt + settlingTime; };
    CHECK(static_cast<double>(mostArrivals(limited, window, settled)) <= allowed);
    // It is used all the same.
    CHECK(static_cast<double>(mostArrivals(limited, window, settled)) >= limit * 4 / 2);
    CHECK(std::ranges::all_of(calls, [](const auto &call) { return call->status == 200; }));
}

/// Guards against a host that waits for revisions which the store has given out a second time, and so misses changes.
TEST_CASE("after the store returns from an older copy a new configuration is in force on all hosts within its bound")
{
    /// A configuration is in force everywhere within this time of its write.
    static constexpr Duration applyBound = 4s;
    static constexpr std::size_t hosts = 2;
    PlatformFixture fixture(hosts);
    PublishedConfiguration published = configuration();
    fixture.platform().publish(published);
    fixture.platform().addTarget(plainTarget("p1"));
    fixture.platform().addTarget(streamTarget("s1"));
    fixture.platform().addTarget(streamTarget("s2"));
    REQUIRE(fixture.waitUntilServed("/plain/a", startLimit));
    const auto registered = [&] {
        const KeyValueStore &store = fixture.platform().store().store();
        return store.record("hosts/host-1").has_value() && store.record("hosts/host-2").has_value();
    };
    REQUIRE(fixture.runUntil(registered, startLimit));

    fixture.platform().store().keepCopy();
    const TargetStandIn &lost = fixture.platform().addTarget(plainTarget("p2"));
    // The hosts have seen more revisions than the store gives out again before the new configuration.
    for (int change = 0; change < 3; ++change) {
        ++published.version;
        fixture.platform().publish(published);
        fixture.runFor(600ms);
    }
    std::vector<std::shared_ptr<CallerExchange>> streams;
    for (std::size_t host = 0; host < hosts; ++host) {
        streams.push_back(fixture.call(host, "/stream/b"));
    }
    REQUIRE(fixture.runUntil(
        [&] { return std::ranges::all_of(streams, [](const auto &stream) { return !stream->body.empty(); }); },
        responseLimit));
    fixture.platform().returnStoreFromCopy(0s);
    ++published.version;
    published.routes.front().prefix = "/moved/";
    fixture.platform().publish(published);
    const TimePoint publishedAt = readBootClock();

    REQUIRE(fixture.runUntil(
        [&] { return std::ranges::all_of(streams, [](const auto &stream) { return stream->ended(); }); },
        responseLimit));
    for (const auto &stream : streams) {
        CHECK(stream->complete);
        CHECK(stream->body == streamEvents(TargetStandInOptions().eventsPerStream));
    }
    fixture.runFor(publishedAt + applyBound - readBootClock());
    const std::size_t arrivalsBefore = lost.arrivals().size();
    for (std::size_t host = 0; host < hosts; ++host) {
        INFO("host ", host + 1);
        for (int round = 0; round < 4; ++round) {
            const auto moved = fixture.call(host, "/moved/a");
            const auto dropped = fixture.call(host, "/plain/a");
            const auto stream = fixture.call(host, "/stream/a");
            REQUIRE(
                fixture.runUntil([&] { return moved->ended() && dropped->ended() && stream->ended(); }, responseLimit));
            CHECK(moved->status == 200);
            CHECK(dropped->status == 404);
            CHECK(stream->complete);
        }
    }
    CHECK(lost.arrivals().size() > arrivalsBefore);
    CHECK(registered());
}

/// Guards against targets in trouble whose endless answers keep callers waiting or fill the memory of the host.
TEST_CASE("requests are served although a target of their service answers without end")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\n";
    const std::string filler(1024, 'a');
    for (const EndlessResponse &response : {EndlessResponse{.begin = "", .repeated = filler},
                                            EndlessResponse{.begin = head, .repeated = "X-Filler: a\r\n"},
                                            EndlessResponse{.begin = "", .repeated = "HTTP/1.1 100 Continue\r\n\r\n"},
                                            EndlessResponse{.begin = head + "\r\n", .repeated = filler}}) {
        PlatformFixture fixture;
        EndlessTargetStandIn *endless = nullptr;
        fixture.platform().publish(configuration());
        fixture.platform().addTarget(plainTarget("p1"));
        fixture.platform().addTarget(streamTarget("s1"));
        REQUIRE(fixture.waitUntilServed("/plain/a", startLimit));
        std::vector<std::shared_ptr<CallerExchange>> calls;
        const auto callTwentyTimes = [&] {
            for (int count = 0; count < 20; ++count) {
                calls.push_back(fixture.call(0, "/plain/b"));
                fixture.runFor(20ms);
            }
            return endless != nullptr && endless->answered() > 0;
        };
        // Their ratio pays for the repeats of those that the endless target gets.
        callTwentyTimes();
        endless = &fixture.platform().addEndlessTarget(TargetId("p0"), ServiceId("plain"), response);
        for (int round = 0; round < 5; ++round) {
            if (callTwentyTimes()) {
                break;
            }
        }
        REQUIRE(fixture.runUntil(
            [&] { return std::ranges::all_of(calls, [](const auto &call) { return call->ended(); }); }, responseLimit));
        CHECK(endless->answered() > 0);
        CHECK(std::ranges::all_of(calls, [](const auto &call) { return call->body == "served by p1"; }));
        CHECK(fixture.runUntil([&] { return endless->closed() == endless->answered(); }, 5s));
    }
}

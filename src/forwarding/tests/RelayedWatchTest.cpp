#include "forwarding/RangeWatch.h"
#include "forwarding/RelayedWatchClient.h"
#include "forwarding/RelayedWatchServer.h"
#include "forwarding/WatchSources.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace Carawaymill;

static const TimePoint start{1h};
static const HostId collector("collector");
static const HostId follower("follower");
static constexpr RelayedRange range = RelayedRange::Directory;

static KeyValueRecord record(const std::string &key, std::uint64_t revision)
{
    return {.key = key, .value = "value", .revision = Revision(revision), .lease = std::nullopt};
}

static RangeCall call(std::optional<std::uint64_t> after, TimePoint sentAt)
{
    return {.range = range,
            .id = CallId(1),
            .after = after ? std::optional(Revision(*after)) : std::nullopt,
            .sentAt = sentAt};
}

static RangeWatchRequest watchRequest(std::uint64_t after)
{
    return {.number = 7, .range = range, .after = Revision(after), .wait = 1s};
}

/// A server that has read the range at revision 10, and received a change of one record at revision 12.
static RelayedWatchServer serverWithHistory()
{
    RelayedWatchServer server({});
    (void)server.recordServiceReply(
        call(std::nullopt, start), RangeRead{.records = {}, .storeRevision = Revision(10)}, start);
    (void)server.recordServiceReply(
        call(10, start),
        RangeChanged{.written = {record("a", 12)}, .deletedKeys = {"gone"}, .storeRevision = Revision(12)},
        start + 100ms);
    return server;
}

static const RangeWatchResponse &onlyResponse(const std::vector<SendRangeWatchMessage> &messages)
{
    REQUIRE(messages.size() == 1);
    CHECK(messages.front().to == follower);
    REQUIRE(std::holds_alternative<RangeWatchResponse>(messages.front().message));
    return std::get<RangeWatchResponse>(messages.front().message);
}

TEST_CASE("a message is unchanged after encoding and decoding and an unknown range is rejected")
{
    const RangeWatchResponse sent{.number = 3,
                                  .range = range,
                                  .written = {record("a", 12)},
                                  .deletedKeys = {"b"},
                                  .revision = Revision(12),
                                  .age = -5ms};
    nlohmann::json json = RangeWatchMessage(sent);
    auto read = decode<RangeWatchMessage>(json);
    REQUIRE(std::holds_alternative<RangeWatchMessage>(read));
    const auto &received = std::get<RangeWatchResponse>(std::get<RangeWatchMessage>(read));
    CHECK(received.written == sent.written);
    CHECK(received.deletedKeys == sent.deletedKeys);
    CHECK(received.revision == sent.revision);
    CHECK(received.age == sent.age);
    json[2] = 9;
    CHECK(std::holds_alternative<DecodeFailure>(decode<RangeWatchMessage>(json)));
}

TEST_CASE("a watch from an older revision is answered at once and one from the current revision at the next change")
{
    RelayedWatchServer server = serverWithHistory();
    {
        const auto messages = server.handleRequest(follower, watchRequest(10), start + 200ms);
        const RangeWatchResponse &receivedChanges = onlyResponse(messages);
        CHECK(receivedChanges.written == std::vector{record("a", 12)});
        CHECK(receivedChanges.deletedKeys == std::vector<std::string>{"gone"});
        CHECK(receivedChanges.revision == Revision(12));
    }
    CHECK(server.handleRequest(follower, watchRequest(12), start + 200ms).empty());
    const auto messages =
        server.recordServiceReply(call(12, start + 100ms),
                                  RangeChanged{.written = {}, .deletedKeys = {"a"}, .storeRevision = Revision(13)},
                                  start + 300ms);
    CHECK(onlyResponse(messages).deletedKeys == std::vector<std::string>{"a"});
    CHECK(onlyResponse(messages).written.empty());
}

TEST_CASE("a watch without a change is answered after its wait with the age of the last confirmation")
{
    RelayedWatchServer server = serverWithHistory();
    CHECK(server.handleRequest(follower, watchRequest(12), start + 200ms).empty());
    CHECK(server.tick(start + 1100ms).empty());
    (void)server.recordServiceReply(call(12, start + 600ms),
                                    RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = Revision(14)},
                                    start + 1150ms);
    const auto messages = server.tick(start + 1200ms);
    CHECK(onlyResponse(messages).revision == Revision(14));
    // The service's last confirmation is of a call that was sent 400 ms after the request arrived.
    CHECK(onlyResponse(messages).age == -400ms);
}

TEST_CASE("a watch is answered as unavailable if the range is outdated or has a gap or its changes are too large")
{
    RelayedWatchServer server = serverWithHistory();
    const auto isUnavailable = [&](std::uint64_t after, TimePoint now) {
        const auto messages = server.handleRequest(follower, watchRequest(after), now);
        return messages.size() == 1 && std::holds_alternative<RangeWatchUnavailable>(messages.front().message);
    };
    CHECK(isUnavailable(9, start + 200ms));
    CHECK(isUnavailable(12, start + 4s));
    // This host received revisions 13 to 20 from another host, so its own history from the service has a gap there.
    (void)server.recordServiceReply(call(20, start + 4s),
                                    RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = Revision(21)},
                                    start + 5s);
    CHECK(isUnavailable(12, start + 5s));
    CHECK(!isUnavailable(20, start + 5s));
    KeyValueRecord large = record("large", 22);
    large.value = std::string(1'000'000, 'x');
    (void)server.recordServiceReply(call(21, start + 5s),
                                    RangeChanged{.written = {large}, .deletedKeys = {}, .storeRevision = Revision(22)},
                                    start + 5s);
    CHECK(isUnavailable(20, start + 5s));
    CHECK(!isUnavailable(22, start + 5s));
    (void)server.recordServiceReply(call(22, start + 5s), WatchCompacted{.storeRevision = Revision(30)}, start + 5s);
    CHECK(isUnavailable(22, start + 5s));
}

TEST_CASE("a watch answered by another host counts like one answered by the service and keeps the reported age")
{
    RangeWatch watch({.prefix = "p/"});
    RelayedWatchClient client({});
    RelayedWatchServer server = serverWithHistory();
    auto read = watch.nextCall(start);
    REQUIRE(read);
    // The first read of the range always goes to the service.
    CHECK(!client.relay(range, *read, collector, start));
    (void)watch.handle({.id = read->id, .result = RangeRead{.records = {}, .storeRevision = Revision(11)}}, start);
    client.recordConfirmed(range, start);
    const auto next = watch.nextCall(start + 200ms);
    REQUIRE(next);
    const auto sentRequest = client.relay(range, *next, collector, start + 200ms);
    REQUIRE(sentRequest);
    const auto messages =
        server.handleRequest(follower, std::get<RangeWatchRequest>(sentRequest->message), start + 210ms);
    CHECK(!client.handleResponse(HostId("stranger"), onlyResponse(messages)));
    const auto answered = client.handleResponse(collector, onlyResponse(messages));
    REQUIRE(answered);
    const auto update = watch.handle(answered->reply, start + 220ms);
    REQUIRE(update);
    CHECK(update->written == std::vector{record("a", 12)});
    // The collector's last confirmation is of `start`, as is that of the first read.
    CHECK(watch.confirmedAt() == start);
    CHECK(!client.handleResponse(collector, onlyResponse(messages)));
}

/// Guards against a collector that is silent for one range being waited for once for each range, and against a host
/// that lacks one range losing the watches of the others.
TEST_CASE("a host that does not respond is skipped for all ranges and one that cannot serve a range for that range")
{
    RelayedWatchClient client({});
    WatchSources sources({.self = follower, .failureDomain = FailureDomainId("domain")});
    CHECK(sources.setHosts({collector, follower}));
    REQUIRE(sources.collector() == collector);
    const KeyValueCall watch{.id = CallId(4), .request = WatchRange{.prefix = "p/", .after = Revision(3), .wait = 1s}};
    client.recordConfirmed(range, start);
    client.recordConfirmed(RelayedRange::Hosts, start);
    REQUIRE(client.relay(range, watch, collector, start));
    REQUIRE(client.relay(RelayedRange::Hosts, watch, collector, start + 500ms));
    REQUIRE(client.relay(RelayedRange::Hosts, watch, HostId("other"), start + 500ms));
    CHECK(client.takeTimedOut(start + 1100ms).empty());
    const auto overdue = client.takeTimedOut(start + 1200ms);
    REQUIRE(overdue.size() == 2);
    CHECK(overdue.front().call.id == CallId(4));
    CHECK(overdue.front().failures == 1);
    CHECK(overdue.back().range == RelayedRange::Hosts);
    sources.skip(collector, start + 1200ms);
    CHECK(!sources.choose(range, 0, start + 3100ms).host);
    CHECK(!sources.choose(RelayedRange::Hosts, 0, start + 3100ms).host);
    CHECK(sources.choose(range, 0, start + 3200ms).host == collector);
    client.recordConfirmed(range, start + 4s);
    const auto again = client.relay(range, watch, collector, start + 4s);
    REQUIRE(again);
    const RangeWatchUnavailable unavailable{.number = std::get<RangeWatchRequest>(again->message).number};
    CHECK(client.handleUnavailable(collector, unavailable));
    CHECK(!client.handleUnavailable(collector, unavailable));
    sources.skip(collector, range, start + 4s);
    CHECK(!sources.choose(range, 0, start + 5s).host);
    CHECK(sources.choose(RelayedRange::Hosts, 0, start + 5s).host == collector);
    CHECK(sources.choose(range, 0, start + 9s).host == collector);
}

TEST_CASE("a relayed watch times out before the last confirmation of its range is too old")
{
    RelayedWatchClient client(
        {.responseTimeout = 200ms, .maximumAges = {.configuration = 1500ms, .directory = 1500ms, .hosts = 6s}});
    const KeyValueCall watch{.id = CallId(4), .request = WatchRange{.prefix = "p/", .after = Revision(3), .wait = 1s}};
    // Without a confirmation the service is asked.
    CHECK(!client.relay(range, watch, collector, start));
    client.recordConfirmed(range, start);
    const auto request = client.relay(range, watch, collector, start + 1s);
    REQUIRE(request);
    CHECK(std::get<RangeWatchRequest>(request->message).wait == 300ms);
    CHECK(client.takeTimedOut(start + 1480ms).empty());
    CHECK(client.takeTimedOut(start + 1500ms).size() == 1);
    // Another host could respond too late only.
    CHECK(!client.relay(range, watch, HostId("other"), start + 1300ms));
    // A response counts as confirmed by the age that it states.
    client.recordConfirmed(range, start + 4s);
    const auto next = client.relay(range, watch, collector, start + 4s);
    REQUIRE(next);
    CHECK(client.handleResponse(collector,
                                RangeWatchResponse{.number = std::get<RangeWatchRequest>(next->message).number,
                                                   .range = range,
                                                   .written = {},
                                                   .deletedKeys = {},
                                                   .revision = Revision(3),
                                                   .age = -600ms}));
    const auto last = client.relay(range, watch, collector, start + 5s);
    REQUIRE(last);
    CHECK(std::get<RangeWatchRequest>(last->message).wait == 900ms);
}

TEST_CASE("a host in order confirms each range again before other hosts stop relying on it")
{
    for (const Duration bound : {1s, 2s, 3s, 4s, 10s}) {
        const RelayedRangeAges ages = relayedRangeAges({.drainPeriod = bound, .configurationApplyPeriod = bound});
        for (const Duration age : {ages.directory, ages.configuration}) {
            CHECK(age < bound);
            CHECK(2 * relayedWatchWait(age, 1200ms) < age);
        }
    }
}

/// Guards against all hosts of a domain asking the service when its collector fails: they ask the same next host.
TEST_CASE(
    "the candidates are asked in one order by all hosts and the service only by the next one or after two failures")
{
    const std::vector<HostId> hosts{HostId("a"), HostId("b"), HostId("c"), HostId("d")};
    const auto sourcesOf = [&](const HostId &self) {
        WatchSources sources({.self = self, .failureDomain = FailureDomainId("domain")});
        (void)sources.setHosts(hosts);
        return sources;
    };
    const HostId first = sourcesOf(hosts.front()).collector();
    HostId second;
    std::size_t askingService = 0;
    for (const HostId &host : hosts) {
        WatchSources sources = sourcesOf(host);
        CHECK(sources.collector() == first);
        CHECK(sources.choose(range, 0, start).host == (host == first ? std::nullopt : std::optional(first)));
        sources.skip(first, range, start);
        const auto next = sources.choose(range, 1, start).host;
        askingService += next ? 0 : 1;
        if (next) {
            CHECK((second == HostId() || second == *next));
            second = *next;
            sources.skip(second, range, start);
            CHECK(!sources.choose(range, 2, start).host);
        }
    }
    // The first host, and the second one while it skips the first.
    CHECK(askingService == 2);
    WatchSources alone({.self = follower, .failureDomain = FailureDomainId("domain")});
    CHECK(!alone.choose(range, 0, start).host);
}

/// Guards against a successor that is asked before its own call has returned sending the whole domain to the service.
TEST_CASE(
    "a request waits for the call in progress and is refused when the call fails or waits for the requesting host")
{
    RelayedWatchServer server({});
    const auto isUnavailable = [](const std::vector<SendRangeWatchMessage> &messages) {
        return messages.size() == 1 && std::holds_alternative<RangeWatchUnavailable>(messages.front().message);
    };
    CHECK(isUnavailable(server.handleRequest(follower, watchRequest(10), start)));
    server.setCallInProgress(range, std::nullopt);
    CHECK(server.handleRequest(follower, watchRequest(10), start).empty());
    const auto messages = server.recordServiceReply(
        call(10, start),
        RangeChanged{.written = {record("a", 12)}, .deletedKeys = {}, .storeRevision = Revision(12)},
        start + 100ms);
    CHECK(onlyResponse(messages).written == std::vector{record("a", 12)});
    CHECK(onlyResponse(messages).age == 0ms);
    server.setCallInProgress(range, collector);
    CHECK(server.handleRequest(follower, watchRequest(12), start + 10s).empty());
    CHECK(isUnavailable(server.recordFailure(range, start + 10100ms)));
    server.setCallInProgress(range, follower);
    CHECK(isUnavailable(server.handleRequest(follower, watchRequest(12), start + 10200ms)));
    server.setCallInProgress(range, std::nullopt);
    CHECK(server.handleRequest(follower, watchRequest(12), start + 11s).empty());
    CHECK(isUnavailable(server.tick(start + 12s)));
    // A response of another host counts with the time at which the service confirmed it.
    (void)server.recordRelayedReply(call(12, start + 11500ms),
                                    RangeChanged{.written = {}, .deletedKeys = {"a"}, .storeRevision = Revision(14)},
                                    start + 12s);
    const auto relayed = server.handleRequest(follower, watchRequest(12), start + 12s);
    CHECK(onlyResponse(relayed).deletedKeys == std::vector<std::string>{"a"});
    CHECK(onlyResponse(relayed).age == 500ms);
}

/// Guards against the hosts of a domain waiting, until their views are too old, for a host that is cut off from the
/// service and still holds a recent view.
TEST_CASE("a host whose call failed refuses requests at once until a call succeeds")
{
    RelayedWatchServer server = serverWithHistory();
    const auto isUnavailable = [](const std::vector<SendRangeWatchMessage> &messages) {
        return messages.size() == 1 && std::holds_alternative<RangeWatchUnavailable>(messages.front().message);
    };
    CHECK(server.handleRequest(follower, watchRequest(12), start + 100ms).empty());
    CHECK(isUnavailable(server.recordServiceReply(call(12, start + 100ms), ServiceUnavailable{}, start + 200ms)));
    server.setCallInProgress(range, std::nullopt);
    CHECK(isUnavailable(server.handleRequest(follower, watchRequest(10), start + 300ms)));
    (void)server.recordServiceReply(call(12, start + 300ms),
                                    RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = Revision(13)},
                                    start + 400ms);
    CHECK(server.handleRequest(follower, watchRequest(13), start + 400ms).empty());
}

/// Guards against all hosts of a domain turning to the service when their collector has stopped confirming a range: the
/// next host is asked, and its response is due before the view is too old.
TEST_CASE("a further host is asked for a view that is too old for a longer watch and responds before it is too old")
{
    RelayedWatchClient client({.maximumAges = {.directory = 1500ms}});
    const KeyValueCall watch{.id = CallId(4), .request = WatchRange{.prefix = "p/", .after = Revision(3), .wait = 1s}};
    CHECK(!client.isConfirmed(range, start));
    client.recordConfirmed(range, start);
    CHECK(!client.relay(range, watch, collector, start + 1260ms));
    CHECK(client.isConfirmed(range, start + 1260ms));
    REQUIRE(client.relay(range, watch, HostId("next"), start + 1260ms, {.failures = 1}));
    CHECK(client.takeTimedOut(start + 1480ms).empty());
    CHECK(client.takeTimedOut(start + 1500ms).size() == 1);
    CHECK(!client.relay(range, watch, HostId("next"), start + 1360ms, {.failures = 1}));
    CHECK(!client.isConfirmed(range, start + 1510ms));
}

#include "forwarding/RangeWatch.h"
#include "forwarding/RelayedWatchClient.h"
#include "forwarding/RelayedWatchServer.h"

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

static RangeWatchRequest asked(std::uint64_t after)
{
    return {.number = 7, .range = range, .after = Revision(after), .wait = 1s};
}

/// Answers that know the range as it was at revision 10, and the change of one record at revision 12.
static RelayedWatchServer knowing()
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

static const RangeWatchResponse &told(const std::vector<SendRangeWatchMessage> &messages)
{
    REQUIRE(messages.size() == 1);
    CHECK(messages.front().to == follower);
    REQUIRE(std::holds_alternative<RangeWatchResponse>(messages.front().message));
    return std::get<RangeWatchResponse>(messages.front().message);
}

TEST_CASE("messages survive the wire, and an unknown range is rejected")
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

TEST_CASE("a host that lags is told at once what has changed, and one that does not waits for news")
{
    RelayedWatchServer server = knowing();
    {
        const auto messages = server.handleRequest(follower, asked(10), start + 200ms);
        const RangeWatchResponse &news = told(messages);
        CHECK(news.written == std::vector{record("a", 12)});
        CHECK(news.deletedKeys == std::vector<std::string>{"gone"});
        CHECK(news.revision == Revision(12));
    }
    CHECK(server.handleRequest(follower, asked(12), start + 200ms).empty());
    const auto messages =
        server.recordServiceReply(call(12, start + 100ms),
                                  RangeChanged{.written = {}, .deletedKeys = {"a"}, .storeRevision = Revision(13)},
                                  start + 300ms);
    CHECK(told(messages).deletedKeys == std::vector<std::string>{"a"});
    CHECK(told(messages).written.empty());
}

TEST_CASE("without news the answer comes when the wait is over, and tells how old the knowledge was")
{
    RelayedWatchServer server = knowing();
    CHECK(server.handleRequest(follower, asked(12), start + 200ms).empty());
    CHECK(server.tick(start + 1100ms).empty());
    (void)server.recordServiceReply(call(12, start + 600ms),
                                    RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = Revision(14)},
                                    start + 1150ms);
    const auto messages = server.tick(start + 1200ms);
    CHECK(told(messages).revision == Revision(14));
    // The service confirmed it 400 ms after the question arrived.
    CHECK(told(messages).age == -400ms);
}

TEST_CASE("what is too old, or has gaps, or is too large, is to be read from the service")
{
    RelayedWatchServer server = knowing();
    const auto notKnown = [&](std::uint64_t after, TimePoint now) {
        const auto messages = server.handleRequest(follower, asked(after), now);
        return messages.size() == 1 && std::holds_alternative<RangeWatchUnavailable>(messages.front().message);
    };
    CHECK(notKnown(9, start + 200ms));
    CHECK(notKnown(12, start + 4s));
    // This host was told of revisions 13 to 19 by another one: it does not know them for others.
    (void)server.recordServiceReply(call(20, start + 4s),
                                    RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = Revision(21)},
                                    start + 5s);
    CHECK(notKnown(12, start + 5s));
    CHECK(!notKnown(20, start + 5s));
    KeyValueRecord large = record("large", 22);
    large.value = std::string(1'000'000, 'x');
    (void)server.recordServiceReply(call(21, start + 5s),
                                    RangeChanged{.written = {large}, .deletedKeys = {}, .storeRevision = Revision(22)},
                                    start + 5s);
    CHECK(notKnown(20, start + 5s));
    CHECK(!notKnown(22, start + 5s));
    (void)server.recordServiceReply(call(22, start + 5s), WatchCompacted{.storeRevision = Revision(30)}, start + 5s);
    CHECK(notKnown(22, start + 5s));
}

TEST_CASE("a watch answered by another host counts like one answered by the service and keeps the reported age")
{
    RangeWatch watch({.prefix = "p/"});
    RelayedWatchClient client({});
    RelayedWatchServer server = knowing();
    auto read = watch.nextCall(start);
    REQUIRE(read);
    // The first reading always goes to the service.
    CHECK(!client.relay(range, *read, collector, start));
    (void)watch.handle({.id = read->id, .result = RangeRead{.records = {}, .storeRevision = Revision(11)}}, start);
    const auto next = watch.nextCall(start + 200ms);
    REQUIRE(next);
    const auto question = client.relay(range, *next, collector, start + 200ms);
    REQUIRE(question);
    const auto messages = server.handleRequest(follower, std::get<RangeWatchRequest>(question->message), start + 210ms);
    CHECK(!client.handleResponse(HostId("stranger"), told(messages)));
    const auto answered = client.handleResponse(collector, told(messages));
    REQUIRE(answered);
    const auto update = watch.handle(answered->reply, start + 220ms);
    REQUIRE(update);
    CHECK(update->written == std::vector{record("a", 12)});
    // The collector's knowledge was of the start; what was read before is no older.
    CHECK(watch.confirmedAt() == start);
    CHECK(!client.handleResponse(collector, told(messages)));
}

TEST_CASE("a host that stays silent or does not know is passed over for a while, and the service is asked")
{
    RelayedWatchClient client({});
    const KeyValueCall watch{.id = CallId(4), .request = WatchRange{.prefix = "p/", .after = Revision(3), .wait = 1s}};
    REQUIRE(client.relay(range, watch, collector, start));
    CHECK(client.takeTimedOut(start + 1100ms).empty());
    const auto overdue = client.takeTimedOut(start + 1200ms);
    REQUIRE(overdue.size() == 1);
    CHECK(overdue.front().call.id == CallId(4));
    CHECK(!client.relay(range, watch, collector, start + 2s));
    // Another range may be known all the same.
    CHECK(client.relay(RelayedRange::Hosts, watch, collector, start + 2s));
    const auto again = client.relay(range, watch, collector, start + 4s);
    REQUIRE(again);
    const RangeWatchUnavailable notKnown{.number = std::get<RangeWatchRequest>(again->message).number};
    CHECK(client.handleUnavailable(collector, notKnown, start + 4s));
    CHECK(!client.relay(range, watch, collector, start + 5s));
    CHECK(!client.relay(range, watch, std::nullopt, start + 9s));
}

#include "forwarding/RangeAnswers.h"
#include "forwarding/RangeQuestions.h"
#include "forwarding/RangeWatch.h"

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

static RangeAsked asked(std::uint64_t after)
{
    return {.number = 7, .range = range, .after = Revision(after), .wait = 1s};
}

/// Answers that know the range as it was at revision 10, and the change of one record at revision 12.
static RangeAnswers knowing()
{
    RangeAnswers answers({});
    (void)answers.learned(call(std::nullopt, start), RangeRead{.records = {}, .storeRevision = Revision(10)}, start);
    (void)answers.learned(
        call(10, start),
        RangeChanged{.written = {record("a", 12)}, .deletedKeys = {"gone"}, .storeRevision = Revision(12)},
        start + 100ms);
    return answers;
}

static const RangeTold &told(const std::vector<SendRangeMessage> &messages)
{
    REQUIRE(messages.size() == 1);
    CHECK(messages.front().to == follower);
    REQUIRE(std::holds_alternative<RangeTold>(messages.front().message));
    return std::get<RangeTold>(messages.front().message);
}

TEST_CASE("messages survive the wire, and an unknown range is rejected")
{
    const RangeTold sent{.number = 3,
                         .range = range,
                         .written = {record("a", 12)},
                         .deletedKeys = {"b"},
                         .revision = Revision(12),
                         .age = -5ms};
    nlohmann::json json = RangeMessage(sent);
    auto read = decode<RangeMessage>(json);
    REQUIRE(std::holds_alternative<RangeMessage>(read));
    const auto &received = std::get<RangeTold>(std::get<RangeMessage>(read));
    CHECK(received.written == sent.written);
    CHECK(received.deletedKeys == sent.deletedKeys);
    CHECK(received.revision == sent.revision);
    CHECK(received.age == sent.age);
    json[2] = 9;
    CHECK(std::holds_alternative<DecodeFailure>(decode<RangeMessage>(json)));
}

TEST_CASE("a host that lags is told at once what has changed, and one that does not waits for news")
{
    RangeAnswers answers = knowing();
    {
        const auto messages = answers.asked(follower, asked(10), start + 200ms);
        const RangeTold &news = told(messages);
        CHECK(news.written == std::vector{record("a", 12)});
        CHECK(news.deletedKeys == std::vector<std::string>{"gone"});
        CHECK(news.revision == Revision(12));
    }
    CHECK(answers.asked(follower, asked(12), start + 200ms).empty());
    const auto messages =
        answers.learned(call(12, start + 100ms),
                        RangeChanged{.written = {}, .deletedKeys = {"a"}, .storeRevision = Revision(13)},
                        start + 300ms);
    CHECK(told(messages).deletedKeys == std::vector<std::string>{"a"});
    CHECK(told(messages).written.empty());
}

TEST_CASE("without news the answer comes when the wait is over, and tells how old the knowledge was")
{
    RangeAnswers answers = knowing();
    CHECK(answers.asked(follower, asked(12), start + 200ms).empty());
    CHECK(answers.tick(start + 1100ms).empty());
    (void)answers.learned(call(12, start + 600ms),
                          RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = Revision(14)},
                          start + 1150ms);
    const auto messages = answers.tick(start + 1200ms);
    CHECK(told(messages).revision == Revision(14));
    // The service confirmed it 400 ms after the question arrived.
    CHECK(told(messages).age == -400ms);
}

TEST_CASE("what is too old, or has gaps, or is too large, is to be read from the service")
{
    RangeAnswers answers = knowing();
    const auto notKnown = [&](std::uint64_t after, TimePoint now) {
        const auto messages = answers.asked(follower, asked(after), now);
        return messages.size() == 1 && std::holds_alternative<RangeNotKnown>(messages.front().message);
    };
    CHECK(notKnown(9, start + 200ms));
    CHECK(notKnown(12, start + 4s));
    // This host was told of revisions 13 to 19 by another one: it does not know them for others.
    (void)answers.learned(call(20, start + 4s),
                          RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = Revision(21)},
                          start + 5s);
    CHECK(notKnown(12, start + 5s));
    CHECK(!notKnown(20, start + 5s));
    KeyValueRecord large = record("large", 22);
    large.value = std::string(1'000'000, 'x');
    (void)answers.learned(call(21, start + 5s),
                          RangeChanged{.written = {large}, .deletedKeys = {}, .storeRevision = Revision(22)},
                          start + 5s);
    CHECK(notKnown(20, start + 5s));
    CHECK(!notKnown(22, start + 5s));
    (void)answers.learned(call(22, start + 5s), WatchCompacted{.storeRevision = Revision(30)}, start + 5s);
    CHECK(notKnown(22, start + 5s));
}

TEST_CASE("a watch that another host answers is as good as one at the service, and no younger than it says")
{
    RangeWatch watch({.prefix = "p/"});
    RangeQuestions questions({});
    RangeAnswers answers = knowing();
    auto read = watch.nextCall(start);
    REQUIRE(read);
    // The first reading always goes to the service.
    CHECK(!questions.ask(range, *read, collector, start));
    (void)watch.handle({.id = read->id, .result = RangeRead{.records = {}, .storeRevision = Revision(11)}}, start);
    const auto next = watch.nextCall(start + 200ms);
    REQUIRE(next);
    const auto question = questions.ask(range, *next, collector, start + 200ms);
    REQUIRE(question);
    const auto messages = answers.asked(follower, std::get<RangeAsked>(question->message), start + 210ms);
    CHECK(!questions.told(HostId("stranger"), told(messages)));
    const auto answered = questions.told(collector, told(messages));
    REQUIRE(answered);
    const auto update = watch.handle(answered->reply, start + 220ms);
    REQUIRE(update);
    CHECK(update->written == std::vector{record("a", 12)});
    // The collector's knowledge was of the start; what was read before is no older.
    CHECK(watch.confirmedAt() == start);
    CHECK(!questions.told(collector, told(messages)));
}

TEST_CASE("a host that stays silent or does not know is passed over for a while, and the service is asked")
{
    RangeQuestions questions({});
    const KeyValueCall watch{.id = CallId(4), .request = WatchRange{.prefix = "p/", .after = Revision(3), .wait = 1s}};
    REQUIRE(questions.ask(range, watch, collector, start));
    CHECK(questions.takeOverdue(start + 1100ms).empty());
    const auto overdue = questions.takeOverdue(start + 1200ms);
    REQUIRE(overdue.size() == 1);
    CHECK(overdue.front().call.id == CallId(4));
    CHECK(!questions.ask(range, watch, collector, start + 2s));
    // Another range may be known all the same.
    CHECK(questions.ask(RelayedRange::Hosts, watch, collector, start + 2s));
    const auto again = questions.ask(range, watch, collector, start + 4s);
    REQUIRE(again);
    const RangeNotKnown notKnown{.number = std::get<RangeAsked>(again->message).number};
    CHECK(questions.notKnown(collector, notKnown, start + 4s));
    CHECK(!questions.ask(range, watch, collector, start + 5s));
    CHECK(!questions.ask(range, watch, std::nullopt, start + 9s));
}

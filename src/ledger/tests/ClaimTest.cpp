#include "LedgerFixture.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static constexpr ShardNumber shard{0};

/// Three hosts; host 0 owns the only shard.
static std::unique_ptr<LedgerFixture> threeHosts()
{
    auto fixture = std::make_unique<LedgerFixture>(1, 3, 1);
    fixture->moveShard(shard, 0);
    fixture->run(100ms);
    return fixture;
}

template<typename State>
static bool alreadyClaimed(const LedgerFixture &fixture, CallId call)
{
    const auto verdict = fixture.verdict(call);
    const auto *claimed = std::get_if<AlreadyClaimed>(&verdict);
    return claimed && std::holds_alternative<State>(claimed->state);
}

TEST_CASE("a repeat through another host gets the recorded answer")
{
    auto fixture = threeHosts();
    fixture->claim(1, CallId(1), "key", "body");
    fixture->run(100ms);
    CHECK(fixture->decided<ClaimGranted>(CallId(1)));
    fixture->claim(2, CallId(2), "key", "body");
    fixture->run(100ms);
    CHECK(alreadyClaimed<ClaimInProgress>(*fixture, CallId(2)));
    fixture->end(1, CallId(1), ClaimAnswered{.status = 201, .body = "booked"});
    fixture->run(100ms);
    fixture->claim(2, CallId(3), "key", "body");
    fixture->run(100ms);
    REQUIRE(alreadyClaimed<ClaimAnswered>(*fixture, CallId(3)));
    const auto state = std::get<AlreadyClaimed>(fixture->verdict(CallId(3))).state;
    CHECK(std::get<ClaimAnswered>(state) == ClaimAnswered{.status = 201, .body = "booked"});
}

TEST_CASE("the same key with another body is a conflict, and a released key is free")
{
    auto fixture = threeHosts();
    fixture->claim(1, CallId(1), "key", "body");
    fixture->run(100ms);
    fixture->claim(2, CallId(2), "key", "other body");
    fixture->run(100ms);
    CHECK(fixture->decided<KeyMismatch>(CallId(2)));
    fixture->end(1, CallId(1), ClaimReleased{});
    fixture->run(100ms);
    fixture->claim(2, CallId(3), "key", "other body");
    fixture->run(100ms);
    CHECK(fixture->decided<ClaimGranted>(CallId(3)));
}

TEST_CASE("a late double of a release does not free the key that another attempt holds meanwhile")
{
    auto fixture = threeHosts();
    fixture->claim(1, CallId(1), "key", "body");
    fixture->run(100ms);
    fixture->sent.clear();
    fixture->end(1, CallId(1), ClaimReleased{});
    const LedgerMessage release = fixture->sent.at(0);
    fixture->run(100ms);
    fixture->claim(2, CallId(2), "key", "body");
    fixture->run(100ms);
    REQUIRE(fixture->decided<ClaimGranted>(CallId(2)));
    fixture->deliver(HostId("host0"), HostId("host1"), release);
    fixture->run(100ms);
    // The next owner must come to the same conclusion from the segments.
    fixture->moveShard(shard, 2);
    fixture->run(200ms);
    fixture->claim(1, CallId(3), "key", "body");
    fixture->run(100ms);
    CHECK(alreadyClaimed<ClaimInProgress>(*fixture, CallId(3)));
}

TEST_CASE("two hosts that claim one key at once get one grant")
{
    auto fixture = threeHosts();
    fixture->claim(1, CallId(1), "key", "body");
    fixture->claim(2, CallId(2), "key", "body");
    fixture->run(200ms);
    CHECK(fixture->decided<ClaimGranted>(CallId(1)) != fixture->decided<ClaimGranted>(CallId(2)));
}

TEST_CASE("a commit whose answer is lost after it took effect still grants, once")
{
    auto fixture = threeHosts();
    fixture->store.faults().nextAnswersLost = 1;
    fixture->claim(1, CallId(1), "key", "body");
    fixture->run(900ms);
    CHECK(fixture->decided<ClaimGranted>(CallId(1)));
    CHECK(fixture->host(0).owners.at(shard).serving());
    fixture->claim(2, CallId(2), "key", "body");
    fixture->run(100ms);
    CHECK(alreadyClaimed<ClaimInProgress>(*fixture, CallId(2)));
}

TEST_CASE("a lost verdict is asked for again by the same attempt and granted to it")
{
    auto fixture = threeHosts();
    int lost = 0;
    fixture->drop = [&](const LedgerMessage &message) {
        return std::holds_alternative<ClaimDecided>(message) && lost++ == 0;
    };
    fixture->claim(1, CallId(1), "key", "body");
    fixture->run(500ms);
    CHECK(lost == 2);
    CHECK(fixture->decided<ClaimGranted>(CallId(1)));
}

TEST_CASE("a claimant that dies leaves an unknown outcome, and the call never runs again")
{
    auto fixture = threeHosts();
    fixture->claim(1, CallId(1), "key", "body");
    fixture->run(100ms);
    fixture->kill(1);
    fixture->claim(2, CallId(2), "key", "body");
    fixture->run(100ms);
    CHECK(alreadyClaimed<ClaimOutcomeUnknown>(*fixture, CallId(2)));
    // The next owner knows of no death, but the call's time runs out.
    fixture->moveShard(shard, 2);
    fixture->run(11min);
    fixture->claim(2, CallId(3), "key", "body");
    fixture->run(100ms);
    CHECK(alreadyClaimed<ClaimOutcomeUnknown>(*fixture, CallId(3)));
}

TEST_CASE("an owner that was paused past its lease grants nothing when it wakes")
{
    auto fixture = threeHosts();
    fixture->claim(1, CallId(1), "key", "body");
    // The claim reaches the owner, which is paused before its commit reaches the service.
    fixture->run(100ms);
    fixture->host(0).paused = true;
    fixture->claim(1, CallId(2), "other", "body");
    fixture->run(20ms);
    fixture->moveShard(shard, 2);
    fixture->run(100ms);
    fixture->claim(2, CallId(3), "other", "body");
    fixture->run(100ms);
    CHECK(fixture->decided<ClaimGranted>(CallId(3)));
    fixture->wake(0);
    fixture->run(2s);
    CHECK_FALSE(fixture->host(0).owners.at(shard).serving());
    CHECK_FALSE(fixture->decided<ClaimGranted>(CallId(2)));
}

TEST_CASE("while the service is down claims are refused at once as not run, unless the targets honour the key")
{
    auto fixture = threeHosts();
    fixture->store.faults().outage = true;
    fixture->claim(1, CallId(1), "key", "body");
    fixture->claim(1, CallId(2), "own", "body", true);
    fixture->run(100ms);
    REQUIRE(fixture->decided<ClaimUnavailable>(CallId(1)));
    CHECK(std::get<ClaimUnavailable>(fixture->verdict(CallId(1))).retryAfter >= 1s);
    CHECK(fixture->decided<ClaimWaived>(CallId(2)));
    fixture->store.faults().outage = false;
    fixture->run(1s);
    fixture->claim(2, CallId(3), "key", "body");
    fixture->run(100ms);
    CHECK(fixture->decided<ClaimGranted>(CallId(3)));
}

TEST_CASE("without a known owner a claim is refused at once")
{
    LedgerFixture fixture(1, 1, 1);
    fixture.claim(0, CallId(1), "key", "body");
    CHECK(fixture.decided<ClaimUnavailable>(CallId(1)));
}

TEST_CASE("a refused claim that was recorded after all becomes free again")
{
    auto fixture = threeHosts();
    fixture->store.faults().nextAnswersLost = 4;
    fixture->claim(1, CallId(1), "key", "body");
    fixture->run(1s);
    CHECK(fixture->decided<ClaimUnavailable>(CallId(1)));
    fixture->run(5s);
    fixture->claim(2, CallId(2), "key", "body");
    fixture->run(200ms);
    CHECK(fixture->decided<ClaimGranted>(CallId(2)));
}

TEST_CASE("a claim message that is delivered again after the window grants nothing")
{
    auto fixture = std::make_unique<LedgerFixture>(1, 3, 1);
    fixture->ownerOptions.periodLength = 1min;
    fixture->ownerOptions.store.rememberedPeriods = 2;
    fixture->moveShard(shard, 0);
    fixture->run(100ms);
    fixture->claim(1, CallId(1), "key", "body");
    fixture->run(100ms);
    REQUIRE(fixture->decided<ClaimGranted>(CallId(1)));
    fixture->end(1, CallId(1), ClaimAnswered{.status = 200, .body = ""});
    std::optional<LedgerMessage> claim;
    for (const LedgerMessage &message : fixture->sent) {
        if (std::holds_alternative<ClaimRequested>(message)) {
            claim = message;
        }
    }
    REQUIRE(claim);
    fixture->run(1min);
    fixture->sent.clear();
    fixture->deliver(HostId("host0"), HostId("host1"), *claim);
    fixture->run(4min);
    CHECK(fixture->host(0).owners.at(shard).claims() == 0);
    fixture->deliver(HostId("host0"), HostId("host1"), *claim);
    fixture->run(200ms);
    CHECK(fixture->host(0).owners.at(shard).claims() == 0);
    for (const LedgerMessage &message : fixture->sent) {
        const auto *decision = std::get_if<ClaimDecided>(&message);
        CHECK_FALSE((decision && std::holds_alternative<ClaimGranted>(decision->verdict)));
    }
}

TEST_CASE("a takeover reads every segment, and does not begin from a stale read")
{
    auto fixture = std::make_unique<LedgerFixture>(1, 3, 1);
    fixture->ownerOptions.store.segmentLimit = ByteCount(400);
    fixture->moveShard(shard, 0);
    fixture->run(100ms);
    for (std::uint64_t call = 1; call <= 20; ++call) {
        fixture->claim(1, CallId(call), "key" + std::to_string(call), "body");
        fixture->run(50ms);
    }
    fixture->store.freezeReads();
    fixture->moveShard(shard, 2);
    fixture->run(1s);
    CHECK_FALSE(fixture->host(2).owners.at(shard).serving());
    fixture->store.thawReads();
    fixture->run(1s);
    REQUIRE(fixture->host(2).owners.at(shard).serving());
    CHECK(fixture->host(2).owners.at(shard).claims() == 20);
    fixture->claim(2, CallId(21), "key1", "body");
    fixture->run(100ms);
    CHECK(alreadyClaimed<ClaimInProgress>(*fixture, CallId(21)));
}

TEST_CASE("a late answer replaces an unknown outcome although that one was acknowledged meanwhile")
{
    auto fixture = threeHosts();
    fixture->claim(1, CallId(1), "key", "body");
    fixture->run(100ms);
    int lost = 0;
    fixture->drop = [&](const LedgerMessage &message) {
        const auto *report = std::get_if<OutcomeReported>(&message);
        return report && std::holds_alternative<ClaimAnswered>(report->outcome) && lost++ == 0;
    };
    fixture->end(1, CallId(1), ClaimOutcomeUnknown{});
    fixture->end(1, CallId(1), ClaimAnswered{.status = 200, .body = "late"});
    fixture->run(3s);
    fixture->claim(2, CallId(2), "key", "body");
    fixture->run(100ms);
    CHECK(alreadyClaimed<ClaimAnswered>(*fixture, CallId(2)));
}

TEST_CASE("a claim message that arrives after its claimant gave up holds the key only until the claimant hears of it")
{
    auto fixture = threeHosts();
    fixture->drop = [](const LedgerMessage &message) { return std::holds_alternative<ClaimRequested>(message); };
    fixture->claim(1, CallId(1), "key", "body");
    fixture->run(3s);
    REQUIRE(fixture->decided<ClaimUnavailable>(CallId(1)));
    fixture->drop = {};
    for (const LedgerMessage &message : fixture->sent) {
        if (std::holds_alternative<ClaimRequested>(message)) {
            fixture->deliver(HostId("host0"), HostId("host1"), message);
            break;
        }
    }
    fixture->run(200ms);
    fixture->claim(2, CallId(2), "key", "body");
    fixture->run(100ms);
    CHECK(fixture->decided<ClaimGranted>(CallId(2)));
}

TEST_CASE("long or binary answers are recorded without their body")
{
    CHECK(recordableAnswer(200, "short").body == "short");
    CHECK_FALSE(recordableAnswer(200, std::string(recordedBodyLimit.value() + 1, 'a')).body);
    CHECK_FALSE(recordableAnswer(200, "\xff").body);
}

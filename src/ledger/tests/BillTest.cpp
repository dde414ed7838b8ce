#include "LedgerFixture.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static constexpr ShardNumber shard{0};

static std::unique_ptr<LedgerFixture> threeHosts()
{
    auto fixture = std::make_unique<LedgerFixture>(1, 3, 1);
    fixture->moveShard(shard, 0);
    fixture->run(100ms);
    return fixture;
}

TEST_CASE("a bill reaches the usage record once although its commit's answer is lost")
{
    auto fixture = threeHosts();
    fixture->store.faults().nextAnswersLost = 2;
    fixture->earn(1, "job");
    fixture->run(15s);
    CHECK(fixture->usage("job") == UsageTotal{.jobs = 1, .tokens = TokenCount(10), .price = MicroPrice(3)});
    CHECK(fixture->host(1).outbox->unrecorded() == 0);
}

TEST_CASE("bills that were counted are not counted again by the next owner, and both sum into one usage record")
{
    auto fixture = threeHosts();
    int lost = 0;
    fixture->drop = [&](const LedgerMessage &message) {
        return std::holds_alternative<BillsRecorded>(message) && ++lost < 5;
    };
    fixture->earn(1, "job");
    fixture->run(12s);
    fixture->moveShard(shard, 2);
    fixture->earn(0, "job");
    fixture->run(15s);
    CHECK(fixture->usage("job").jobs == 2);
    CHECK(fixture->host(1).outbox->unrecorded() == 0);
}

TEST_CASE("bills of an hour without the service survive the loss of their host")
{
    auto fixture = threeHosts();
    fixture->store.faults().outage = true;
    fixture->tickInterval = 100ms;
    for (int job = 0; job < 600; ++job) {
        fixture->earn(1, "job" + std::to_string(job));
        fixture->run(6s);
    }
    CHECK(fixture->host(1).outbox->unrecorded() == 600);
    CHECK(fixture->host(1).outbox->uncopied() == 0);
    CHECK(fixture->host(2).outbox->copies() == 600);
    fixture->kill(1);
    fixture->start(1);
    fixture->store.faults().outage = false;
    fixture->run(3min);
    std::uint64_t billed = 0;
    for (int job = 0; job < 600; ++job) {
        billed += fixture->usage("job" + std::to_string(job)).jobs;
    }
    CHECK(billed == 600);
    CHECK(fixture->host(2).outbox->copies() == 0);
}

TEST_CASE("a keeper that was restarted gets all copies anew, and keeps none after a gap")
{
    auto fixture = threeHosts();
    fixture->store.faults().outage = true;
    fixture->earn(1, "first");
    fixture->run(1s);
    CHECK(fixture->host(2).outbox->copies() == 1);
    fixture->kill(2);
    fixture->start(2);
    fixture->earn(1, "second");
    fixture->run(2s);
    CHECK(fixture->host(2).outbox->copies() == 2);
    fixture->kill(1);
    fixture->store.faults().outage = false;
    fixture->run(15s);
    CHECK(fixture->usage("first").jobs == 1);
    CHECK(fixture->usage("second").jobs == 1);
}

TEST_CASE("a full buffer has no room for another job, and what is lost is named")
{
    auto outbox = std::get<BillOutbox>(BillOutbox::create({.billLimit = 1}));
    CHECK(outbox.handle(BillEarned{}, TimePoint{}).empty());
    CHECK_FALSE(outbox.hasRoom());
    const auto actions = outbox.handle(BillEarned{}, TimePoint{});
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<BillLost>(actions[0]));
}

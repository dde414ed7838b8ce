#include "admission/ShareAllocator.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const HostId lender("host-1");
static constexpr std::uint64_t key = 7;
static constexpr Duration grantTime = 3s;
static const TimePoint start = TimePoint(100s);

static ShareRequest loanOf(std::uint32_t sequence, TimePoint clock, std::uint64_t allocatorEpoch = 5)
{
    return {.sequence = sequence,
            .epoch = ProcessEpoch(1),
            .allocatorEpoch = ProcessEpoch(allocatorEpoch),
            .allocatorClock = static_cast<std::uint64_t>(clock.time_since_epoch() / 1ms),
            .loanTime = 10'000,
            .shards = {{LimitShard(1), LimitShare(900), {{key, LimitShare(0), LimitShare(500)}}}}};
}

TEST_CASE("a share is granted out of what was lent")
{
    ShareAllocator allocator(ProcessEpoch(5));
    const ShareReply reply = allocator.handle(lender, loanOf(1, start), grantTime, start);
    REQUIRE(reply.shares.size() == 1);
    CHECK(reply.shares.front() == LimitShare(500));
}

TEST_CASE("a doubled or late request changes nothing")
{
    ShareAllocator allocator(ProcessEpoch(5));
    ShareRequest takesAll = loanOf(2, start);
    takesAll.shards.front().demands.front().wanted = LimitShare(900);
    (void)allocator.handle(lender, takesAll, grantTime, start);
    CHECK(allocator.handle(lender, loanOf(1, start), grantTime, start).shares.empty());
    ShareRequest other = loanOf(1, start);
    other.shards.front().loan = LimitShare(0);
    const ShareReply reply = allocator.handle(HostId("host-2"), other, grantTime, start);
    REQUIRE(reply.shares.size() == 1);
    CHECK(reply.shares.front() == LimitShare(0));
}

TEST_CASE("a loan to a former life of the allocator counts for nothing")
{
    ShareAllocator allocator(ProcessEpoch(6));
    const ShareReply reply = allocator.handle(lender, loanOf(1, start, 5), grantTime, start);
    CHECK(reply.shares.front() == LimitShare(0));
}

TEST_CASE("a loan counts from the clock that the lender was told, however late it arrives")
{
    ShareAllocator allocator(ProcessEpoch(5));
    const ShareReply reply = allocator.handle(lender, loanOf(1, start), grantTime, start + 8s);
    CHECK(reply.shares.front() == LimitShare(0));
}

TEST_CASE("the requests of a former life of a host are ignored")
{
    ShareAllocator allocator(ProcessEpoch(5));
    ShareRequest restarted = loanOf(1, start);
    restarted.epoch = ProcessEpoch(2);
    (void)allocator.handle(lender, restarted, grantTime, start);
    CHECK(allocator.handle(lender, loanOf(9, start), grantTime, start).shares.empty());
}

TEST_CASE("demand above the pool is shared in proportion")
{
    ShareAllocator allocator(ProcessEpoch(5));
    ShareRequest first = loanOf(1, start);
    ShareRequest second = loanOf(1, start);
    second.shards.front().loan = LimitShare(0);
    first.shards.front().demands.front().wanted = LimitShare(900);
    second.shards.front().demands.front().wanted = LimitShare(900);
    for (std::uint32_t round = 1; round <= 3; ++round) {
        first.sequence = second.sequence = round;
        const ShareReply one = allocator.handle(HostId("one"), first, grantTime, start);
        const ShareReply two = allocator.handle(HostId("two"), second, grantTime, start);
        first.shards.front().demands.front().held = one.shares.front();
        second.shards.front().demands.front().held = two.shares.front();
    }
    CHECK(first.shards.front().demands.front().held == LimitShare(450));
    CHECK(second.shards.front().demands.front().held == LimitShare(450));
}

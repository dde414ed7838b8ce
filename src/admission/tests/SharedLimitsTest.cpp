#include "admission/tests/ShareFleet.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const OrganisationId organisation("thermal-ridge");
static const EntryId entry("flight-summary");
static const LimitName limit = limitName(organisation);
/// A limit that never binds, so that a test sees the organisation's limit alone.
static constexpr Limits wide{.requestsPerSecond = 1e9, .tokensPerSecond = 1e9, .jobsInProgress = 1'000'000};

static std::vector<NamedLimits> limitsOf(const Limits &limits)
{
    return {{limit, limits}, {limitName(entry), wide}};
}

static bool tryOne(ShareFleet &fleet, std::size_t index, std::uint64_t tokens = 10)
{
    const LimitedRequest request{.organisation = organisation, .entry = entry, .tokens = TokenCount(tokens)};
    const auto reserved = fleet.at(index).reserve(request, fleet.now());
    if (const auto *reservation = std::get_if<LimitReservation>(&reserved)) {
        fleet.at(index).settle(*reservation, reservation->tokens, fleet.now());
        return true;
    }
    return false;
}

/// Waits until a request fits, with a demand that the allocator has heard of, and reserves it.
static LimitReservation reserveSoon(ShareFleet &fleet, const LimitedRequest &request)
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        const auto reserved = fleet.at(0).reserve(request, fleet.now());
        if (const auto *reservation = std::get_if<LimitReservation>(&reserved)) {
            return *reservation;
        }
        fleet.run(20ms);
    }
    FAIL("the request never fits");
    return {};
}

/// Admits as much as possible at the hosts that are named, in each step of the next `duration`.
static std::size_t flood(ShareFleet &fleet, const std::vector<std::size_t> &hosts, Duration duration)
{
    std::size_t admitted = 0;
    fleet.onStep = [&] {
        for (const std::size_t index : hosts) {
            while (fleet.isRunning(index) && tryOne(fleet, index)) {
                ++admitted;
            }
        }
    };
    fleet.run(duration);
    fleet.onStep = nullptr;
    return admitted;
}

TEST_CASE("a share message reads back as it was written")
{
    const ShareRequest request{.sequence = 3,
                               .epoch = ProcessEpoch(1),
                               .allocatorEpoch = ProcessEpoch(2),
                               .allocatorClock = 99,
                               .loanTime = 6000,
                               .shards = {{LimitShard(4), LimitShare(5), {{7, LimitShare(8), LimitShare(9)}}}}};
    const ShareReply reply{3, ProcessEpoch(2), 99, 3000, {LimitShare(1)}};
    for (const ShareMessage &message : {ShareMessage(request), ShareMessage(reply)}) {
        const auto decoded = decode<ShareMessage>(nlohmann::json(message));
        REQUIRE(std::holds_alternative<ShareMessage>(decoded));
        CHECK(std::get<ShareMessage>(decoded) == message);
    }
}

TEST_CASE("an organisation that arrives at one host only gets nine tenths of its limit there within two seconds")
{
    for (const std::size_t hosts : {1, 4, 12}) {
        ShareFleet fleet({.hosts = hosts, .limits = limitsOf({100, 1e6, 100'000})});
        fleet.run(10s);
        flood(fleet, {0}, 2s);
        CHECK(flood(fleet, {0}, 10s) >= 900);
    }
}

TEST_CASE("a slow link to the allocator delays shares but does not keep them away")
{
    ShareFleet fleet({.hosts = 4, .longestDelay = 200ms, .limits = limitsOf({100, 1e6, 100'000})});
    fleet.run(10s);
    flood(fleet, {0}, 4s);
    CHECK(flood(fleet, {0}, 10s) >= 900);
}

TEST_CASE("shares follow the demand from one host to another")
{
    ShareFleet fleet({.hosts = 4, .limits = limitsOf({100, 1e6, 100'000})});
    fleet.run(10s);
    flood(fleet, {0}, 10s);
    CHECK(fleet.at(0).share(limit, fleet.now()) >= LimitShare(900'000));
    flood(fleet, {1}, 10s);
    CHECK(fleet.at(1).share(limit, fleet.now()) >= LimitShare(900'000));
}

TEST_CASE("what all hosts admit together keeps within the limit and one second's burst")
{
    ShareFleet fleet({.hosts = 4, .lossRate = 0.05, .duplicateRate = 0.1, .limits = limitsOf({50, 1e6, 100'000})});
    // An idle host saves nothing up beyond the burst.
    fleet.run(2min);
    const std::size_t admitted = flood(fleet, {0, 1, 2, 3}, 60s);
    CHECK(admitted <= 50 * 61);
    CHECK(admitted >= 50 * 54);
}

TEST_CASE("tokens are reserved as asked and what was not used is returned")
{
    ShareFleet fleet({.hosts = 1, .limits = limitsOf({1000, 1000, 1000})});
    fleet.run(10s);
    const LimitedRequest request{.organisation = organisation, .entry = entry, .tokens = TokenCount(1000)};
    const LimitReservation first = reserveSoon(fleet, request);
    const auto second = fleet.at(0).reserve(request, fleet.now());
    REQUIRE(std::holds_alternative<LimitReached>(second));
    const Duration whole = std::get<LimitReached>(second).retryAfter;
    CHECK(whole <= 1s);
    fleet.at(0).settle(first, TokenCount(100), fleet.now());
    const auto third = fleet.at(0).reserve(request, fleet.now());
    const Duration rest = std::holds_alternative<LimitReached>(third) ? std::get<LimitReached>(third).retryAfter : 0s;
    // Each wait is rounded up to a whole microsecond.
    CHECK(whole - rest >= 900ms - 1us);
    CHECK(whole - rest <= 900ms + 1us);
}

TEST_CASE("jobs in progress are bounded and free their place when they end")
{
    ShareFleet fleet({.hosts = 1, .limits = limitsOf({1000, 1e6, 2})});
    fleet.run(10s);
    const LimitedRequest request{.organisation = organisation, .entry = entry, .tokens = TokenCount(1)};
    const LimitReservation first = reserveSoon(fleet, request);
    reserveSoon(fleet, request);
    fleet.run(5s);
    CHECK(std::holds_alternative<LimitReached>(fleet.at(0).reserve(request, fleet.now())));
    fleet.at(0).settle(first, TokenCount(1), fleet.now());
    CHECK(std::holds_alternative<LimitReservation>(fleet.at(0).reserve(request, fleet.now())));
}

TEST_CASE("an unknown organisation is refused as such")
{
    ShareFleet fleet({.hosts = 1, .limits = limitsOf(wide)});
    const LimitedRequest request{.organisation = OrganisationId("nobody"), .entry = entry};
    CHECK(std::holds_alternative<LimitMissing>(fleet.at(0).reserve(request, fleet.now())));
}

TEST_CASE("two halves that cannot see each other share the limit between them")
{
    ShareFleet fleet({.hosts = 4, .limits = limitsOf({100, 1e6, 100'000})});
    fleet.run(10s);
    flood(fleet, {0, 3}, 10s);
    const auto sameSide = [](std::size_t left, std::size_t right) { return (left < 2) == (right < 2); };
    fleet.isCut = [&](std::size_t from, std::size_t to) { return !sameSide(from, to); };
    fleet.setViews(sameSide, 4);
    CHECK(flood(fleet, {0, 3}, 60s) <= 100 * 61);
    CHECK(fleet.at(0).share(limit, fleet.now()) >= LimitShare(450'000));
    CHECK(fleet.at(3).share(limit, fleet.now()) >= LimitShare(450'000));
    CHECK(fleet.sum(limit) <= wholeLimit.value());
}

/// Changes the fleet at random: hosts fail, restart, are cut off, and each host has a view of its own.
static void disturb(ShareFleet &fleet, Random &random, std::size_t hosts)
{
    const std::size_t victim = random.below(hosts);
    switch (random.below(4)) {
    case 0:
        fleet.kill(victim);
        break;
    case 1:
        fleet.start(victim);
        break;
    case 2:
        fleet.isCut = [victim](std::size_t from, std::size_t to) { return from == victim || to == victim; };
        break;
    default:
        fleet.isCut = nullptr;
        break;
    }
    const std::uint64_t views = random.number();
    fleet.setViews(
        [&](std::size_t observer, std::size_t subject) {
            return fleet.isRunning(subject) && ((views >> (observer * hosts + subject)) & 1U) == 0;
        },
        hosts);
}

TEST_CASE("the shares never sum up to more than the limit while hosts fail, restart, are cut off and disagree")
{
    constexpr std::size_t hosts = 6;
    std::uint64_t highest = 0;
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        ShareFleet fleet({.hosts = hosts,
                          .seed = seed,
                          .lossRate = 0.1,
                          .duplicateRate = 0.2,
                          .longestDelay = 400ms,
                          .limits = limitsOf({100, 1e6, 100'000})});
        Random random(seed);
        for (int change = 0; change < 60; ++change) {
            fleet.onStep = [&] {
                for (std::size_t index = 0; index < hosts; ++index) {
                    // Each host's demand comes and goes.
                    if (fleet.isRunning(index) && (index + change) % 3 != 0) {
                        tryOne(fleet, index);
                    }
                }
                highest = std::max(highest, fleet.sum(limit));
            };
            fleet.run(Duration(random.below(6'000'000)));
            disturb(fleet, random, hosts);
        }
    }
    CHECK(highest <= wholeLimit.value());
    CHECK(highest >= wholeLimit.value() * 9 / 10);
}

TEST_CASE("the portion of a host that is dropped is not used twice")
{
    ShareFleet fleet({.hosts = 4, .limits = limitsOf({100, 1e6, 100'000})});
    fleet.run(10s);
    std::uint64_t highest = 0;
    fleet.onStep = [&] {
        tryOne(fleet, 0);
        while (tryOne(fleet, 1)) { }
        highest = std::max(highest, fleet.sum(limit));
    };
    fleet.run(10s);
    fleet.kill(3);
    fleet.setViews([](std::size_t /*observer*/, std::size_t /*subject*/) { return true; }, 3);
    fleet.run(30s);
    CHECK(highest <= wholeLimit.value());
    CHECK(fleet.sum(limit) >= wholeLimit.value() * 9 / 10);
}

TEST_CASE("a host that joins takes the sum over the limit by no more than its own portion")
{
    ShareFleet fleet({.hosts = 5, .limits = limitsOf({100, 1e6, 100'000})});
    fleet.kill(4);
    fleet.setViews([](std::size_t /*observer*/, std::size_t /*subject*/) { return true; }, 4);
    fleet.run(40s);
    std::uint64_t highest = 0;
    fleet.onStep = [&] {
        for (std::size_t index = 0; index < 5; ++index) {
            if (fleet.isRunning(index)) {
                tryOne(fleet, index);
            }
        }
        highest = std::max(highest, fleet.sum(limit));
    };
    fleet.run(20s);
    CHECK(highest <= wholeLimit.value());
    fleet.start(4);
    fleet.run(1s);
    fleet.setViews([](std::size_t /*observer*/, std::size_t /*subject*/) { return true; }, 5);
    fleet.run(60s);
    CHECK(highest <= wholeLimit.value() + wholeLimit.value() / 5);
    CHECK(fleet.sum(limit) >= wholeLimit.value() * 9 / 10);
}

/// Measures the error, the speed and the load of shared limits in virtual time.
///
/// Usage: admissionBench [SIZE ...]; with sizes, only the load is measured. Each result is one line: `limits-<what>
/// key=value ...`. Bytes are those of the packed messages, without the headers of the transport.

#include "admission/tests/ShareFleet.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace Carawaymill;

static constexpr Limits wide{.requestsPerSecond = 1e9, .tokensPerSecond = 1e9, .jobsInProgress = 1'000'000};
static const EntryId entry("entry");

static OrganisationId organisation(std::size_t number)
{
    return OrganisationId("organisation-" + std::to_string(number));
}

static std::vector<NamedLimits> limitsFor(std::size_t organisations, const Limits &limits)
{
    std::vector<NamedLimits> all{{limitName(entry), wide}};
    for (std::size_t number = 0; number < organisations; ++number) {
        all.push_back({limitName(organisation(number)), limits});
    }
    return all;
}

static bool tryOne(ShareFleet &fleet, std::size_t index, std::size_t number)
{
    const LimitedRequest request{.organisation = organisation(number), .entry = entry, .tokens = TokenCount(10)};
    const auto reserved = fleet.at(index).reserve(request, fleet.now());
    if (const auto *reservation = std::get_if<LimitReservation>(&reserved)) {
        fleet.at(index).settle(*reservation, reservation->tokens, fleet.now());
        return true;
    }
    return false;
}

/// One organisation arrives at one host: how long until it may use nine tenths of its limit there.
static void measureArrival(std::size_t hosts)
{
    ShareFleet fleet({.hosts = hosts, .limits = limitsFor(1, {100, 1e6, 100'000})});
    fleet.run(30s);
    const TimePoint arrival = fleet.now();
    const LimitName limit = limitName(organisation(0));
    while (fleet.now() < arrival + 60s && fleet.at(0).share(limit, fleet.now()).value() < 900'000) {
        while (tryOne(fleet, 0, 0)) { }
        fleet.run(20ms);
    }
    std::printf("limits-arrival hosts=%zu secondsToNineTenths=%.2f share=%.3f\n",
                hosts,
                std::chrono::duration<double>(fleet.now() - arrival).count(),
                fleet.at(0).share(limit, fleet.now()).value() / 1e6);
}

/// Hosts fail, restart and are cut off under full demand: how far the shares and what was admitted pass the limit.
static void measureBound(std::size_t hosts)
{
    std::uint64_t highest = 0;
    double worstRatio = 0;
    constexpr double rate = 100;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ShareFleet fleet({.hosts = hosts,
                          .seed = seed,
                          .lossRate = 0.05,
                          .duplicateRate = 0.1,
                          .longestDelay = 200ms,
                          .limits = limitsFor(1, {rate, 1e6, 100'000})});
        Random random(seed);
        std::size_t admitted = 0;
        fleet.onStep = [&] {
            for (std::size_t index = 0; index < hosts; ++index) {
                while (fleet.isRunning(index) && tryOne(fleet, index, 0)) {
                    ++admitted;
                }
            }
            highest = std::max(highest, fleet.sum(limitName(organisation(0))));
        };
        fleet.run(20s);
        admitted = 0;
        const TimePoint start = fleet.now();
        for (int change = 0; change < 40; ++change) {
            const std::size_t victim = random.below(hosts);
            if (random.below(2) == 0) {
                fleet.kill(victim);
            } else {
                fleet.start(victim);
            }
            const std::uint64_t views = random.number();
            fleet.setViews(
                [&](std::size_t observer, std::size_t subject) {
                    return fleet.isRunning(subject) && ((views >> ((observer + subject) % 64)) & 3U) != 0;
                },
                hosts);
            fleet.run(3s);
        }
        const double seconds = std::chrono::duration<double>(fleet.now() - start).count();
        worstRatio = std::max(worstRatio, static_cast<double>(admitted) / (rate * (seconds + 1)));
    }
    std::printf("limits-bound hosts=%zu seeds=5 highestSumOfShares=%.4f admittedOverLimitPlusBurst=%.4f\n",
                hosts,
                static_cast<double>(highest) / 1e6,
                worstRatio);
}

/// Each host serves `active` organisations, spread over all: control bytes and cost of a decision.
static void measureLoad(std::size_t hosts, std::size_t active)
{
    constexpr std::size_t organisations = 2200;
    ShareFleet fleet({.hosts = hosts, .limits = limitsFor(organisations, {100, 1e6, 100'000}), .packMessages = true});
    Random random(1);
    std::size_t decisions = 0;
    fleet.onStep = [&] {
        // Each active organisation sends one request a second to each host that serves it.
        for (std::size_t index = 0; index < hosts; ++index) {
            for (std::size_t slot = 0; slot < active; ++slot) {
                if (random.below(50) == 0) {
                    (void)tryOne(fleet, index, (index * 17 + slot * 31) % organisations);
                    ++decisions;
                }
            }
        }
    };
    fleet.run(10s);
    const std::vector<std::size_t> sentBefore = fleet.sentBytes;
    const std::vector<std::size_t> receivedBefore = fleet.receivedBytes;
    // Four renewals of the largest fleet.
    const double seconds = hosts <= 100 ? 20 : 60;
    fleet.run(hosts <= 100 ? Duration(20s) : Duration(60s));
    double sent = 0;
    double busiest = 0;
    for (std::size_t index = 0; index < hosts; ++index) {
        const double out = static_cast<double>(fleet.sentBytes[index] - sentBefore[index]) / seconds;
        const double in = static_cast<double>(fleet.receivedBytes[index] - receivedBefore[index]) / seconds;
        sent += out / static_cast<double>(hosts);
        busiest = std::max(busiest, out + in);
    }
    std::printf("limits-load hosts=%zu organisations=%zu activePerHost=%zu sentBytesPerSecond=%.0f "
                "busiestSentAndReceivedBytesPerSecond=%.0f\n",
                hosts,
                organisations,
                active,
                sent,
                busiest);
}

static void measureDecision()
{
    ShareFleet fleet({.hosts = 1, .limits = limitsFor(2200, wide)});
    fleet.run(10s);
    constexpr int decisions = 200'000;
    const std::clock_t before = std::clock();
    for (int decision = 0; decision < decisions; ++decision) {
        (void)tryOne(fleet, 0, static_cast<std::size_t>(decision) % 2200);
    }
    const double seconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    std::printf("limits-decision organisations=2200 microsecondsPerReserveAndSettle=%.3f\n", seconds / decisions * 1e6);
}

int main(int argumentCount, char **arguments)
{
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    for (int argument = 1; argument < argumentCount; ++argument) {
        const std::size_t hosts = std::strtoul(arguments[argument], nullptr, 10);
        measureLoad(hosts, 0);
        measureLoad(hosts, 40);
    }
    if (argumentCount > 1) {
        return 0;
    }
    measureDecision();
    for (const std::size_t hosts : {4, 50, 370}) {
        measureArrival(hosts);
    }
    for (const std::size_t hosts : {4, 12}) {
        measureBound(hosts);
    }
    for (const std::size_t hosts : {4, 25, 50, 100}) {
        measureLoad(hosts, 0);
        measureLoad(hosts, 20);
        measureLoad(hosts, 40);
    }
    return 0;
}

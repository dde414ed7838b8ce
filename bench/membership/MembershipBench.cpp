/// Measures the load and the quality of failure detection in virtual time, at several sizes of the fleet.
///
/// Usage: membershipBench [SIZE ...]. Each result is one line: `membership-<what> key=value ...`. Bytes are those of
/// the packed messages, without the headers of the transport. CPU time includes packing, unpacking and the model of
/// the network, so it bounds the cost of the slice from above.

#include "membership/tests/MembershipFleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

using namespace Carawaymill;

static double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

static double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct Traffic
{
    double meanSentBytes = 0;
    double meanSentMessages = 0;
    /// Sent and received together, of the busiest host.
    double mostBytes = 0;
};

/// Traffic per second and host over the next `duration`.
static Traffic measureTraffic(MembershipFleet &fleet, Duration duration)
{
    const std::vector<MembershipTraffic> sentBefore = fleet.sent;
    const std::vector<MembershipTraffic> receivedBefore = fleet.received;
    fleet.run(duration);
    Traffic traffic;
    const double hosts = static_cast<double>(fleet.sent.size());
    for (std::size_t index = 0; index < fleet.sent.size(); ++index) {
        const double sent = static_cast<double>(fleet.sent[index].bytes - sentBefore[index].bytes);
        const double received = static_cast<double>(fleet.received[index].bytes - receivedBefore[index].bytes);
        const auto messages = static_cast<double>(fleet.sent[index].messages - sentBefore[index].messages);
        traffic.meanSentBytes += sent / seconds(duration) / hosts;
        traffic.meanSentMessages += messages / seconds(duration) / hosts;
        traffic.mostBytes = std::max(traffic.mostBytes, (sent + received) / seconds(duration));
    }
    return traffic;
}

static void printTraffic(const char *name, std::size_t hosts, const Traffic &traffic)
{
    std::printf("membership-traffic phase=%s hosts=%zu sentBytesPerSecond=%.0f sentMessagesPerSecond=%.2f "
                "busiestSentAndReceivedBytesPerSecond=%.0f\n",
                name,
                hosts,
                traffic.meanSentBytes,
                traffic.meanSentMessages,
                traffic.mostBytes);
}

static void measureSteady(std::size_t hosts)
{
    MembershipFleet fleet({.hosts = hosts, .seed = 1, .packMessages = true});
    fleet.run(30s);
    constexpr Duration duration = 60s;
    const double cpuBefore = cpuSeconds();
    printTraffic("steady", hosts, measureTraffic(fleet, duration));
    const double share = (cpuSeconds() - cpuBefore) / seconds(duration) / static_cast<double>(hosts);
    std::printf("membership-cpu hosts=%zu percentOfCorePerHost=%.4f\n", hosts, share * 100);
}

/// A host fails at the rate of the target: 90 failures and restarts a day would be one in 16 minutes; here one in 20 s.
static void measureChurn(std::size_t hosts)
{
    MembershipFleet fleet({.hosts = hosts, .seed = 2, .packMessages = true});
    fleet.run(30s);
    Random random(3);
    Traffic sum;
    constexpr int rounds = 6;
    for (int round = 0; round < rounds; ++round) {
        const std::size_t victim = random.below(hosts);
        fleet.kill(victim);
        const Traffic down = measureTraffic(fleet, 10s);
        fleet.start(victim, IncarnationNumber(1'790'000'100 + round));
        const Traffic back = measureTraffic(fleet, 10s);
        sum.meanSentBytes += (down.meanSentBytes + back.meanSentBytes) / (2 * rounds);
        sum.meanSentMessages += (down.meanSentMessages + back.meanSentMessages) / (2 * rounds);
        sum.mostBytes = std::max({sum.mostBytes, down.mostBytes, back.mostBytes});
    }
    printTraffic("churn", hosts, sum);
}

/// Waits until every other host has reported `victim` dead and appends how long each took.
static void collectDetection(MembershipFleet &fleet, std::size_t victim, std::vector<double> &times)
{
    std::vector<std::size_t> seen;
    for (const auto &changes : fleet.changes) {
        seen.push_back(changes.size());
    }
    std::size_t detected = 0;
    Duration elapsed{};
    fleet.runUntil(
        [&] {
            elapsed += 20ms;
            for (std::size_t observer = 0; observer < fleet.changes.size(); ++observer) {
                for (; seen[observer] < fleet.changes[observer].size(); ++seen[observer]) {
                    const MemberChanged &change = fleet.changes[observer][seen[observer]];
                    if (change.host == MembershipFleet::host(victim) && change.state == MemberState::Dead) {
                        times.push_back(seconds(elapsed));
                        ++detected;
                    }
                }
            }
            return detected + 1 >= fleet.changes.size();
        },
        120s);
}

static double percentile(const std::vector<double> &sorted, double fraction)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

static void measureDetection(std::size_t hosts)
{
    MembershipFleet fleet({.hosts = hosts, .seed = 4, .lossRate = 0.01});
    Random random(5);
    fleet.run(10s);
    std::vector<double> times;
    constexpr int failures = 20;
    for (int failure = 0; failure < failures; ++failure) {
        const std::size_t victim = random.below(hosts);
        fleet.kill(victim);
        collectDetection(fleet, victim, times);
        fleet.start(victim, IncarnationNumber(1'790'000'100 + failure));
        fleet.run(20s);
    }
    std::sort(times.begin(), times.end());
    std::printf("membership-detection hosts=%zu loss=0.01 failures=%d missed=%zu p50=%.2f p95=%.2f p99=%.2f max=%.2f\n",
                hosts,
                failures,
                failures * (hosts - 1) - times.size(),
                percentile(times, 0.50),
                percentile(times, 0.95),
                percentile(times, 0.99),
                percentile(times, 1.0));
}

static void measureFalsePositives(std::size_t hosts)
{
    MembershipFleet fleet({.hosts = hosts, .seed = 6, .lossRate = 0.01});
    const Duration duration = hosts <= 100 ? 20min : 5min;
    fleet.run(duration);
    std::size_t dead = 0;
    std::size_t suspect = 0;
    for (const auto &changes : fleet.changes) {
        for (const MemberChanged &change : changes) {
            dead += change.state == MemberState::Dead ? 1 : 0;
            suspect += change.state == MemberState::Suspect ? 1 : 0;
        }
    }
    std::printf("membership-false hosts=%zu loss=0.01 hostHours=%.1f suspicionsSeen=%zu deathsSeen=%zu\n",
                hosts,
                seconds(duration) / 3600 * static_cast<double>(hosts),
                suspect,
                dead);
}

/// Half of the fleet loses the other half and finds it again.
static void measurePartition(std::size_t hosts)
{
    MembershipFleet fleet({.hosts = hosts, .seed = 7, .packMessages = true});
    fleet.run(30s);
    fleet.isCut = [hosts](std::size_t from, std::size_t to) { return (from < hosts / 2) != (to < hosts / 2); };
    printTraffic("parting", hosts, measureTraffic(fleet, 30s));
    fleet.run(2min);
    printTraffic("parted", hosts, measureTraffic(fleet, 30s));
    const std::size_t living = fleet.at(0).aliveHosts().size();
    fleet.isCut = nullptr;
    printTraffic("healing", hosts, measureTraffic(fleet, 10s));
    const auto healed = fleet.runUntil([&] { return fleet.allSeeAllAlive(); }, 10min);
    std::printf("membership-heal hosts=%zu aliveWhileParted=%zu secondsUntilAllSeeAll=%.1f\n",
                hosts,
                living,
                healed ? seconds(*healed) + 10 : -1);
}

int main(int argumentCount, char **arguments)
{
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    std::vector<std::size_t> sizes;
    for (int argument = 1; argument < argumentCount; ++argument) {
        sizes.push_back(std::strtoul(arguments[argument], nullptr, 10));
    }
    if (sizes.empty()) {
        sizes = {4, 50, 100, 200, 370};
    }
    for (const std::size_t hosts : sizes) {
        measureSteady(hosts);
        measureChurn(hosts);
        measureDetection(hosts);
        measureFalsePositives(hosts);
        measurePartition(hosts);
    }
    return 0;
}

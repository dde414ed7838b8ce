#include "node/tests/StoreAndHosts.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>

using namespace Carawaymill;

/// From a change of the store until the host has applied it, beside the rule's bound: two steps of the simulation.
static constexpr Duration step = 20ms;

/// Two hosts of one failure domain, of which one relays the watches of the other.
static StoreAndHosts domainOfTwo(const PropagationBounds &bounds)
{
    StoreAndHosts fleet({.sameDomain = true, .bounds = bounds});
    fleet.write("op/config", "1");
    fleet.write("servers/a", "a:1");
    fleet.write("servers/b", "b:1");
    fleet.write("servers/c", "c:1");
    fleet.advance(6s);
    return fleet;
}

static const std::array<std::function<void(StoreAndHosts &, std::size_t)>, 2> outages = {
    [](StoreAndHosts &fleet, std::size_t host) { fleet.setCut(host, true); },
    [](StoreAndHosts &fleet, std::size_t host) { fleet.setFrozen(host, true); },
};

/// Guards against requests to a target that has left: the host that relays the watches of its failure domain was cut
/// off from the service and reported an outdated directory as current for longer than a leaving target runs requests.
TEST_CASE("a host unlists a leaving target in time although the host that relays its watches is cut off or frozen")
{
    for (const Duration drainPeriod : {2s, 3s, 4s}) {
        for (std::size_t victim = 0; victim < 2; ++victim) {
            for (const auto &begin : outages) {
                for (Duration offset = 0ms; offset < 2500ms; offset += 60ms) {
                    CAPTURE(drainPeriod.count());
                    CAPTURE(victim);
                    CAPTURE(offset.count());
                    StoreAndHosts fleet = domainOfTwo({.drainPeriod = drainPeriod});
                    fleet.advance(offset);
                    fleet.remove("servers/b");
                    fleet.advance(step);
                    begin(fleet, victim);
                    fleet.advance(100ms);
                    fleet.remove("servers/c");
                    fleet.advance(drainPeriod - step);
                    CHECK(fleet.lists(1 - victim, 1));
                }
            }
        }
    }
}

/// The same for the configuration, which must be in force on all hosts within its bound.
TEST_CASE("a host applies a configuration in time although the host that relays its watches is cut off or frozen")
{
    for (const Duration applyPeriod : {2s, 3s, 4s}) {
        for (std::size_t victim = 0; victim < 2; ++victim) {
            for (const auto &begin : outages) {
                for (Duration offset = 0ms; offset < 2500ms; offset += 60ms) {
                    CAPTURE(applyPeriod.count());
                    CAPTURE(victim);
                    CAPTURE(offset.count());
                    StoreAndHosts fleet = domainOfTwo({.configurationApplyPeriod = applyPeriod});
                    fleet.advance(offset);
                    begin(fleet, victim);
                    fleet.advance(100ms);
                    fleet.write("op/config", "2");
                    fleet.advance(applyPeriod - step);
                    CHECK(fleet.shows(1 - victim, "configuration_version 2"));
                }
            }
        }
    }
}

TEST_CASE("a host sends few watches to the service while another one relays them")
{
    for (const Duration period : {2s, 3s, 4s}) {
        CAPTURE(period.count());
        StoreAndHosts fleet = domainOfTwo({.drainPeriod = period, .configurationApplyPeriod = period});
        const std::array before = {fleet.watches(0), fleet.watches(1)};
        fleet.advance(60s);
        const auto [fewer, more] = std::minmax({fleet.watches(0) - before[0], fleet.watches(1) - before[1]});
        // One of the two hosts watches both ranges and the register of hosts.
        CHECK(more >= 100);
        CHECK(fewer * 20 <= more);
    }
}

/// Begins the outage at the collector of a domain, and checks the calls of the other hosts in the 6 s that follow.
static void checkLossOfCollector(const std::function<void(StoreAndHosts &, std::size_t)> &begin)
{
    constexpr std::size_t hosts = 12;
    StoreAndHosts fleet(
        {.hosts = hosts, .sameDomain = true, .bounds = {.drainPeriod = 3s, .configurationApplyPeriod = 3s}});
    fleet.write("op/config", "1");
    fleet.advance(6s);
    const auto watches = [&] {
        std::vector<std::size_t> counts;
        for (std::size_t host = 0; host < hosts; ++host) {
            counts.push_back(fleet.watches(host));
        }
        return counts;
    };
    const std::vector<std::size_t> before = watches();
    fleet.advance(4s);
    std::vector<std::size_t> after = watches();
    std::size_t collector = 0;
    for (std::size_t host = 0; host < hosts; ++host) {
        collector = after[host] - before[host] > after[collector] - before[collector] ? host : collector;
    }
    begin(fleet, collector);
    fleet.advance(6s);
    const std::vector<std::size_t> end = watches();
    std::size_t others = 0;
    std::size_t most = 0;
    for (std::size_t host = 0; host < hosts; ++host) {
        others += host == collector ? 0 : end[host] - after[host];
        most = host == collector ? most : std::max(most, end[host] - after[host]);
    }
    CAPTURE(others);
    // Each of the other ten hosts asks the service less often than once in the 6 s.
    CHECK(others - most < 10);
    fleet.write("op/config", "2");
    fleet.advance(3s - step);
    CHECK(fleet.shows(collector == 0 ? 1 : 0, "configuration_version 2"));
}

/// Both guard against the loss of a collector costing the calls of its whole domain: 32 hosts made 600 calls in 2 s.
TEST_CASE("few hosts of a domain send watches to the service after its collector freezes")
{
    checkLossOfCollector(outages[1]);
}

TEST_CASE("few hosts of a domain send watches to the service after its collector is cut off from the service")
{
    checkLossOfCollector(outages[0]);
}

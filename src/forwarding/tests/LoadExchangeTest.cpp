#include "forwarding/LoadExchange.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Carawaymill;

static const TargetId target("t");
static const TimePoint start{1h};

static LoadDigest digest(double layers)
{
    return {{target, {.openLayers = layers, .cacheLayerTokens = 10 * layers}}};
}

static LoadExchangePeer peer(const std::string &domain, const std::string &host)
{
    return {.host = HostId(domain + host), .failureDomain = FailureDomainId(domain)};
}

static LoadExchange exchange(const LoadExchangePeer &self)
{
    return LoadExchange({.self = self.host, .failureDomain = self.failureDomain});
}

TEST_CASE("a digest is unchanged after encoding and decoding and malformed JSON is rejected")
{
    const auto read = readLoadDigest(toJson(digest(3)));
    REQUIRE(std::holds_alternative<LoadDigest>(read));
    CHECK(std::get<LoadDigest>(read).at(target).cacheLayerTokens == 30);
    CHECK(std::holds_alternative<DecodeFailure>(readLoadDigest({1, 2})));
}

TEST_CASE("loads of other hosts are summed and the load of an unresponsive host expires")
{
    LoadExchange loads = exchange(peer("a", "1"));
    loads.recordDigest(peer("a", "2"), digest(3), start);
    loads.recordDigest(peer("b", "1"), digest(4), start + 2s);
    const auto sums = [&](TimePoint now) { return loads.otherHostsLoad({}, {}, now).sums; };
    CHECK(sums(start + 2s).at(target).openLayers == 7);
    CHECK(sums(start + 4s).at(target).cacheLayerTokens == 40);
    CHECK(sums(start + 6s).at(target).openLayers == 0);
}

TEST_CASE("the load of another domain counts once when another of its hosts sends the sum")
{
    LoadExchange loads = exchange(peer("a", "1"));
    loads.recordDigest(peer("b", "1"), digest(4), start);
    loads.recordDigest(peer("b", "2"), digest(5), start);
    CHECK(loads.otherHostsLoad({}, {}, start).sums.at(target).openLayers == 5);
}

TEST_CASE("the own digest goes to the own domain and the sum of the domain to a partner in each other domain")
{
    const std::vector<LoadExchangePeer> peers = {peer("a", "2"), peer("b", "1"), peer("b", "2"), peer("c", "1")};
    LoadExchange loads = exchange(peer("a", "1"));
    loads.recordDigest(peer("a", "2"), digest(3), start);
    loads.recordDigest(peer("b", "1"), digest(50), start);
    const auto sent = loads.digestsDue(digest(1), peers, start);
    REQUIRE(sent.size() == 2);
    CHECK(sent.front().to == std::vector{HostId("a2")});
    CHECK(sent.front().digest.at(target).openLayers == 1);
    CHECK(sent.back().to == std::vector{HostId("b1"), HostId("c1")});
    CHECK(sent.back().digest.at(target).openLayers == 4);
}

TEST_CASE("a host that knows little of its domain sends no sum in place of a complete one")
{
    std::vector<LoadExchangePeer> peers = {peer("b", "1")};
    LoadExchange loads = exchange(peer("a", "1"));
    for (const char *host : {"2", "3", "4", "5"}) {
        peers.push_back(peer("a", host));
    }
    loads.recordDigest(peer("a", "2"), digest(3), start);
    loads.recordDigest(peer("a", "3"), digest(3), start);
    CHECK(loads.digestsDue(digest(1), peers, start).size() == 1);
    loads.recordDigest(peer("a", "4"), digest(3), start);
    CHECK(loads.digestsDue(digest(1), peers, start + 20ms).size() == 1);
}

// After a restart of all hosts each one took the others for idle, and all chose the same few targets.
TEST_CASE("hosts without a digest are expected to have the mean load of the known ones and to leave the KV cache free")
{
    const std::vector<LoadExchangePeer> peers = {peer("a", "2"), peer("a", "3"), peer("b", "1"), peer("b", "2")};
    LoadExchange loads = exchange(peer("a", "1"));
    const OtherHostsLoad alone = loads.otherHostsLoad(digest(2), peers, start);
    CHECK(alone.estimatedHosts == 4);
    CHECK(alone.sums.at(target).openLayers == 8);
    CHECK(alone.sums.at(target).cacheLayerTokens == 0);
    loads.recordDigest(peer("a", "2"), digest(4), start);
    loads.recordDigest(peer("b", "2"), digest(10), start);
    // Only a3 is unknown: the mean of a1 and a2 stands in for it.
    const OtherHostsLoad known = loads.otherHostsLoad(digest(2), peers, start);
    CHECK(known.estimatedHosts == 1);
    CHECK(known.sums.at(target).openLayers == 4 + 10 + 3);
}

/// Hosts of several failure domains whose digests arrive at once.
class ExchangingFleet
{
public:
    /// Each host has streams on `usedTargets` targets, which differ from host to host.
    ExchangingFleet(std::size_t domains, std::size_t hostsPerDomain, std::size_t targets, std::size_t usedTargets)
    {
        for (std::size_t domain = 0; domain < domains; ++domain) {
            for (std::size_t number = 1; number <= hostsPerDomain; ++number) {
                const LoadExchangePeer host =
                    peer(std::string(1, static_cast<char>('a' + domain)), std::to_string(number));
                LoadDigest own;
                for (std::size_t used = 0; used < usedTargets; ++used) {
                    const std::size_t position = (m_hosts.size() * usedTargets + used) % targets;
                    own[TargetId("target-" + std::to_string(position))] = {.openLayers = 10, .cacheLayerTokens = 9000};
                }
                m_hosts.push_back(host);
                m_own.emplace(host.host, std::move(own));
                m_exchanges.emplace(host.host, exchange(host));
            }
        }
    }

    void tick(TimePoint now)
    {
        for (const LoadExchangePeer &host : m_hosts) {
            std::vector<LoadExchangePeer> peers = m_hosts;
            std::erase_if(peers, [&](const LoadExchangePeer &other) { return other.host == host.host; });
            for (const SendLoadDigest &send : m_exchanges.at(host.host).digestsDue(m_own.at(host.host), peers, now)) {
                for (const HostId &to : send.to) {
                    if (!m_stopped.contains(host.host) && !m_stopped.contains(to)) {
                        m_exchanges.at(to).recordDigest(host, send.digest, now);
                    }
                }
            }
        }
    }

    /// Number of hosts that do not know the load of all others exactly.
    [[nodiscard]] std::size_t hostsWithoutAllLoads(TimePoint now)
    {
        LoadDigest total;
        for (const auto &[host, own] : m_own) {
            add(own, 1, total);
        }
        return static_cast<std::size_t>(std::ranges::count_if(m_hosts, [&](const LoadExchangePeer &host) {
            LoadDigest unknown = total;
            add(m_own.at(host.host), -1, unknown);
            add(m_exchanges.at(host.host).otherHostsLoad({}, {}, now).sums, -1, unknown);
            return !m_stopped.contains(host.host)
                   && std::ranges::any_of(unknown, [](const auto &entry) { return entry.second.openLayers != 0; });
        }));
    }

    /// The host sends and receives nothing from now on; the others have not noticed.
    void stop(const LoadExchangePeer &host) { m_stopped.insert(host.host); }

    /// Whether every running host has a valid sum of the load of the other domains.
    [[nodiscard]] bool knowOtherDomains(TimePoint now)
    {
        return std::ranges::all_of(m_hosts, [&](const LoadExchangePeer &host) {
            std::vector<LoadExchangePeer> others = m_hosts;
            std::erase_if(others, [&](const auto &other) { return other.failureDomain == host.failureDomain; });
            return m_stopped.contains(host.host)
                   || m_exchanges.at(host.host).otherHostsLoad({}, others, now).estimatedHosts == 0;
        });
    }

private:
    static void add(const LoadDigest &digest, double factor, LoadDigest &sum)
    {
        for (const auto &[id, load] : digest) {
            sum[id].openLayers += factor * load.openLayers;
        }
    }

    std::vector<LoadExchangePeer> m_hosts;
    std::map<HostId, LoadDigest> m_own;
    std::map<HostId, LoadExchange> m_exchanges;
    std::set<HostId> m_stopped;
};

TEST_CASE("each of 24 hosts has received the load of all others within a second")
{
    ExchangingFleet fleet(3, 8, 98, 98);
    TimePoint now = start;
    for (; now < start + 1s; now += 100ms) {
        fleet.tick(now);
    }
    // Loads that are sent repeatedly do not expire.
    for (; now < start + 20s; now += 100ms) {
        fleet.tick(now);
        CHECK(fleet.hostsWithoutAllLoads(now) == 0);
    }
}

TEST_CASE("each of 120 hosts knows the load of all others at all times")
{
    ExchangingFleet fleet(5, 24, 216, 40);
    TimePoint now = start;
    for (; now < start + 5s; now += 100ms) {
        fleet.tick(now);
    }
    std::size_t without = 0;
    for (; now < start + 20s; now += 100ms) {
        fleet.tick(now);
        without = std::max(without, fleet.hostsWithoutAllLoads(now));
    }
    CHECK(without == 0);
}

TEST_CASE("the loss of a host in each domain leaves no other host without the sums of the other domains")
{
    ExchangingFleet fleet(5, 24, 216, 40);
    for (const char *domain : {"a", "b", "c", "d", "e"}) {
        fleet.stop(peer(domain, "7"));
    }
    TimePoint now = start;
    for (; now < start + 3s; now += 100ms) {
        fleet.tick(now);
    }
    for (; now < start + 10s; now += 100ms) {
        fleet.tick(now);
        CHECK(fleet.knowOtherDomains(now));
    }
}

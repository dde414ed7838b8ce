#include "forwarding/LoadExchange.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
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
    CHECK(loads.sums(start + 2s).at(target).openLayers == 7);
    CHECK(loads.sums(start + 4s).at(target).cacheLayerTokens == 40);
    CHECK(loads.sums(start + 6s).at(target).openLayers == 0);
}

TEST_CASE("the load of another domain counts once when its collector changes")
{
    LoadExchange loads = exchange(peer("a", "1"));
    loads.recordDigest(peer("b", "1"), digest(4), start);
    loads.recordDigest(peer("b", "2"), digest(5), start);
    CHECK(loads.sums(start).at(target).openLayers == 5);
}

TEST_CASE("only the collector sends digests to other domains and sends the sum of its own domain")
{
    const std::vector<LoadExchangePeer> peers = {peer("a", "2"), peer("b", "1")};
    LoadExchange loads = exchange(peer("a", "1"));
    loads.recordDigest(peer("a", "2"), digest(3), start);
    loads.recordDigest(peer("b", "1"), digest(50), start);
    const auto asMember = loads.digestsDue(digest(1), peers, HostId("a2"), start);
    REQUIRE(asMember.size() == 1);
    CHECK(asMember.front().to == std::vector{HostId("a2")});
    CHECK(asMember.front().digest.at(target).openLayers == 1);
    const auto asCollector = loads.digestsDue(digest(1), peers, HostId("a1"), start);
    REQUIRE(asCollector.size() == 1);
    CHECK(asCollector.front().to == std::vector{HostId("b1")});
    CHECK(asCollector.front().digest.at(target).openLayers == 4);
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
            const HostId collector(host.failureDomain.value() + "1");
            for (const SendLoadDigest &send :
                 m_exchanges.at(host.host).digestsDue(m_own.at(host.host), peers, collector, now)) {
                for (const HostId &to : send.to) {
                    m_exchanges.at(to).recordDigest(host, send.digest, now);
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
            add(m_exchanges.at(host.host).sums(now), -1, unknown);
            return std::ranges::any_of(unknown, [](const auto &entry) { return entry.second.openLayers != 0; });
        }));
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

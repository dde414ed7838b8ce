#include "forwarding/LoadExchange.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

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

/// 24 hosts in three failure domains, each of which has streams on all 98 targets.
TEST_CASE("each of 24 hosts has received the load of all others within a second")
{
    const std::vector<std::string> domains = {"a", "b", "c"};
    std::vector<LoadExchangePeer> hosts;
    for (const std::string &domain : domains) {
        for (int host = 1; host <= 8; ++host) {
            hosts.push_back(peer(domain, std::to_string(host)));
        }
    }
    LoadDigest own;
    for (int number = 0; number < 98; ++number) {
        own[TargetId("target-" + std::to_string(number))] = {.openLayers = 10, .cacheLayerTokens = 9000};
    }
    std::map<HostId, LoadExchange> exchanges;
    for (const LoadExchangePeer &host : hosts) {
        exchanges.emplace(host.host, exchange(host));
    }
    const auto tick = [&](TimePoint now) {
        for (const LoadExchangePeer &host : hosts) {
            std::vector<LoadExchangePeer> peers = hosts;
            std::erase_if(peers, [&](const LoadExchangePeer &other) { return other.host == host.host; });
            const HostId collector(host.failureDomain.value() + "1");
            for (const SendLoadDigest &send : exchanges.at(host.host).digestsDue(own, peers, collector, now)) {
                for (const HostId &to : send.to) {
                    exchanges.at(to).recordDigest(host, send.digest, now);
                }
            }
        }
    };
    TimePoint now = start;
    for (; now < start + 1s; now += 100ms) {
        tick(now);
    }
    // Loads that are sent repeatedly do not expire.
    for (; now < start + 20s; now += 100ms) {
        tick(now);
        for (const LoadExchangePeer &host : hosts) {
            const LoadDigest sums = exchanges.at(host.host).sums(now);
            CHECK(sums.size() == own.size());
            CHECK(sums.begin()->second.openLayers == 230);
        }
    }
}

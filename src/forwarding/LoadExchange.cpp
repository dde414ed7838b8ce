#include "forwarding/LoadExchange.h"

#include <algorithm>
#include <iterator>

namespace Carawaymill {

/// A host whose last digest is older has terminated, and its streams with it, or is disconnected and will be counted
/// again when its digests arrive.
static constexpr Duration digestLifetime = 3s;
/// Number of hosts that send a domain's sum to the same host of another domain, in turn. If one of them is lost, the
/// next sum arrives before the last one has expired.
static constexpr std::size_t sendersPerHost = 2;
/// A host that knows a smaller part of its domain than this sends no sum: it has just started, or is disconnected, and
/// its sum would replace a complete one.
static constexpr double completeSumShare = 0.75;
/// Approximate sizes of a digest's entries and of its frame.
static constexpr std::size_t entryBytes = 20;
static constexpr std::size_t frameBytes = 80;

static void add(LoadDigest &sums, const LoadDigest &digest)
{
    for (const auto &[target, load] : digest) {
        sums[target].openLayers += load.openLayers;
        sums[target].cacheLayerTokens += load.cacheLayerTokens;
        sums[target].unreadLayerTokens += load.unreadLayerTokens;
    }
}

void LoadExchange::dropExpired(TimePoint now)
{
    const auto isExpired = [&](const auto &entry) { return now - entry.second.at > digestLifetime; };
    std::erase_if(m_hosts, isExpired);
    std::erase_if(m_domains, isExpired);
}

Duration LoadExchange::sendInterval(const SendLoadDigest &digest, Duration minimum) const
{
    const std::size_t bytes = digest.to.size() * (digest.digest.size() * entryBytes + frameBytes);
    const std::chrono::duration<double> rateLimited(static_cast<double>(bytes) / m_options.bytesPerSecond);
    return std::max(minimum, std::chrono::duration_cast<Duration>(rateLimited));
}

std::vector<HostId> LoadExchange::partners(const std::vector<LoadExchangePeer> &peers) const
{
    std::set<HostId> ownDomain{m_options.self};
    std::map<FailureDomainId, std::set<HostId>> otherDomains;
    for (const LoadExchangePeer &peer : peers) {
        (peer.failureDomain == m_options.failureDomain ? ownDomain : otherDomains[peer.failureDomain])
            .insert(peer.host);
    }
    const auto position = std::distance(ownDomain.begin(), ownDomain.find(m_options.self));
    const std::size_t sender = (static_cast<std::size_t>(position) + m_domainRound % sendersPerHost) % ownDomain.size();
    std::vector<HostId> partners;
    for (const auto &[domain, hosts] : otherDomains) {
        std::size_t number = 0;
        for (const HostId &host : hosts) {
            if (number % ownDomain.size() == sender) {
                partners.push_back(host);
            }
            ++number;
        }
    }
    return partners;
}

LoadDigest LoadExchange::domainSum(const LoadDigest &own) const
{
    LoadDigest sum = own;
    for (const auto &[host, received] : m_hosts) {
        add(sum, received.digest);
    }
    return sum;
}

double LoadExchange::knownShare(const std::vector<LoadExchangePeer> &peers) const
{
    const auto others = std::ranges::count_if(
        peers, [&](const LoadExchangePeer &peer) { return peer.failureDomain == m_options.failureDomain; });
    return others == 0 ? 1 : static_cast<double>(m_hosts.size()) / static_cast<double>(others);
}

std::vector<SendLoadDigest>
LoadExchange::digestsDue(const LoadDigest &own, const std::vector<LoadExchangePeer> &peers, TimePoint now)
{
    dropExpired(now);
    std::vector<SendLoadDigest> digests;
    if (now >= m_nextOwn) {
        SendLoadDigest &digest = digests.emplace_back(SendLoadDigest{.to = {}, .digest = own});
        for (const LoadExchangePeer &peer : peers) {
            if (peer.failureDomain == m_options.failureDomain) {
                digest.to.push_back(peer.host);
            }
        }
        m_nextOwn = now + sendInterval(digest, m_options.minimumInterval);
    }
    if (now >= m_nextDomain && knownShare(peers) >= completeSumShare) {
        digests.push_back({.to = partners(peers), .digest = domainSum(own)});
        // A sum that lacks hosts is replaced soon, at the same hosts.
        const bool isComplete = knownShare(peers) >= 1;
        const Duration interval = isComplete ? m_options.minimumDomainInterval : m_options.minimumInterval;
        m_nextDomain = now + sendInterval(digests.back(), interval);
        m_domainRound += isComplete ? 1 : 0;
    }
    return digests;
}

void LoadExchange::recordDigest(const LoadExchangePeer &peer, LoadDigest digest, TimePoint now)
{
    ReceivedDigest received{.digest = std::move(digest), .at = now};
    if (peer.failureDomain == m_options.failureDomain) {
        m_hosts.insert_or_assign(peer.host, std::move(received));
    } else {
        m_domains.insert_or_assign(peer.failureDomain, std::move(received));
    }
}

OtherHostsLoad
LoadExchange::otherHostsLoad(const LoadDigest &own, const std::vector<LoadExchangePeer> &peers, TimePoint now)
{
    dropExpired(now);
    OtherHostsLoad load;
    for (const LoadExchangePeer &peer : peers) {
        const bool isKnown = peer.failureDomain == m_options.failureDomain ? m_hosts.contains(peer.host)
                                                                           : m_domains.contains(peer.failureDomain);
        load.estimatedHosts += isKnown ? 0 : 1;
    }
    if (load.estimatedHosts > 0) {
        const auto knownHosts = static_cast<double>(m_hosts.size() + 1);
        const double factor = static_cast<double>(load.estimatedHosts) / knownHosts;
        for (const auto &[target, known] : domainSum(own)) {
            load.sums[target].openLayers = known.openLayers * factor;
        }
    }
    for (const auto &[host, received] : m_hosts) {
        add(load.sums, received.digest);
    }
    for (const auto &[domain, received] : m_domains) {
        add(load.sums, received.digest);
    }
    std::set<TargetId> summed;
    for (const auto &[target, sum] : load.sums) {
        summed.insert(target);
    }
    for (const TargetId &target : m_summed) {
        load.sums.try_emplace(target);
    }
    m_summed = std::move(summed);
    return load;
}

} // namespace Carawaymill

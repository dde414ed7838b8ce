#include "forwarding/LoadExchange.h"

#include <algorithm>

namespace Carawaymill {

/// A host whose last digest is older has terminated, and its streams with it, or is disconnected and will be counted
/// again when its digests arrive.
static constexpr Duration digestLifetime = 3s;
/// Approximate sizes of a digest's entries and of its frame.
static constexpr std::size_t entryBytes = 20;
static constexpr std::size_t frameBytes = 80;

static void add(LoadDigest &sums, const LoadDigest &digest)
{
    for (const auto &[target, load] : digest) {
        sums[target].openLayers += load.openLayers;
        sums[target].cacheLayerTokens += load.cacheLayerTokens;
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

std::vector<SendLoadDigest> LoadExchange::digestsDue(const LoadDigest &own,
                                                     const std::vector<LoadExchangePeer> &peers,
                                                     const HostId &collector,
                                                     TimePoint now)
{
    dropExpired(now);
    std::vector<SendLoadDigest> digests;
    const auto hosts = [&](bool inOwnDomain) {
        std::vector<HostId> found;
        for (const LoadExchangePeer &peer : peers) {
            if ((peer.failureDomain == m_options.failureDomain) == inOwnDomain) {
                found.push_back(peer.host);
            }
        }
        return found;
    };
    if (now >= m_nextOwn) {
        digests.push_back({.to = hosts(true), .digest = own});
        m_nextOwn = now + sendInterval(digests.back(), m_options.minimumInterval);
    }
    if (now >= m_nextDomain && collector == m_options.self) {
        LoadDigest sum = own;
        for (const auto &[host, received] : m_hosts) {
            add(sum, received.digest);
        }
        digests.push_back({.to = hosts(false), .digest = std::move(sum)});
        m_nextDomain = now + sendInterval(digests.back(), m_options.minimumDomainInterval);
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

LoadDigest LoadExchange::sums(TimePoint now)
{
    dropExpired(now);
    LoadDigest sums;
    for (const auto &[host, received] : m_hosts) {
        add(sums, received.digest);
    }
    for (const auto &[domain, received] : m_domains) {
        add(sums, received.digest);
    }
    std::set<TargetId> summed;
    for (const auto &[target, load] : sums) {
        summed.insert(target);
    }
    for (const TargetId &target : m_summed) {
        sums.try_emplace(target);
    }
    m_summed = std::move(summed);
    return sums;
}

} // namespace Carawaymill

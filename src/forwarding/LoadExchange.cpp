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

void LoadExchange::dropOld(TimePoint now)
{
    const auto isOld = [&](const auto &entry) { return now - entry.second.at > digestLifetime; };
    std::erase_if(m_hosts, isOld);
    std::erase_if(m_domains, isOld);
}

Duration LoadExchange::pause(const SendLoadDigest &digest, Duration least) const
{
    const std::size_t bytes = digest.to.size() * (digest.digest.size() * entryBytes + frameBytes);
    const std::chrono::duration<double> affordable(static_cast<double>(bytes) / m_options.bytesPerSecond);
    return std::max(least, std::chrono::duration_cast<Duration>(affordable));
}

std::vector<SendLoadDigest> LoadExchange::digestsDue(const LoadDigest &own,
                                                     const std::vector<LoadExchangePeer> &peers,
                                                     const HostId &collector,
                                                     TimePoint now)
{
    dropOld(now);
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
        m_nextOwn = now + pause(digests.back(), m_options.minimumInterval);
    }
    if (now >= m_nextDomain && collector == m_options.self) {
        LoadDigest sum = own;
        for (const auto &[host, told] : m_hosts) {
            add(sum, told.digest);
        }
        digests.push_back({.to = hosts(false), .digest = std::move(sum)});
        m_nextDomain = now + pause(digests.back(), m_options.minimumDomainInterval);
    }
    return digests;
}

void LoadExchange::recordDigest(const LoadExchangePeer &peer, LoadDigest digest, TimePoint now)
{
    Told told{.digest = std::move(digest), .at = now};
    if (peer.failureDomain == m_options.failureDomain) {
        m_hosts.insert_or_assign(peer.host, std::move(told));
    } else {
        m_domains.insert_or_assign(peer.failureDomain, std::move(told));
    }
}

LoadDigest LoadExchange::sums(TimePoint now)
{
    dropOld(now);
    LoadDigest sums;
    for (const auto &[host, told] : m_hosts) {
        add(sums, told.digest);
    }
    for (const auto &[domain, told] : m_domains) {
        add(sums, told.digest);
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

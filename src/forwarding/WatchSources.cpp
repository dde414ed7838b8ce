#include "forwarding/WatchSources.h"

#include "support/Hash.h"

#include <algorithm>
#include <functional>

namespace Carawaymill {

static const char *reasonName(WatchSourceReason reason)
{
    switch (reason) {
    case WatchSourceReason::Ranked:
        return "ranked";
    case WatchSourceReason::Skipped:
        return "skipped";
    case WatchSourceReason::Failed:
        return "failed";
    case WatchSourceReason::Age:
        break;
    }
    return "age";
}

bool WatchSources::setHosts(const std::vector<HostId> &hosts)
{
    if (hosts == m_hosts) {
        return false;
    }
    m_hosts = hosts;
    const HostId before = collector();
    std::vector<std::pair<std::uint64_t, HostId>> ranks;
    ranks.reserve(hosts.size());
    for (const HostId &host : hosts) {
        ranks.emplace_back(stableHash(m_options.failureDomain.value(), stableHash(host.value())), host);
    }
    std::ranges::sort(ranks, std::greater());
    m_ranked.clear();
    for (auto &[rank, host] : ranks) {
        m_ranked.push_back(std::move(host));
    }
    return collector() != before;
}

WatchSource WatchSources::choose(RelayedRange range,
                                 std::size_t failures,
                                 TimePoint now,
                                 const std::optional<HostId> &excluded) const
{
    WatchSource source;
    for (const HostId &host : m_ranked) {
        if (host == m_options.self) {
            break;
        }
        if (host == excluded || isSkipped(host, range, now)) {
            source.reason = WatchSourceReason::Skipped;
        } else if (failures >= m_options.maximumFailures) {
            source.reason = WatchSourceReason::Failed;
            break;
        } else {
            source.host = host;
            break;
        }
    }
    return source;
}

void WatchSources::skip(const HostId &host, RelayedRange range, TimePoint now)
{
    std::erase_if(m_skippedUntil, [&](const auto &entry) { return now >= entry.second; });
    m_skippedUntil[{host, range}] = now + m_options.skipPeriod;
}

void WatchSources::skip(const HostId &host, TimePoint now)
{
    for (const RelayedRange range : {RelayedRange::Configuration, RelayedRange::Directory, RelayedRange::Hosts}) {
        skip(host, range, now);
    }
}

bool WatchSources::isSkipped(const HostId &host, RelayedRange range, TimePoint now) const
{
    const auto skipped = m_skippedUntil.find({host, range});
    return skipped != m_skippedUntil.end() && now < skipped->second;
}

std::optional<std::string> WatchSources::recordSource(RelayedRange range, const WatchSource &source, TimePoint now)
{
    const auto logged = m_logged.find(range);
    if (logged != m_logged.end()
        && (logged->second.host == source.host || now < logged->second.at + m_options.logInterval)) {
        return std::nullopt;
    }
    m_logged.insert_or_assign(range, LoggedSource{.host = source.host, .at = now});
    return std::string("Relay: event=source range=") + rangeName(range)
           + " source=" + (source.host ? source.host->value() : "service") + " reason=" + reasonName(source.reason);
}

} // namespace Carawaymill

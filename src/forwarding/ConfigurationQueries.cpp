#include "forwarding/ConfigurationQueries.h"

#include <algorithm>

namespace Carawaymill {

/// First numbers are below 2^48, so that they never overflow.
static constexpr std::uint64_t firstNumberBound = std::uint64_t(1) << 48U;

ConfigurationQueries::ConfigurationQueries(ConfigurationQueriesOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_lastNumber(m_random.below(firstNumberBound))
    , m_transferTimeout(options.transferTimeout)
{
}

void ConfigurationQueries::setHosts(std::vector<HostId> hosts)
{
    m_hosts = std::move(hosts);
    for (std::size_t end = m_hosts.size(); end > 1; --end) {
        std::swap(m_hosts[end - 1], m_hosts[m_random.below(end)]);
    }
    m_nextHost = 0;
}

std::uint64_t ConfigurationQueries::recordSent(TimePoint now)
{
    while (!m_sent.empty() && now - m_sent.front().at > m_options.responseRetention) {
        m_sent.pop_front();
    }
    m_sent.push_back({.number = ++m_lastNumber, .at = now});
    return m_lastNumber;
}

std::vector<SendConfigurationMessage> ConfigurationQueries::nextRound(ConfigurationVersion held, TimePoint now)
{
    if (m_hosts.empty() || (m_lastRoundAt && now - *m_lastRoundAt < m_options.roundInterval)) {
        return {};
    }
    m_lastRoundAt = now;
    const ConfigurationRequest query{.number = recordSent(now), .version = held, .withValue = false};
    std::vector<SendConfigurationMessage> queries;
    for (std::size_t asked = 0; asked < std::min(m_options.hostsPerRound, m_hosts.size()); ++asked) {
        queries.push_back({.to = m_hosts[m_nextHost], .message = query});
        m_nextHost = (m_nextHost + 1) % m_hosts.size();
    }
    return queries;
}

std::optional<SendConfigurationMessage>
ConfigurationQueries::requestTransfer(const HostId &from, ConfigurationVersion held, TimePoint now)
{
    if (m_transferDeadline && now < *m_transferDeadline) {
        return std::nullopt;
    }
    m_transferDeadline = now + m_transferTimeout.next(m_random);
    return SendConfigurationMessage{
        .to = from, .message = ConfigurationRequest{.number = recordSent(now), .version = held, .withValue = true}};
}

void ConfigurationQueries::transferEnded()
{
    m_transferDeadline.reset();
    m_transferTimeout.reset();
}

std::optional<TimePoint> ConfigurationQueries::sentAt(std::uint64_t number, TimePoint now) const
{
    const auto sent = std::ranges::lower_bound(m_sent, number, {}, &Sent::number);
    if (sent == m_sent.end() || sent->number != number || now - sent->at > m_options.responseRetention) {
        return std::nullopt;
    }
    return sent->at;
}

} // namespace Carawaymill

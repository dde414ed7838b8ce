#include "http/CallerConnectionTable.h"

namespace Carawaymill {

/// Number of connections that hold most among which a stopped one is looked for. Bounds the cost of each decision.
static constexpr std::size_t consideredConnections = 16;

ListenerNumber CallerConnectionTable::addListener()
{
    m_lastListener = m_lastListener.next();
    return m_lastListener;
}

ConnectionNumber CallerConnectionTable::add(ListenerNumber listener, TimePoint now)
{
    m_lastConnection = m_lastConnection.next();
    const Connection connection{.listener = listener, .changedAt = now};
    m_connections.emplace(m_lastConnection, connection);
    enterIndexes(m_lastConnection, connection);
    return m_lastConnection;
}

void CallerConnectionTable::remove(ConnectionNumber connection)
{
    if (const auto removed = m_connections.extract(connection)) {
        leaveIndexes(connection, removed.mapped());
    }
}

void CallerConnectionTable::update(ConnectionNumber connection, ConnectionPhase phase, std::size_t bytes, TimePoint now)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    leaveIndexes(connection, found->second);
    found->second.phase = phase;
    found->second.bytes = bytes;
    found->second.changedAt = now;
    enterIndexes(connection, found->second);
}

void CallerConnectionTable::enterIndexes(ConnectionNumber number, const Connection &connection)
{
    m_held += connection.bytes;
    if (connection.phase == ConnectionPhase::Reading) {
        m_reading.emplace(connection.bytes, number);
        m_readingBytes += connection.bytes;
    }
    if (connection.phase == ConnectionPhase::Reading || connection.phase == ConnectionPhase::Unused) {
        m_replaceable[connection.listener].emplace(connection.changedAt, number);
    }
}

void CallerConnectionTable::leaveIndexes(ConnectionNumber number, const Connection &connection)
{
    m_held -= connection.bytes;
    if (m_reading.erase({connection.bytes, number}) > 0) {
        m_readingBytes -= connection.bytes;
    }
    m_replaceable[connection.listener].erase({connection.changedAt, number});
}

std::optional<ConnectionNumber> CallerConnectionTable::excess(TimePoint now) const
{
    if (!isOverLimit() || m_reading.empty()) {
        return std::nullopt;
    }
    std::size_t considered = 0;
    for (auto entry = m_reading.rbegin(); entry != m_reading.rend() && considered < consideredConnections; ++entry) {
        if (now - m_connections.at(entry->second).changedAt >= m_options.stallPeriod) {
            return entry->second;
        }
        ++considered;
    }
    return m_reading.rbegin()->second;
}

std::optional<ConnectionNumber> CallerConnectionTable::replaceable(ListenerNumber listener, TimePoint now) const
{
    const auto found = m_replaceable.find(listener);
    if (found == m_replaceable.end() || found->second.empty()) {
        return std::nullopt;
    }
    const auto &[since, connection] = *found->second.begin();
    return now - since >= m_options.stallPeriod ? std::optional(connection) : std::nullopt;
}

} // namespace Carawaymill

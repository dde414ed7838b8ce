#pragma once

#include "support/StrongType.h"
#include "support/Time.h"
#include "support/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Carawaymill {

/// Identifies a connection of a caller on this host.
using ConnectionNumber = StrongCount<struct ConnectionNumberTag, std::uint64_t>;
/// Identifies a listener of this host.
using ListenerNumber = StrongCount<struct ListenerNumberTag, std::uint64_t>;

enum class ConnectionPhase : std::uint8_t {
    /// No byte of a request has arrived since the connection was accepted.
    Unused,
    /// Between two requests.
    Idle,
    /// A request has arrived in part.
    Reading,
    /// A request has been read and its response is not complete.
    InProgress,
};

struct CallerConnectionTableOptions
{
    /// Bytes of requests that all connections may hold.
    ByteCount memoryLimit;
    /// A connection without a byte for this time has stopped sending: requests inside the limits are read within
    /// milliseconds.
    Duration stallPeriod = 1s;
};

/// The connections of callers on all listeners of a host, and the bytes of requests that they hold.
///
/// Decides which connection is evicted when the bytes or the number of connections reach their limit, under callers
/// that send without end or stop just short of the end of their request. An ordinary request holds little and arrives
/// quickly, so that others are evicted first. A request that has been read is never evicted for another one.
class CallerConnectionTable
{
public:
    explicit CallerConnectionTable(CallerConnectionTableOptions options)
        : m_options(options)
    {
    }

    [[nodiscard]] ListenerNumber addListener();

    /// Adds a connection that was accepted.
    [[nodiscard]] ConnectionNumber add(ListenerNumber listener, TimePoint now);
    void remove(ConnectionNumber connection);

    /// Records what the connection holds after bytes have arrived or its phase has changed.
    void update(ConnectionNumber connection, ConnectionPhase phase, std::size_t bytes, TimePoint now);

    /// The connection to evict while more bytes are held than the limit allows; std::nullopt if none can.
    [[nodiscard]] std::optional<ConnectionNumber> excess(TimePoint now) const;

    /// The connection that may be closed in favour of a new one of the listener: the one that has stopped sending for
    /// longest within a request or before its first one. std::nullopt if there is none.
    [[nodiscard]] std::optional<ConnectionNumber> replaceable(ListenerNumber listener, TimePoint now) const;

    /// Whether a connection may read ahead while its request is in progress. Only half of the limit is used for that,
    /// since connections with a request in progress are not evicted.
    [[nodiscard]] bool mayReadAhead() const { return m_held < m_options.memoryLimit.value() / 2; }

    [[nodiscard]] bool isOverLimit() const { return m_held > m_options.memoryLimit.value(); }

    /// Whether more bytes than the limit would be held if every request that is being read were given up.
    [[nodiscard]] bool isFilledByRequestsInProgress() const
    {
        return m_held - m_readingBytes > m_options.memoryLimit.value();
    }

    /// Bytes that all connections hold.
    [[nodiscard]] ByteCount held() const { return ByteCount(m_held); }

private:
    struct Connection
    {
        ListenerNumber listener;
        ConnectionPhase phase = ConnectionPhase::Unused;
        std::size_t bytes = 0;
        TimePoint changedAt;
    };

    /// Adds the connection to the indexes, or removes it from them.
    void enterIndexes(ConnectionNumber number, const Connection &connection);
    void leaveIndexes(ConnectionNumber number, const Connection &connection);

    CallerConnectionTableOptions m_options;
    ListenerNumber m_lastListener;
    ConnectionNumber m_lastConnection;
    std::map<ConnectionNumber, Connection> m_connections;
    std::size_t m_held = 0;
    /// The part of `m_held` of requests that are being read.
    std::size_t m_readingBytes = 0;
    /// The connections that read a request, by the bytes that they hold.
    std::set<std::pair<std::size_t, ConnectionNumber>> m_reading;
    /// The connections that a new one may replace, by the time of their last byte.
    std::map<ListenerNumber, std::set<std::pair<TimePoint, ConnectionNumber>>> m_replaceable;
};

} // namespace Carawaymill

#pragma once

#include "http/CallerConnectionTable.h"

#include <cstdint>
#include <map>

namespace Carawaymill {

class HttpSession;

/// Numbers since the start of the process.
struct CallerConnectionCounts
{
    /// Requests that were given up while they were read, since the host held too many bytes of requests.
    std::uint64_t evicted = 0;
    /// Requests that were read and refused for the same reason.
    std::uint64_t refused = 0;
    /// Requests whose framing (chunk lines and trailers) was larger than the limit.
    std::uint64_t overlongFraming = 0;
    /// Connections that were closed in favour of new ones, and new ones that were closed instead.
    std::uint64_t replaced = 0;
    std::uint64_t turnedAway = 0;

    friend bool operator==(const CallerConnectionCounts &, const CallerConnectionCounts &) = default;
};

/// The connections of callers on all listeners of a host.
struct CallerConnections
{
    explicit CallerConnections(CallerConnectionTableOptions options)
        : table(options)
    {
    }

    CallerConnectionTable table;
    std::map<ConnectionNumber, HttpSession *> sessions;
    CallerConnectionCounts counts;
};

} // namespace Carawaymill

#pragma once

#include "support/Identifiers.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Carawaymill {

/// The hosts whose updates are still to be sent as gossip; those sent least often come first.
class GossipQueue
{
public:
    /// Adds a host that has a new update, and resets the number of times that it was sent to 0.
    void add(const HostId &host);

    /// Removes the host, if it is in the queue.
    void remove(const HostId &host);

    /// Returns up to `count` hosts for one message. A host leaves the queue after it was returned `maxSends` times.
    [[nodiscard]] std::vector<HostId> take(std::size_t count, std::size_t maxSends);

    [[nodiscard]] bool empty() const { return m_order.empty(); }

private:
    std::map<HostId, std::size_t> m_sends;
    std::set<std::pair<std::size_t, HostId>> m_order;
};

} // namespace Carawaymill

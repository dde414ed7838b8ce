#pragma once

#include "support/Identifiers.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Carawaymill {

/// The hosts on which there is news to pass on, least often sent first.
class GossipQueue
{
public:
    /// There is news on `host`: it is to be sent anew as often as any other.
    void add(const HostId &host);

    /// No news on `host` is to be sent any more.
    void remove(const HostId &host);

    /// Takes up to `count` hosts for one message. A host leaves the queue once it was taken `maxSends` times.
    [[nodiscard]] std::vector<HostId> take(std::size_t count, std::size_t maxSends);

    [[nodiscard]] bool empty() const { return m_order.empty(); }

private:
    std::map<HostId, std::size_t> m_sends;
    std::set<std::pair<std::size_t, HostId>> m_order;
};

} // namespace Carawaymill

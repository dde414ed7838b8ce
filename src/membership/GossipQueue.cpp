#include "membership/GossipQueue.h"

namespace Carawaymill {

void GossipQueue::add(const HostId &host)
{
    remove(host);
    m_sends.emplace(host, 0);
    m_order.emplace(0, host);
}

void GossipQueue::remove(const HostId &host)
{
    if (const auto found = m_sends.find(host); found != m_sends.end()) {
        m_order.erase({found->second, host});
        m_sends.erase(found);
    }
}

std::vector<HostId> GossipQueue::take(std::size_t count, std::size_t maxSends)
{
    std::vector<HostId> taken;
    for (auto entry = m_order.begin(); entry != m_order.end() && taken.size() < count; ++entry) {
        taken.push_back(entry->second);
    }
    for (const HostId &host : taken) {
        const std::size_t sends = m_sends.at(host) + 1;
        remove(host);
        if (sends < maxSends) {
            m_sends.emplace(host, sends);
            m_order.emplace(sends, host);
        }
    }
    return taken;
}

} // namespace Carawaymill

#include "admission/ClassQueue.h"

#include <algorithm>
#include <cassert>

namespace Carawaymill {

void ClassQueue::add(const OrganisationId &organisation, const JobId &job)
{
    const auto [entry, added] = m_flows.try_emplace(organisation);
    if (added) {
        // Whoever was away has no claim on the time before.
        entry->second.served = m_servedNow;
    }
    entry->second.jobs.push_back(job);
    ++m_size;
}

void ClassQueue::remove(const OrganisationId &organisation, const JobId &job)
{
    const auto flow = m_flows.find(organisation);
    if (flow == m_flows.end()) {
        return;
    }
    m_size -= std::erase(flow->second.jobs, job);
    // An idle organisation that is ahead is remembered, lest it starts anew with each job.
    std::erase_if(m_flows,
                  [&](const auto &entry) { return entry.second.jobs.empty() && entry.second.served <= m_servedNow; });
}

std::optional<OrganisationId> ClassQueue::next(TimePoint now) const
{
    auto best = m_flows.end();
    for (auto flow = m_flows.begin(); flow != m_flows.end(); ++flow) {
        const bool ready = !flow->second.jobs.empty() && flow->second.heldBackUntil <= now;
        if (ready && (best == m_flows.end() || flow->second.served < best->second.served)) {
            best = flow;
        }
    }
    return best == m_flows.end() ? std::nullopt : std::optional(best->first);
}

const JobId &ClassQueue::oldest(const OrganisationId &organisation) const
{
    return m_flows.at(organisation).jobs.front();
}

void ClassQueue::serve(const OrganisationId &organisation, double cost)
{
    Flow &flow = m_flows.at(organisation);
    m_servedNow = std::max(m_servedNow, flow.served);
    flow.served += cost;
    flow.heldBack = false;
    remove(organisation, JobId(flow.jobs.front()));
}

void ClassQueue::holdBack(const OrganisationId &organisation, TimePoint until)
{
    Flow &flow = m_flows.at(organisation);
    flow.heldBackUntil = until;
    flow.heldBack = true;
}

bool ClassQueue::isHeldBack(const OrganisationId &organisation) const
{
    const auto flow = m_flows.find(organisation);
    return flow != m_flows.end() && flow->second.heldBack;
}

std::size_t ClassQueue::aheadOf(const OrganisationId &organisation, TimePoint now) const
{
    const std::size_t own = size(organisation);
    std::size_t ahead = own;
    for (const auto &[other, flow] : m_flows) {
        if (other != organisation && flow.heldBackUntil <= now) {
            ahead += std::min(flow.jobs.size(), own + 1);
        }
    }
    return ahead;
}

std::size_t ClassQueue::ready(TimePoint now) const
{
    std::size_t ready = 0;
    for (const auto &[organisation, flow] : m_flows) {
        ready += flow.heldBackUntil <= now ? flow.jobs.size() : 0;
    }
    return ready;
}

std::size_t ClassQueue::size(const OrganisationId &organisation) const
{
    const auto flow = m_flows.find(organisation);
    return flow == m_flows.end() ? 0 : flow->second.jobs.size();
}

std::map<OrganisationId, ClassQueue::Flow>::const_iterator ClassQueue::longestFlow() const
{
    return std::max_element(m_flows.begin(), m_flows.end(), [](const auto &left, const auto &right) {
        return left.second.jobs.size() < right.second.jobs.size();
    });
}

const JobId &ClassQueue::newestOfLongest() const
{
    assert(m_size > 0);
    return longestFlow()->second.jobs.back();
}

std::size_t ClassQueue::longest() const
{
    return m_size == 0 ? 0 : longestFlow()->second.jobs.size();
}

} // namespace Carawaymill

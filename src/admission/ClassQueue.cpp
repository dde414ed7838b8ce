#include "admission/ClassQueue.h"

#include <algorithm>
#include <cassert>

namespace Carawaymill {

void ClassQueue::add(const OrganisationId &organisation, const JobId &job)
{
    const auto [entry, added] = m_flows.try_emplace(organisation);
    if (added) {
        // An organisation that was idle gets no credit for the time without jobs.
        entry->second.servedCost = m_virtualTime;
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
    // An idle organisation with more served cost than the current virtual time is kept; otherwise its next job would
    // reset its served cost.
    std::erase_if(m_flows, [&](const auto &entry) {
        return entry.second.jobs.empty() && entry.second.servedCost <= m_virtualTime;
    });
}

std::optional<OrganisationId> ClassQueue::next(TimePoint now) const
{
    auto best = m_flows.end();
    for (auto flow = m_flows.begin(); flow != m_flows.end(); ++flow) {
        const bool ready = !flow->second.jobs.empty() && flow->second.deferredUntil <= now;
        if (ready && (best == m_flows.end() || flow->second.servedCost < best->second.servedCost)) {
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
    m_virtualTime = std::max(m_virtualTime, flow.servedCost);
    flow.servedCost += cost;
    flow.deferred = false;
    remove(organisation, JobId(flow.jobs.front()));
}

void ClassQueue::defer(const OrganisationId &organisation, TimePoint until)
{
    Flow &flow = m_flows.at(organisation);
    flow.deferredUntil = until;
    flow.deferred = true;
}

bool ClassQueue::isDeferred(const OrganisationId &organisation) const
{
    const auto flow = m_flows.find(organisation);
    return flow != m_flows.end() && flow->second.deferred;
}

std::size_t ClassQueue::countAhead(const OrganisationId &organisation, TimePoint now) const
{
    const std::size_t own = size(organisation);
    std::size_t ahead = own;
    for (const auto &[other, flow] : m_flows) {
        if (other != organisation && flow.deferredUntil <= now) {
            ahead += std::min(flow.jobs.size(), own + 1);
        }
    }
    return ahead;
}

std::size_t ClassQueue::ready(TimePoint now) const
{
    std::size_t ready = 0;
    for (const auto &[organisation, flow] : m_flows) {
        ready += flow.deferredUntil <= now ? flow.jobs.size() : 0;
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

const JobId &ClassQueue::newestOfLongestFlow() const
{
    assert(m_size > 0);
    return longestFlow()->second.jobs.back();
}

std::size_t ClassQueue::longestFlowSize() const
{
    return m_size == 0 ? 0 : longestFlow()->second.jobs.size();
}

} // namespace Carawaymill

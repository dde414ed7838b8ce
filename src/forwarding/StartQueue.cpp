#include "forwarding/StartQueue.h"

#include "support/Seconds.h"

#include <algorithm>
#include <tuple>

namespace Carawaymill {

bool StartQueue::accepts(TimePoint now)
{
    while (!m_starts.empty() && now - m_starts.front() > m_options.rateWindow) {
        m_starts.pop_front();
    }
    const double rate = static_cast<double>(m_starts.size()) / seconds(m_options.rateWindow);
    const double longestQueue = rate * seconds(m_options.maximumWait);
    return m_waiting.size() < m_options.minimumLength || static_cast<double>(m_waiting.size()) < longestQueue;
}

void StartQueue::add(QueuedRequest request)
{
    m_waiting.push_back(request);
}

void StartQueue::remove(RequestId id)
{
    std::erase_if(m_waiting, [&](const QueuedRequest &request) { return request.id == id; });
}

void StartQueue::started(TimePoint now)
{
    m_starts.push_back(now);
}

std::vector<RequestId> StartQueue::order(TimePoint now) const
{
    const auto rank = [&](const QueuedRequest &request) {
        const auto onTime = std::chrono::duration_cast<Duration>(request.latencyObjective * m_options.onTimeShare);
        return std::tuple(now - request.arrivedAt > onTime, request.priority, request.arrivedAt);
    };
    std::vector<QueuedRequest> waiting = m_waiting;
    std::ranges::sort(waiting, {}, rank);
    std::vector<RequestId> order;
    order.reserve(waiting.size());
    for (const QueuedRequest &request : waiting) {
        order.push_back(request.id);
    }
    return order;
}

std::vector<RequestId> StartQueue::takeOverdue(TimePoint now)
{
    std::vector<RequestId> overdue;
    std::erase_if(m_waiting, [&](const QueuedRequest &request) {
        const bool late = now - request.arrivedAt >= m_options.maximumWait;
        if (late) {
            overdue.push_back(request.id);
        }
        return late;
    });
    return overdue;
}

} // namespace Carawaymill

#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace Carawaymill {

struct StartQueueOptions
{
    /// A request that has not started by then is given up: callers abandon a stream without an event after 2 s.
    Duration longestWait = 1200ms;
    /// Part of the objective that is left for the way to the first event: a request that waits longer is late.
    double onTimeShare = 0.6;
    /// The rate of starts is counted over this time.
    Duration rateWindow = 2s;
    /// Requests that may wait whatever the rate of starts.
    std::size_t leastLength = 8;
};

/// A request that waits until its targets have room.
struct QueuedRequest
{
    RequestId id;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    TimePoint arrivedAt;
    Duration latencyObjective{};
};

/// Requests that wait for room on the targets, under more load than these can take.
///
/// Requests that can still be on time go first, since those behind would be late as well if they waited for those that
/// are late already. What would not start in time is turned away when it comes, not after a wait.
class StartQueue
{
public:
    explicit StartQueue(StartQueueOptions options)
        : m_options(options)
    {
    }

    /// Whether a request that comes now would start within `longestWait`, at the rate of late.
    [[nodiscard]] bool accepts(TimePoint now);

    void add(QueuedRequest request);
    void remove(RequestId id);
    /// A request was started, from the queue or without a wait.
    void started(TimePoint now);

    /// Those that wait, in the order in which they are to be tried.
    [[nodiscard]] std::vector<RequestId> order(TimePoint now) const;
    /// Takes out those that have waited too long.
    [[nodiscard]] std::vector<RequestId> takeOverdue(TimePoint now);

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

private:
    StartQueueOptions m_options;
    std::vector<QueuedRequest> m_waiting;
    std::deque<TimePoint> m_starts;
};

} // namespace Carawaymill

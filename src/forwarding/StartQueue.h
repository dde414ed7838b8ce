#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace Carawaymill {

struct StartQueueOptions
{
    /// A request that waits longer is refused; callers abandon a stream without an event after 2 s.
    Duration maximumWait = 1200ms;
    /// A request that has waited longer than this fraction of its latency objective is expected to miss it: the rest is
    /// needed for the time from the start to the first event.
    double onTimeShare = 0.6;
    /// Window over which the rate of starts is measured.
    Duration rateWindow = 2s;
    /// Number of requests that may wait whatever the rate of starts is.
    std::size_t minimumLength = 8;
};

/// A request that waits until its targets have capacity.
struct QueuedRequest
{
    RequestId id;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    TimePoint arrivedAt;
    Duration latencyObjective{};
};

/// Queue of requests that wait for capacity on overloaded targets.
///
/// Requests that can still meet their objective go first, since serving overdue requests first would make these overdue
/// as well. A request that is not expected to start within `maximumWait` is refused on arrival rather than after a
/// wait.
class StartQueue
{
public:
    explicit StartQueue(StartQueueOptions options)
        : m_options(options)
    {
    }

    /// Whether a request that arrives now is expected to start within `maximumWait`, at the recent rate of starts.
    [[nodiscard]] bool accepts(TimePoint now);

    void add(QueuedRequest request);
    void remove(RequestId id);
    /// Records the start of a request, from the queue or without waiting.
    void started(TimePoint now);

    /// The queued requests in the order in which to start them.
    [[nodiscard]] std::vector<RequestId> order(TimePoint now) const;
    /// Removes and returns the requests that have waited for `maximumWait`.
    [[nodiscard]] std::vector<RequestId> takeOverdue(TimePoint now);

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

private:
    StartQueueOptions m_options;
    std::vector<QueuedRequest> m_waiting;
    std::deque<TimePoint> m_starts;
};

} // namespace Carawaymill

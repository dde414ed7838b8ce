#pragma once

#include "forwarding/FairShares.h"
#include "forwarding/RoutingConfiguration.h"
#include "forwarding/StartRate.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Carawaymill {

struct StartQueueOptions
{
    /// A request that waits longer is refused; callers abandon a stream without an event after 2 s.
    Duration maximumWait = 1200ms;
    /// A request that has waited longer than this fraction of its latency objective is expected to miss it: the rest is
    /// needed for the time from the start to the first event.
    double onTimeShare = 0.6;
    /// Number of requests of a service that may wait whatever the rate of starts is.
    std::size_t minimumLength = 2;
    StartRateOptions rate;
    /// Minimum time between two log lines on requests that wait.
    Duration logInterval = 100ms;
};

/// A request that waits until its targets have capacity.
struct QueuedRequest
{
    RequestId id;
    /// The attempt id that the caller chose, for the log.
    std::string attempt;
    ServiceId service;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// The organisations of one rank share the capacity; empty for requests without a key.
    OrganisationId organisation;
    /// Expected work, in mean requests of the service.
    double work = 1;
    /// The caller already has the first events of the stream.
    bool resumes = false;
    /// Whether it can be refused in favour of another one: not if it may have run, or the caller has a response
    /// already.
    bool mayBeReplaced = true;
    TimePoint arrivedAt;
    Duration latencyObjective{};
};

/// Why the queue refuses a request.
enum class QueueRefusal : std::uint8_t {
    /// It would start too late, so that it is not queued.
    Arrival,
    /// It would start last, and a request that goes before it has arrived at a full queue.
    Replaced,
    /// It cannot be on time any more, and those that can would delay it for too long.
    Overtaken,
    /// It has waited for the longest time.
    Overdue,
};

/// For example `overdue`.
[[nodiscard]] const char *queueRefusalName(QueueRefusal refusal);

/// A request that the queue refuses.
struct RefusedRequest
{
    RequestId id;
    QueueRefusal reason = QueueRefusal::Overdue;
    /// How long it would wait from now on; std::nullopt if the rate of starts is not known.
    std::optional<Duration> expectedWait;
};

/// What would happen to a request that joined the queue.
struct QueuePlace
{
    /// Waiting requests of its service that would start before it.
    std::size_t ahead = 0;
    /// std::nullopt if the rate of starts is not known.
    std::optional<Duration> expectedWait;
    /// The queue would refuse the request itself.
    bool isRefused = false;
};

/// The log line for a refusal. `attempt`: the attempt id that the caller chose.
[[nodiscard]] std::string describe(const RefusedRequest &refused, const std::string &attempt);

/// Queue of requests that wait for capacity on overloaded targets.
///
/// Requests that can still meet their objective go first, since serving overdue requests first would make these overdue
/// as well; among them the more urgent rank; within a rank streams that resume; then the organisations take turns by
/// the work that they ask for. A request that is not expected to start within `maximumWait` is refused at once rather
/// than after a wait.
class StartQueue
{
public:
    explicit StartQueue(StartQueueOptions options)
        : m_options(options)
    {
    }

    /// Queues a request. Returns the one that is refused in turn, which may be the new one.
    [[nodiscard]] std::optional<RefusedRequest> add(QueuedRequest request, TimePoint now);
    void remove(RequestId id, TimePoint now);
    /// Records the start of a request, from the queue or without waiting.
    void started(const QueuedRequest &request, TimePoint now);

    /// The queued requests in the order in which to start them.
    [[nodiscard]] std::vector<RequestId> order(TimePoint now) const;
    /// Removes and returns the requests that are not worth waiting for any longer.
    [[nodiscard]] std::vector<RefusedRequest> takeRefused(TimePoint now);

    /// Time in which the waiting requests of the service that are at least as urgent as `rank` start; std::nullopt if
    /// the rate of starts is not known.
    [[nodiscard]] std::optional<Duration> backlog(const ServiceId &service, std::uint32_t rank, TimePoint now) const;

    /// The place that the request would get. Its id is that of no waiting request.
    [[nodiscard]] QueuePlace placeOf(const QueuedRequest &request, TimePoint now) const;

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

    /// Log lines since the last call.
    [[nodiscard]] std::vector<std::string> takeLog() { return std::exchange(m_log, {}); }

    /// Numbers of refused requests by reason, and of starts from the queue, since the start of the process.
    [[nodiscard]] const std::map<QueueRefusal, std::uint64_t> &refusals() const { return m_refusals; }

    [[nodiscard]] std::uint64_t starts() const { return m_starts; }

private:
    /// What the queue knows of a service.
    struct ServiceState
    {
        StartRate rate;
        std::map<std::uint32_t, FairShares> shares;
    };

    [[nodiscard]] ServiceState &stateOf(const ServiceId &service);
    [[nodiscard]] bool isLate(const QueuedRequest &request, TimePoint now) const;
    /// The waiting requests of all services in the order in which to start them.
    [[nodiscard]] std::vector<QueuedRequest> ordered(TimePoint now) const;
    /// How long the request at this position of its service, counted from 0, waits from now on.
    [[nodiscard]] std::optional<Duration> waitAt(const ServiceId &service, std::size_t position, TimePoint now) const;
    [[nodiscard]] std::size_t waiting(const ServiceId &service) const;
    void updateWaiting(const ServiceId &service, TimePoint now);
    [[nodiscard]] RefusedRequest
    refuse(const QueuedRequest &request, QueueRefusal reason, std::optional<Duration> expectedWait, TimePoint now);
    void logQueued(const QueuedRequest &request, std::optional<Duration> expectedWait, TimePoint now);

    StartQueueOptions m_options;
    /// In the order of arrival.
    std::vector<QueuedRequest> m_waiting;
    std::map<ServiceId, ServiceState> m_services;
    std::map<QueueRefusal, std::uint64_t> m_refusals;
    std::uint64_t m_starts = 0;
    std::optional<TimePoint> m_loggedAt;
    std::vector<std::string> m_log;
};

} // namespace Carawaymill

#pragma once

#include "admission/AdmissionMessages.h"
#include "admission/ClassQueue.h"
#include "support/Random.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Carawaymill {

struct AdmissionQueueOptions
{
    /// Jobs that wait at most, over all classes.
    std::size_t mostWaiting = 1000;
    /// Bounds of what a refused caller is told, before the spread is added.
    Duration shortestRetryAfter = 1s;
    Duration longestRetryAfter = 60s;
    /// Seeds the spread of the times to come back.
    std::uint64_t seed = 0;
};

/// Decides which job starts next and which is refused, by class, deadline, limits and fairness.
///
/// A higher class goes first; within a class the organisations share evenly. A full queue refuses the lowest class
/// first. A job whose deadline can no longer be met is refused at once.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionQueueOptions options);

    /// `limits` are asked before each start, and told of each end.
    [[nodiscard]] std::vector<AdmissionAction> handle(const AdmissionEvent &event, SharedLimits &limits, TimePoint now);

    [[nodiscard]] std::size_t waiting() const { return m_jobs.size(); }

    [[nodiscard]] std::size_t running() const { return m_running.size(); }

private:
    struct WaitingJob
    {
        JobOffered offer;
        /// Whether its demand has been counted at the limits.
        bool counted = false;
    };

    void on(const Tick &tick, SharedLimits &limits, TimePoint now);
    void on(const JobOffered &offer, SharedLimits &limits, TimePoint now);
    void on(const JobEnded &ended, SharedLimits &limits, TimePoint now);
    void on(const JobAbandoned &abandoned, SharedLimits &limits, TimePoint now);
    void on(const CapacityChanged &changed, SharedLimits &limits, TimePoint now);

    [[nodiscard]] ClassQueue &queueOf(JobClass jobClass);
    [[nodiscard]] bool makeRoomFor(const JobOffered &offer, TimePoint now);
    void refuseLate(TimePoint now);
    void startNext(SharedLimits &limits, TimePoint now);
    [[nodiscard]] bool startOneOf(ClassQueue &queue, SharedLimits &limits, TimePoint now);
    void start(ClassQueue &queue, const JobOffered &offer, LimitReservation reservation);
    void refuse(const JobId &job, RefusalReason reason, Duration retryAfter);
    void forget(const JobId &job);
    void measureDrain(TimePoint now);
    [[nodiscard]] Duration expectedWait(const JobOffered &offer, TimePoint now) const;

    AdmissionQueueOptions m_options;
    Random m_random;
    std::size_t m_capacity = 0;
    /// One queue for each class, the highest first.
    std::array<ClassQueue, 3> m_queues;
    std::unordered_map<JobId, WaitingJob> m_jobs;
    /// The latest time at which each waiting job can start.
    std::set<std::pair<TimePoint, JobId>> m_latestStarts;
    std::unordered_map<JobId, LimitReservation> m_running;
    /// Jobs that start in a second, averaged; 0 before any has.
    double m_drainRate = 0;
    std::size_t m_startedInWindow = 0;
    std::optional<TimePoint> m_windowStart;
    std::vector<AdmissionAction> m_actions;
};

} // namespace Carawaymill

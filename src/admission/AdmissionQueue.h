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
    /// Maximum number of waiting jobs over all classes.
    std::size_t mostWaiting = 1000;
    /// Bounds of `RefuseJob::retryAfter`, before the random spread is added.
    Duration shortestRetryAfter = 1s;
    Duration longestRetryAfter = 60s;
    /// Seed of the random spread of `RefuseJob::retryAfter`.
    std::uint64_t seed = 0;
};

/// Decides by class, deadline, limits and fairness which job starts next and which jobs are refused.
///
/// Jobs of a higher class start first; within a class, organisations share the capacity evenly. A full queue refuses
/// the lowest class first. A job whose deadline can no longer be met is refused at once.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionQueueOptions options);

    /// Reserves capacity in `limits` before each start, and reports the used tokens to it after each end.
    [[nodiscard]] std::vector<AdmissionAction> handle(const AdmissionEvent &event, SharedLimits &limits, TimePoint now);

    [[nodiscard]] std::size_t waiting() const { return m_jobs.size(); }

    [[nodiscard]] std::size_t running() const { return m_running.size(); }

private:
    struct WaitingJob
    {
        JobOffered offer;
        /// Whether the limits have already counted the demand of the job.
        bool demandCounted = false;
    };

    void on(const Tick &tick, SharedLimits &limits, TimePoint now);
    void on(const JobOffered &offer, SharedLimits &limits, TimePoint now);
    void on(const JobEnded &ended, SharedLimits &limits, TimePoint now);
    void on(const JobAbandoned &abandoned, SharedLimits &limits, TimePoint now);
    void on(const CapacityChanged &changed, SharedLimits &limits, TimePoint now);

    [[nodiscard]] ClassQueue &queueOf(JobClass jobClass);
    [[nodiscard]] bool displaceJobFor(const JobOffered &offer, TimePoint now);
    void refuseOverdueJobs(TimePoint now);
    void startNext(SharedLimits &limits, TimePoint now);
    [[nodiscard]] bool startOneFrom(ClassQueue &queue, SharedLimits &limits, TimePoint now);
    void start(ClassQueue &queue, const JobOffered &offer, LimitReservation reservation);
    void refuse(const JobId &job, RefusalReason reason, Duration retryAfter);
    void removeWaitingJob(const JobId &job);
    void updateDrainRate(TimePoint now);
    [[nodiscard]] Duration expectedWait(const JobOffered &offer, TimePoint now) const;

    AdmissionQueueOptions m_options;
    Random m_random;
    std::size_t m_capacity = 0;
    /// One queue for each class, the highest first.
    std::array<ClassQueue, 3> m_queues;
    std::unordered_map<JobId, WaitingJob> m_jobs;
    /// Latest time at which each waiting job can start and still meet its deadline.
    std::set<std::pair<TimePoint, JobId>> m_latestStarts;
    std::unordered_map<JobId, LimitReservation> m_running;
    /// Moving average of job starts per second; 0 before the first job started.
    double m_drainRate = 0;
    std::size_t m_startedInWindow = 0;
    std::optional<TimePoint> m_windowStart;
    std::vector<AdmissionAction> m_actions;
};

} // namespace Carawaymill

#include "admission/AdmissionQueue.h"

#include <algorithm>

namespace Carawaymill {

/// Length of the windows over which the drain rate is measured.
static constexpr Duration drainWindow = 1s;
/// Weight of the newest window in the moving average of the drain rate.
static constexpr double newestWindowWeight = 0.3;
/// Maximum time for which an organisation is deferred after reaching a limit: its share may grow meanwhile.
static constexpr Duration maximumDeferral = 50ms;
/// Fixed cost of a job in tokens, added to its tokens when the costs of organisations are compared.
static constexpr double costPerJob = 100;

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : m_options(options)
    , m_random(options.seed)
{
}

std::vector<AdmissionAction> AdmissionQueue::handle(const AdmissionEvent &event, SharedLimits &limits, TimePoint now)
{
    updateDrainRate(now);
    std::visit([&](const auto &concrete) { on(concrete, limits, now); }, event);
    refuseOverdueJobs(now);
    startNext(limits, now);
    return std::exchange(m_actions, {});
}

void AdmissionQueue::on(const Tick & /*tick*/, SharedLimits & /*limits*/, TimePoint /*now*/) { }

ClassQueue &AdmissionQueue::queueOf(JobClass jobClass)
{
    return m_queues.at(m_queues.size() - 1 - static_cast<std::size_t>(jobClass));
}

void AdmissionQueue::on(const JobOffered &offer, SharedLimits & /*limits*/, TimePoint now)
{
    // A duplicate event: the first offer of the job gets the response.
    if (m_jobs.contains(offer.job) || m_running.contains(offer.job)) {
        return;
    }
    if (now + expectedWait(offer, now) + offer.serviceTime > offer.deadline) {
        refuse(offer.job, RefusalReason::DeadlineUnreachable, expectedWait(offer, now));
        return;
    }
    if (m_jobs.size() >= m_options.mostWaiting && !displaceJobFor(offer, now)) {
        refuse(offer.job, RefusalReason::QueueFull, expectedWait(offer, now));
        return;
    }
    m_jobs.emplace(offer.job, WaitingJob{.offer = offer});
    m_latestStarts.emplace(offer.deadline - offer.serviceTime, offer.job);
    queueOf(offer.jobClass).add(offer.organisation, offer.job);
}

bool AdmissionQueue::displaceJobFor(const JobOffered &offer, TimePoint now)
{
    for (const JobClass lower : {JobClass::Batch, JobClass::Standard, JobClass::Critical}) {
        ClassQueue &queue = queueOf(lower);
        if (queue.size() == 0 || lower > offer.jobClass) {
            continue;
        }
        // Within its own class, a job displaces only a job of an organisation with at least two more waiting jobs.
        if (lower == offer.jobClass && queue.longestFlowSize() <= queue.size(offer.organisation) + 1) {
            return false;
        }
        const JobOffered displaced = m_jobs.at(queue.newestOfLongestFlow()).offer;
        removeWaitingJob(displaced.job);
        refuse(displaced.job, RefusalReason::Displaced, expectedWait(displaced, now));
        return true;
    }
    return false;
}

void AdmissionQueue::on(const JobEnded &ended, SharedLimits &limits, TimePoint now)
{
    if (const auto running = m_running.find(ended.job); running != m_running.end()) {
        limits.settle(running->second, ended.used, now);
        m_running.erase(running);
    }
}

void AdmissionQueue::on(const JobAbandoned &abandoned, SharedLimits & /*limits*/, TimePoint /*now*/)
{
    removeWaitingJob(abandoned.job);
}

void AdmissionQueue::on(const CapacityChanged &changed, SharedLimits & /*limits*/, TimePoint /*now*/)
{
    m_capacity = changed.jobs;
}

void AdmissionQueue::refuseOverdueJobs(TimePoint now)
{
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        const JobId job = m_latestStarts.begin()->second;
        const JobOffered offer = m_jobs.at(job).offer;
        const bool limited = queueOf(offer.jobClass).isDeferred(offer.organisation);
        removeWaitingJob(job);
        refuse(
            job, limited ? RefusalReason::LimitReached : RefusalReason::DeadlineUnreachable, expectedWait(offer, now));
    }
}

void AdmissionQueue::startNext(SharedLimits &limits, TimePoint now)
{
    for (ClassQueue &queue : m_queues) {
        while (m_running.size() < m_capacity && startOneFrom(queue, limits, now)) { }
    }
}

bool AdmissionQueue::startOneFrom(ClassQueue &queue, SharedLimits &limits, TimePoint now)
{
    while (const auto organisation = queue.next(now)) {
        WaitingJob &waiting = m_jobs.at(queue.oldest(*organisation));
        const JobOffered offer = waiting.offer;
        auto reserved = limits.reserve({.organisation = offer.organisation,
                                        .entry = offer.entry,
                                        .tokens = offer.tokens,
                                        .firstAttempt = !std::exchange(waiting.demandCounted, true)},
                                       now);
        if (auto *reservation = std::get_if<LimitReservation>(&reserved)) {
            start(queue, offer, std::move(*reservation));
            return true;
        }
        const auto *reached = std::get_if<LimitReached>(&reserved);
        if (reached != nullptr && now + reached->leastWait > offer.deadline - offer.serviceTime) {
            // The job can never start in time, so it is refused now.
            removeWaitingJob(offer.job);
            refuse(offer.job, RefusalReason::LimitReached, reached->leastWait);
        } else if (reached != nullptr) {
            queue.defer(*organisation, now + std::min(reached->retryAfter, maximumDeferral));
        } else {
            removeWaitingJob(offer.job);
            refuse(offer.job, RefusalReason::NotAllowed, m_options.longestRetryAfter);
        }
    }
    return false;
}

void AdmissionQueue::start(ClassQueue &queue, const JobOffered &offer, LimitReservation reservation)
{
    queue.serve(offer.organisation, costPerJob + static_cast<double>(offer.tokens.value()));
    removeWaitingJob(offer.job);
    m_running.emplace(offer.job, std::move(reservation));
    ++m_startedInWindow;
    m_actions.emplace_back(StartJob{.job = offer.job});
}

void AdmissionQueue::refuse(const JobId &job, RefusalReason reason, Duration retryAfter)
{
    const Duration bounded = std::clamp(retryAfter, m_options.shortestRetryAfter, m_options.longestRetryAfter);
    // Spreads the retries of callers that are refused together over one to two times the bounded delay.
    const Duration spread(m_random.below(static_cast<std::uint64_t>(bounded.count())));
    m_actions.emplace_back(RefuseJob{.job = job, .reason = reason, .retryAfter = bounded + spread});
}

void AdmissionQueue::removeWaitingJob(const JobId &job)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        return;
    }
    const JobOffered &offer = found->second.offer;
    queueOf(offer.jobClass).remove(offer.organisation, offer.job);
    m_latestStarts.erase({offer.deadline - offer.serviceTime, offer.job});
    m_jobs.erase(found);
}

void AdmissionQueue::updateDrainRate(TimePoint now)
{
    if (!m_windowStart) {
        m_windowStart = now;
    }
    const Duration elapsed = now - *m_windowStart;
    if (elapsed < drainWindow) {
        return;
    }
    const double rate = static_cast<double>(m_startedInWindow) / std::chrono::duration<double>(elapsed).count();
    // While jobs wait, the start rate equals the drain rate. An empty queue gives only a lower bound of it.
    if (!m_jobs.empty() || rate > m_drainRate) {
        m_drainRate = m_drainRate == 0 ? rate : (1 - newestWindowWeight) * m_drainRate + newestWindowWeight * rate;
    }
    m_windowStart = now;
    m_startedInWindow = 0;
}

Duration AdmissionQueue::expectedWait(const JobOffered &offer, TimePoint now) const
{
    const std::size_t own = m_queues.size() - 1 - static_cast<std::size_t>(offer.jobClass);
    std::size_t ahead = m_queues.at(own).countAhead(offer.organisation, now);
    for (std::size_t higher = 0; higher < own; ++higher) {
        ahead += m_queues.at(higher).ready(now);
    }
    if (ahead == 0 || m_drainRate <= 0) {
        return Duration(0);
    }
    const std::chrono::duration<double> wait(static_cast<double>(ahead) / m_drainRate);
    const auto longest = std::chrono::duration<double>(m_options.longestRetryAfter);
    return std::chrono::duration_cast<Duration>(std::min(wait, longest));
}

} // namespace Carawaymill

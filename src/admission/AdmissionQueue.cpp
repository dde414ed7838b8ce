#include "admission/AdmissionQueue.h"

#include <algorithm>

namespace Carawaymill {

/// The drain rate is measured over windows of this length.
static constexpr Duration drainWindow = 1s;
/// Weight of the newest window.
static constexpr double newestWeight = 0.3;
/// An organisation without room in its limits is tried again after that time at the latest, since its share may grow.
static constexpr Duration longestHoldBack = 50ms;
/// What a job costs besides its tokens when organisations are compared.
static constexpr double costPerJob = 100;

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : m_options(options)
    , m_random(options.seed)
{
}

std::vector<AdmissionAction> AdmissionQueue::handle(const AdmissionEvent &event, SharedLimits &limits, TimePoint now)
{
    measureDrain(now);
    std::visit([&](const auto &concrete) { on(concrete, limits, now); }, event);
    refuseLate(now);
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
    // A repeat of an offer is answered by the first.
    if (m_jobs.contains(offer.job) || m_running.contains(offer.job)) {
        return;
    }
    if (now + expectedWait(offer, now) + offer.serviceTime > offer.deadline) {
        refuse(offer.job, RefusalReason::DeadlineUnreachable, expectedWait(offer, now));
        return;
    }
    if (m_jobs.size() >= m_options.mostWaiting && !makeRoomFor(offer, now)) {
        refuse(offer.job, RefusalReason::QueueFull, expectedWait(offer, now));
        return;
    }
    m_jobs.emplace(offer.job, WaitingJob{.offer = offer});
    m_latestStarts.emplace(offer.deadline - offer.serviceTime, offer.job);
    queueOf(offer.jobClass).add(offer.organisation, offer.job);
}

bool AdmissionQueue::makeRoomFor(const JobOffered &offer, TimePoint now)
{
    for (const JobClass lower : {JobClass::Batch, JobClass::Standard, JobClass::Critical}) {
        ClassQueue &queue = queueOf(lower);
        if (queue.size() == 0 || lower > offer.jobClass) {
            continue;
        }
        // Within its own class an organisation displaces only whoever fills the queue more than itself.
        if (lower == offer.jobClass && queue.longestFlowSize() <= queue.size(offer.organisation) + 1) {
            return false;
        }
        const JobOffered displaced = m_jobs.at(queue.newestOfLongestFlow()).offer;
        forget(displaced.job);
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
    forget(abandoned.job);
}

void AdmissionQueue::on(const CapacityChanged &changed, SharedLimits & /*limits*/, TimePoint /*now*/)
{
    m_capacity = changed.jobs;
}

void AdmissionQueue::refuseLate(TimePoint now)
{
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        const JobId job = m_latestStarts.begin()->second;
        const JobOffered offer = m_jobs.at(job).offer;
        const bool limited = queueOf(offer.jobClass).isDeferred(offer.organisation);
        forget(job);
        refuse(
            job, limited ? RefusalReason::LimitReached : RefusalReason::DeadlineUnreachable, expectedWait(offer, now));
    }
}

void AdmissionQueue::startNext(SharedLimits &limits, TimePoint now)
{
    for (ClassQueue &queue : m_queues) {
        while (m_running.size() < m_capacity && startOneOf(queue, limits, now)) { }
    }
}

bool AdmissionQueue::startOneOf(ClassQueue &queue, SharedLimits &limits, TimePoint now)
{
    while (const auto organisation = queue.next(now)) {
        WaitingJob &waiting = m_jobs.at(queue.oldest(*organisation));
        const JobOffered offer = waiting.offer;
        auto reserved = limits.reserve({.organisation = offer.organisation,
                                        .entry = offer.entry,
                                        .tokens = offer.tokens,
                                        .firstAttempt = !std::exchange(waiting.counted, true)},
                                       now);
        if (auto *reservation = std::get_if<LimitReservation>(&reserved)) {
            start(queue, offer, std::move(*reservation));
            return true;
        }
        const auto *reached = std::get_if<LimitReached>(&reserved);
        if (reached != nullptr && now + reached->leastWait > offer.deadline - offer.serviceTime) {
            // It can never start in time, so its caller is told so now.
            forget(offer.job);
            refuse(offer.job, RefusalReason::LimitReached, reached->leastWait);
        } else if (reached != nullptr) {
            queue.defer(*organisation, now + std::min(reached->retryAfter, longestHoldBack));
        } else {
            forget(offer.job);
            refuse(offer.job, RefusalReason::NotAllowed, m_options.longestRetryAfter);
        }
    }
    return false;
}

void AdmissionQueue::start(ClassQueue &queue, const JobOffered &offer, LimitReservation reservation)
{
    queue.serve(offer.organisation, costPerJob + static_cast<double>(offer.tokens.value()));
    forget(offer.job);
    m_running.emplace(offer.job, std::move(reservation));
    ++m_startedInWindow;
    m_actions.emplace_back(StartJob{.job = offer.job});
}

void AdmissionQueue::refuse(const JobId &job, RefusalReason reason, Duration retryAfter)
{
    const Duration bounded = std::clamp(retryAfter, m_options.shortestRetryAfter, m_options.longestRetryAfter);
    // Callers that are refused together come back over a time twice as long.
    const Duration spread(m_random.below(static_cast<std::uint64_t>(bounded.count())));
    m_actions.emplace_back(RefuseJob{.job = job, .reason = reason, .retryAfter = bounded + spread});
}

void AdmissionQueue::forget(const JobId &job)
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

void AdmissionQueue::measureDrain(TimePoint now)
{
    if (!m_windowStart) {
        m_windowStart = now;
    }
    const Duration elapsed = now - *m_windowStart;
    if (elapsed < drainWindow) {
        return;
    }
    const double rate = static_cast<double>(m_startedInWindow) / std::chrono::duration<double>(elapsed).count();
    // While jobs wait, the rate of starts is the rate of drain; an idle queue says nothing of it.
    if (!m_jobs.empty() || rate > m_drainRate) {
        m_drainRate = m_drainRate == 0 ? rate : (1 - newestWeight) * m_drainRate + newestWeight * rate;
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

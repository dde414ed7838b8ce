#include "forwarding/StartQueue.h"

#include "support/Seconds.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Carawaymill {

const char *queueRefusalName(QueueRefusal refusal)
{
    switch (refusal) {
    case QueueRefusal::Arrival:
        return "arrival";
    case QueueRefusal::Replaced:
        return "replaced";
    case QueueRefusal::Overtaken:
        return "overtaken";
    case QueueRefusal::Overdue:
        break;
    }
    return "overdue";
}

/// For log lines: whole milliseconds, or `unknown`.
static std::string text(std::optional<Duration> duration)
{
    return duration ? std::to_string(wholeMilliseconds(*duration)) : "unknown";
}

std::string describe(const RefusedRequest &refused, const std::string &attempt)
{
    return "Forward: event=queue-refused request=" + attempt + " reason=" + queueRefusalName(refused.reason)
           + " expected_ms=" + text(refused.expectedWait);
}

StartQueue::ServiceState &StartQueue::stateOf(const ServiceId &service)
{
    return m_services.try_emplace(service, ServiceState{.rate = StartRate(m_options.rate), .shares = {}}).first->second;
}

bool StartQueue::isLate(const QueuedRequest &request, TimePoint now) const
{
    return now - request.arrivedAt
           > std::chrono::duration_cast<Duration>(request.latencyObjective * m_options.onTimeShare);
}

std::size_t StartQueue::waiting(const ServiceId &service) const
{
    return static_cast<std::size_t>(std::ranges::count(m_waiting, service, &QueuedRequest::service));
}

std::optional<Duration> StartQueue::waitAt(const ServiceId &service, std::size_t position, TimePoint now) const
{
    const auto state = m_services.find(service);
    const auto rate = state == m_services.end() ? std::nullopt : state->second.rate.perSecond(now);
    if (!rate) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(position + 1) / *rate));
}

std::vector<QueuedRequest> StartQueue::ordered(TimePoint now) const
{
    struct Ranked
    {
        QueuedRequest request;
        bool isLate = false;
        double startTag = 0;
    };

    std::vector<Ranked> ranked;
    ranked.reserve(m_waiting.size());
    std::map<std::tuple<ServiceId, std::uint32_t, OrganisationId>, double> waitingWork;
    for (const QueuedRequest &request : m_waiting) {
        double &work = waitingWork[{request.service, request.rank, request.organisation}];
        const auto &shares = m_services.at(request.service).shares;
        const auto found = shares.find(request.rank);
        ranked.push_back(
            {.request = request,
             .isLate = isLate(request, now),
             .startTag = found == shares.end() ? work : found->second.startTag(request.organisation, work)});
        work += request.work;
    }
    std::ranges::sort(ranked, {}, [](const Ranked &entry) {
        return std::tuple(
            entry.isLate, entry.request.rank, !entry.request.resumes, entry.startTag, entry.request.arrivedAt);
    });
    std::vector<QueuedRequest> order;
    order.reserve(ranked.size());
    for (Ranked &entry : ranked) {
        order.push_back(std::move(entry.request));
    }
    return order;
}

std::vector<RequestId> StartQueue::order(TimePoint now) const
{
    std::vector<RequestId> ids;
    ids.reserve(m_waiting.size());
    for (const QueuedRequest &request : ordered(now)) {
        ids.push_back(request.id);
    }
    return ids;
}

std::optional<RefusedRequest> StartQueue::add(QueuedRequest request, TimePoint now)
{
    const ServiceId service = request.service;
    const RequestId id = request.id;
    (void)stateOf(service);
    m_waiting.push_back(std::move(request));
    updateWaiting(service, now);
    std::vector<QueuedRequest> order = ordered(now);
    std::erase_if(order, [&](const QueuedRequest &entry) { return entry.service != service; });
    const auto position = static_cast<std::size_t>(std::ranges::find(order, id, &QueuedRequest::id) - order.begin());
    const auto last = std::ranges::find_if(order.rbegin(), order.rend(), [&](const QueuedRequest &entry) {
        return entry.id == id || entry.mayBeReplaced;
    });
    const auto longest = waitAt(service, order.size() - 1, now);
    const bool waitsTooLong = !longest || *longest > m_options.maximumWait;
    if (order.size() > m_options.minimumLength && waitsTooLong) {
        const QueueRefusal reason = last->id == id ? QueueRefusal::Arrival : QueueRefusal::Replaced;
        return refuse(*last, reason, longest, now);
    }
    logQueued(order.at(position), waitAt(service, position, now), now);
    return std::nullopt;
}

RefusedRequest StartQueue::refuse(const QueuedRequest &request,
                                  QueueRefusal reason,
                                  std::optional<Duration> expectedWait,
                                  TimePoint now)
{
    RefusedRequest refused{.id = request.id, .reason = reason, .expectedWait = expectedWait};
    m_refusals[reason] += 1;
    remove(request.id, now);
    return refused;
}

void StartQueue::remove(RequestId id, TimePoint now)
{
    const auto found = std::ranges::find(m_waiting, id, &QueuedRequest::id);
    if (found != m_waiting.end()) {
        const ServiceId service = found->service;
        m_waiting.erase(found);
        updateWaiting(service, now);
    }
}

void StartQueue::updateWaiting(const ServiceId &service, TimePoint now)
{
    stateOf(service).rate.setWaiting(waiting(service) > 0, now);
}

void StartQueue::started(const QueuedRequest &request, TimePoint now)
{
    ServiceState &state = stateOf(request.service);
    state.rate.started(now);
    state.shares[request.rank].started(request.organisation, request.work);
    if (std::ranges::find(m_waiting, request.id, &QueuedRequest::id) != m_waiting.end()) {
        m_starts += 1;
        remove(request.id, now);
    }
}

std::vector<RefusedRequest> StartQueue::takeRefused(TimePoint now)
{
    std::vector<RefusedRequest> refused;
    if (m_waiting.empty()) {
        return refused;
    }
    std::map<ServiceId, std::size_t> positions;
    // Services with requests that can still be on time, which start before the late ones.
    std::set<ServiceId> overtaking;
    for (const QueuedRequest &request : ordered(now)) {
        std::size_t &position = positions[request.service];
        const Duration waited = now - request.arrivedAt;
        const auto expected = waitAt(request.service, position, now);
        const bool isOvertaken =
            isLate(request, now) && overtaking.contains(request.service) && position >= m_options.minimumLength;
        if (waited >= m_options.maximumWait) {
            refused.push_back(refuse(request, QueueRefusal::Overdue, expected, now));
        } else if (isOvertaken && expected && waited + *expected > m_options.maximumWait) {
            refused.push_back(refuse(request, QueueRefusal::Overtaken, expected, now));
        } else {
            ++position;
            if (!isLate(request, now)) {
                overtaking.insert(request.service);
            }
        }
    }
    return refused;
}

std::optional<Duration> StartQueue::backlog(const ServiceId &service, std::uint32_t rank, TimePoint now) const
{
    const auto ahead = std::ranges::count_if(
        m_waiting, [&](const QueuedRequest &request) { return request.service == service && request.rank <= rank; });
    return waitAt(service, static_cast<std::size_t>(ahead), now);
}

QueuePlace StartQueue::placeOf(const QueuedRequest &request, TimePoint now) const
{
    StartQueue copy = *this;
    const auto refused = copy.add(request, now);
    if (refused && refused->id == request.id) {
        return {.ahead = waiting(request.service), .expectedWait = refused->expectedWait, .isRefused = true};
    }
    QueuePlace place;
    for (const QueuedRequest &entry : copy.ordered(now)) {
        if (entry.id == request.id) {
            break;
        }
        place.ahead += entry.service == request.service ? 1 : 0;
    }
    place.expectedWait = copy.waitAt(request.service, place.ahead, now);
    return place;
}

void StartQueue::logQueued(const QueuedRequest &request, std::optional<Duration> expectedWait, TimePoint now)
{
    if (m_loggedAt && now - *m_loggedAt < m_options.logInterval) {
        return;
    }
    m_loggedAt = now;
    m_log.push_back("Forward: event=queued request=" + request.attempt + " rank=" + std::to_string(request.rank)
                    + " organisation=" + (request.organisation.value().empty() ? "none" : request.organisation.value())
                    + " waiting=" + std::to_string(waiting(request.service)) + " expected_ms=" + text(expectedWait));
}

} // namespace Carawaymill

#include "QuarantineWorkload.h"

namespace Carawaymill {

static constexpr Duration stepLength = 20ms;
static constexpr Duration runTime = 2s;
/// The culprit crashes its target so long after its start.
static constexpr Duration crashDelay = 300ms;
static constexpr Duration callerPause = 1s;
static constexpr Duration restartTime = 60s;

static TargetId targetId(unsigned index)
{
    return TargetId(std::to_string(index));
}

QuarantineWorkload::QuarantineWorkload(QuarantineWorkloadOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_fleet(options.seed, options.hosts)
    , m_targets(options.targets)
{
    m_fleet.messageLoss = 0.05;
    m_fleet.onIsolatedRunDecided = [this](unsigned host, const IsolatedRunDecided &decided) {
        for (std::size_t index = 0; index < m_requests.size(); ++index) {
            Request &request = m_requests[index];
            if (!request.wantsTrial || request.host != host || request.fingerprint != decided.fingerprint) {
                continue;
            }
            request.wantsTrial = false;
            if (std::holds_alternative<IsolatedRunGranted>(decided.result)) {
                place(index, true);
            } else {
                refuse(request, std::get<RejectRequest>(decided.result).retryAfter);
            }
            return;
        }
    };
}

QuarantineWorkloadResult QuarantineWorkload::run()
{
    const TimePoint end = m_fleet.now + m_options.length;
    const TimePoint attack = m_fleet.now + 30s;
    bool attacked = false;
    double due = 0;
    while (m_fleet.now < end) {
        // The last minute has no arrivals, so that what can be answered is.
        const bool arrivals = m_fleet.now < end - 1min;
        due += arrivals ? m_options.requestsPerSecond * std::chrono::duration<double>(stepLength).count() : 0;
        while (due >= 1) {
            due -= 1;
            arrive(false);
        }
        if (!attacked && m_fleet.now >= attack) {
            attacked = true;
            for (unsigned copy = 0; copy < m_options.culpritCopies; ++copy) {
                arrive(true);
            }
        }
        m_fleet.run(stepLength);
        step();
    }
    return m_result;
}

void QuarantineWorkload::arrive(bool culprit)
{
    Request request{.fingerprint = Fingerprint(culprit ? "culprit" : "request" + std::to_string(m_requests.size())),
                    .culprit = culprit,
                    .arrival = m_fleet.now,
                    .next = m_fleet.now};
    m_result.innocents += culprit ? 0 : 1;
    m_requests.push_back(std::move(request));
}

void QuarantineWorkload::step()
{
    for (std::size_t index = 0; index < m_requests.size(); ++index) {
        Request &request = m_requests[index];
        if (request.done || request.wantsTrial || m_fleet.now < request.next) {
            continue;
        }
        if (!request.target) {
            begin(index);
        } else if (request.culprit) {
            crash(*request.target);
        } else {
            finish(index);
        }
    }
}

void QuarantineWorkload::begin(std::size_t index)
{
    Request &request = m_requests[index];
    if (request.mayRunAlone && m_fleet.targetReserved(request.host, targetId(*request.trialTarget))) {
        place(index, true);
        return;
    }
    request.mayRunAlone = false;
    request.host = static_cast<unsigned>(m_random.below(m_options.hosts));
    if (m_options.policy == CrashPolicy::RetryAnywhere) {
        place(index, false);
        return;
    }
    std::visit(Overloaded{
                   [&](const RunUnrestricted &) { place(index, false); },
                   [&](const RejectRequest &refused) { refuse(request, refused.retryAfter); },
                   [&](const RunIsolated &) {
                       const auto target = leastLoaded(request.host);
                       if (!target) {
                           request.next = m_fleet.now + stepLength;
                           return;
                       }
                       request.wantsTrial = true;
                       request.trialTarget = *target;
                       m_fleet.handle(
                           request.host,
                           IsolatedRunRequested{.fingerprint = request.fingerprint, .target = targetId(*target)});
                   },
               },
               m_fleet.decisionFor(request.host, request.fingerprint));
}

std::optional<unsigned> QuarantineWorkload::leastLoaded(unsigned host) const
{
    std::optional<unsigned> best;
    for (unsigned index = 0; index < m_targets.size(); ++index) {
        const Target &target = m_targets[index];
        const bool usable = m_fleet.now >= target.downUntil && target.running.size() < m_options.batch
                            && !m_fleet.targetReserved(host, targetId(index));
        if (usable && (!best || target.running.size() < m_targets[*best].running.size())) {
            best = index;
        }
    }
    return best;
}

void QuarantineWorkload::place(std::size_t index, bool alone)
{
    Request &request = m_requests[index];
    std::optional<unsigned> target = request.trialTarget;
    if (!alone) {
        target = leastLoaded(request.host);
    } else if (!m_targets[*target].running.empty()) {
        // The reserved target finishes its other work first.
        target.reset();
    }
    if (!target) {
        request.next = m_fleet.now + stepLength;
        request.mayRunAlone = alone;
        return;
    }
    request.target = target;
    request.mayRunAlone = false;
    m_targets[*target].running.push_back(index);
    request.next = m_fleet.now + (request.culprit ? crashDelay : runTime);
}

void QuarantineWorkload::refuse(Request &request, Duration retryAfter)
{
    if (!request.culprit) {
        request.disturbed = true;
        ++m_result.innocentRefusals;
    }
    request.next = m_fleet.now + retryAfter;
}

void QuarantineWorkload::finish(std::size_t index)
{
    Request &request = m_requests[index];
    request.done = true;
    Target &target = m_targets[*request.target];
    std::erase(target.running, index);
    ++m_result.innocentsAnswered;
    if (request.disturbed) {
        ++m_result.innocentsDisturbed;
        m_result.disturbedTimes.push_back(m_fleet.now - request.arrival);
    }
    m_fleet.handle(request.host,
                   RequestCompleted{.fingerprint = request.fingerprint, .target = targetId(*request.target)});
}

void QuarantineWorkload::crash(unsigned index)
{
    ++m_result.targetsLost;
    Target &target = m_targets[index];
    std::map<unsigned, std::vector<Fingerprint>> inFlight;
    for (const std::size_t running : std::exchange(target.running, {})) {
        Request &request = m_requests[running];
        inFlight[request.host].push_back(request.fingerprint);
        request.target.reset();
        request.disturbed = !request.culprit;
        request.next = m_fleet.now + callerPause;
    }
    target.downUntil = m_fleet.now + restartTime;
    if (m_options.policy == CrashPolicy::Quarantine) {
        m_fleet.crash(targetId(index), inFlight);
    }
}

} // namespace Carawaymill

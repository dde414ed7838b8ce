#include "history/HistoryChecker.h"

#include "support/Variant.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace Carawaymill {

static bool isAnswered(const RequestSeen &request)
{
    return std::holds_alternative<WholeAnswerSeen>(request.end);
}

/// The problem that the caller was told, or null.
static const ProblemSeen *problemOf(const RequestSeen &request)
{
    return std::get_if<ProblemSeen>(&request.end);
}

static bool saysNotRun(const RequestSeen &request)
{
    const ProblemSeen *problem = problemOf(request);
    return problem != nullptr && problem->ran == RanClaim::No;
}

HistoryChecker::Violations HistoryChecker::checkAll() const
{
    Violations all;
    for (const auto check : {&HistoryChecker::checkLayers,
                             &HistoryChecker::checkAnswers,
                             &HistoryChecker::checkNotRun,
                             &HistoryChecker::checkAtMostOnce,
                             &HistoryChecker::checkDepartures,
                             &HistoryChecker::checkShutdowns,
                             &HistoryChecker::checkCatalogue,
                             &HistoryChecker::checkLimits,
                             &HistoryChecker::checkBills}) {
        const Violations found = (this->*check)();
        all.insert(all.end(), found.begin(), found.end());
    }
    return all;
}

HistoryChecker::Violations HistoryChecker::checkLayers() const
{
    Violations violations;
    checkStreams(violations);
    std::unordered_map<JobId, Runs> runs;
    for (const LayerRunSeen &run : m_history.layerRuns) {
        runs[run.job].emplace(run.position, run.layer);
    }
    for (const RequestSeen &request : m_history.requests) {
        if (const auto *ask = std::get_if<ModelAsk>(&request.ask); ask != nullptr && isAnswered(request)) {
            checkCoverage(request, *ask, runs[request.job.value_or(JobId())], violations);
        }
    }
    return violations;
}

/// Within one stream the layers follow each other for each position, and the positions follow each other.
void HistoryChecker::checkStreams(Violations &violations) const
{
    struct Progress
    {
        LayerIndex first;
        LayerRunSeen last;
        /// The layer after the stage's last one, known once the first position is done.
        std::optional<LayerIndex> end;
    };

    std::map<std::tuple<std::string, TargetId, IncarnationNumber>, Progress> streams;
    for (const LayerRunSeen &run : m_history.layerRuns) {
        const auto [found, isNew] = streams.try_emplace({run.stream, run.target, run.life},
                                                        Progress{.first = run.layer, .last = run, .end = std::nullopt});
        Progress &stream = found->second;
        bool inOrder = true;
        if (isNew) {
            inOrder = run.position == TokenPosition(0);
        } else if (run.position == stream.last.position) {
            inOrder = run.layer == stream.last.layer.next() && run.layer != stream.end;
        } else {
            const LayerIndex end = stream.end.value_or(stream.last.layer.next());
            inOrder = run.position == stream.last.position.next() && run.layer == stream.first
                      && stream.last.layer.next() == end;
            stream.end = end;
        }
        if (!inOrder || run.job != stream.last.job) {
            violations.push_back(
                LayersOutOfOrder{.job = run.job, .stream = run.stream, .position = run.position, .layer = run.layer});
        }
        stream.last = run;
    }
}

void HistoryChecker::checkCoverage(const RequestSeen &request,
                                   const ModelAsk &ask,
                                   const Runs &runs,
                                   Violations &violations)
{
    // The last token of an answer is not run itself.
    const auto positions = static_cast<std::uint32_t>((ask.promptTokens + ask.generatedTokens).value());
    for (std::uint32_t position = 0; position + 1 < std::max(positions, 2U); ++position) {
        for (std::uint32_t layer = 0; layer < ask.layers; ++layer) {
            if (!runs.contains({TokenPosition(position), LayerIndex(layer)})) {
                violations.push_back(LayerNotRun{
                    .request = request.number, .position = TokenPosition(position), .layer = LayerIndex(layer)});
                return;
            }
        }
    }
}

static bool belongsTo(const RequestSeen &request, const std::vector<JobSeen> &jobs)
{
    if (const auto *service = std::get_if<ServiceAsk>(&request.ask)) {
        return service->answersRequest.has_value();
    }
    return std::ranges::any_of(
        jobs, [&](const JobSeen &job) { return job.job == request.job && job.request == request.number; });
}

HistoryChecker::Violations HistoryChecker::checkAnswers() const
{
    Violations violations;
    std::map<RequestNumber, const RequestSeen *> byNumber;
    for (const RequestSeen &request : m_history.requests) {
        byNumber.emplace(request.number, &request);
    }
    for (const RequestSeen &request : m_history.requests) {
        if (const auto *ask = std::get_if<ModelAsk>(&request.ask)) {
            const bool isWrong = isAnswered(request) ? ask->receivedText != ask->expectedText
                                                     : !ask->expectedText.starts_with(ask->receivedText);
            if (isWrong) {
                violations.push_back(WrongAnswer{request.number});
            }
        }
        if (std::holds_alternative<StreamEndedEarly>(request.end)) {
            violations.push_back(FragmentGiven{request.number});
        }
        if (isAnswered(request) && !belongsTo(request, m_history.jobs)) {
            violations.push_back(AnswerOfOtherRequest{request.number});
        }
        if (const auto *ask = std::get_if<ServiceAsk>(&request.ask); ask != nullptr && ask->answersRequest) {
            // A repeat with the same key is told what the first call was told.
            const auto source = byNumber.find(*ask->answersRequest);
            const auto *sourceAsk = source == byNumber.end() ? nullptr : std::get_if<ServiceAsk>(&source->second->ask);
            const bool isRepeat = sourceAsk != nullptr && !ask->key.value().empty() && sourceAsk->key == ask->key
                                  && source->second->organisation == request.organisation;
            if (*ask->answersRequest != request.number && !isRepeat) {
                violations.push_back(AnswerOfOtherRequest{request.number});
            }
        }
        if (std::holds_alternative<NoEndSeen>(request.end) && request.sentAt + m_bounds.answerBound < m_history.end) {
            violations.push_back(RequestLost{request.number});
        }
    }
    return violations;
}

HistoryChecker::Violations HistoryChecker::checkNotRun() const
{
    std::set<JobId> jobsThatRan;
    for (const LayerRunSeen &run : m_history.layerRuns) {
        jobsThatRan.insert(run.job);
    }
    std::set<RequestNumber> ran;
    for (const JobSeen &job : m_history.jobs) {
        if (job.request && jobsThatRan.contains(job.job)) {
            ran.insert(*job.request);
        }
    }
    for (const ServiceRunSeen &run : m_history.serviceRuns) {
        ran.insert(run.request);
    }
    Violations violations;
    for (const RequestSeen &request : m_history.requests) {
        if (saysNotRun(request) && ran.contains(request.number)) {
            violations.push_back(RanAfterAll{request.number});
        }
    }
    return violations;
}

HistoryChecker::Violations HistoryChecker::checkAtMostOnce() const
{
    std::map<RequestNumber, const RequestSeen *> requests;
    for (const RequestSeen &request : m_history.requests) {
        requests.emplace(request.number, &request);
    }
    // Calls without a key are each their own.
    std::map<std::tuple<OrganisationId, IdempotencyKey, RequestNumber>, std::pair<RequestNumber, std::size_t>> runs;
    for (const ServiceRunSeen &run : m_history.serviceRuns) {
        const auto found = requests.find(run.request);
        const auto *ask = found == requests.end() ? nullptr : std::get_if<ServiceAsk>(&found->second->ask);
        if (ask == nullptr || ask->idempotent) {
            continue;
        }
        const RequestNumber own = ask->key.value().empty() ? run.request : RequestNumber();
        auto &count = runs[{found->second->organisation, ask->key, own}];
        count.first = run.request;
        ++count.second;
    }
    Violations violations;
    for (const auto &[call, count] : runs) {
        if (count.second > 1) {
            violations.push_back(RanTwice{.request = count.first, .runs = count.second});
        }
    }
    return violations;
}

HistoryChecker::Violations HistoryChecker::checkDepartures() const
{
    Violations violations;
    for (const DepartureShown &departure : m_history.departures) {
        const TimePoint bound = departure.at + m_bounds.departureBound;
        if (const auto *target = std::get_if<TargetId>(&departure.who)) {
            for (const WorkGiven &work : m_history.workGiven) {
                if (work.target == *target && work.at > bound) {
                    violations.push_back(WorkAfterDeparture{.who = *target, .at = work.at});
                }
            }
            continue;
        }
        const HostId &host = std::get<HostId>(departure.who);
        for (const RequestSeen &request : m_history.requests) {
            const bool taken = isAnswered(request) || (problemOf(request) != nullptr && !saysNotRun(request));
            if (request.host == host && request.sentAt > bound && taken) {
                violations.push_back(WorkAfterDeparture{.who = host, .at = request.sentAt});
            }
        }
    }
    return violations;
}

HistoryChecker::Violations HistoryChecker::checkShutdowns() const
{
    Violations violations;
    for (const GracefulShutdown &shutdown : m_history.shutdowns) {
        for (const RequestSeen &request : m_history.requests) {
            const bool wasInProgress =
                request.host == shutdown.host && request.sentAt < shutdown.askedAt
                && (std::holds_alternative<NoEndSeen>(request.end) || request.endedAt >= shutdown.askedAt);
            const bool cut = shutdown.endedAt && std::holds_alternative<ConnectionCut>(request.end)
                             && request.endedAt == *shutdown.endedAt;
            const ProblemSeen *problem = problemOf(request);
            const bool refused = problem != nullptr && problem->type.ends_with(":draining");
            if (wasInProgress && (cut || refused)) {
                violations.push_back(CutByShutdown{request.number});
            }
        }
    }
    return violations;
}

} // namespace Carawaymill

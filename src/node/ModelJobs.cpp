#include "node/ModelJobs.h"

#include <algorithm>
#include <deque>

namespace Carawaymill {

/// Told to a caller whose job found no targets: about the time in which a lost target is replaced.
static constexpr Duration noTargetRetryAfter = 2s;

void ModelJobs::start(ModelJobStart start, TimePoint now, TargetTable &targets, NodeOutput &output)
{
    const JobId id = start.head.job;
    m_byRequest.emplace(start.request, id);
    PipelineJob pipeline(start.pipeline);
    auto [job, isNew] = m_jobs.emplace(id, Job{.start = std::move(start), .pipeline = std::move(pipeline)});
    assert(isNew);
    feed(job->second, JobStarted{}, now, targets, output);
    removeIfEnded(id);
}

void ModelJobs::stepReturned(const StepReturned &event, TimePoint now, TargetTable &targets, NodeOutput &output)
{
    if (const auto job = m_jobs.find(event.job); job != m_jobs.end()) {
        feed(job->second, StepAnswered{.stream = event.stream, .result = event.result}, now, targets, output);
        removeIfEnded(event.job);
    }
}

void ModelJobs::streamStatusReturned(const StreamStatusReturned &event,
                                     TimePoint now,
                                     TargetTable &targets,
                                     NodeOutput &output)
{
    if (const auto job = m_jobs.find(event.job); job != m_jobs.end()) {
        feed(job->second, StreamStatusAnswered{.stream = event.stream, .result = event.result}, now, targets, output);
        removeIfEnded(event.job);
    }
}

void ModelJobs::targetDied(const TargetId &target, TimePoint now, TargetTable &targets, NodeOutput &output)
{
    for (const JobId &id : jobsOn(target)) {
        feed(m_jobs.at(id), TargetLost{target}, now, targets, output);
        removeIfEnded(id);
    }
}

void ModelJobs::callerDisconnected(RequestId request, TimePoint now, TargetTable &targets, NodeOutput &output)
{
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end()) {
        return;
    }
    const JobId id = found->second;
    Job &job = m_jobs.at(id);
    job.callerPresent = false;
    feed(job, JobCancelled{}, now, targets, output);
    removeIfEnded(id);
}

void ModelJobs::tick(TimePoint now, TargetTable &targets, NodeOutput &output)
{
    std::vector<JobId> ids;
    ids.reserve(m_jobs.size());
    for (auto &[id, job] : m_jobs) {
        feed(job, Tick{}, now, targets, output);
        ids.push_back(id);
    }
    for (const JobId &id : ids) {
        removeIfEnded(id);
    }
}

std::vector<JobId> ModelJobs::jobsOn(const TargetId &target) const
{
    std::vector<JobId> jobs;
    for (const auto &[id, job] : m_jobs) {
        if (job.pipeline.uses(target)) {
            jobs.push_back(id);
        }
    }
    return jobs;
}

const ModelJobStart *ModelJobs::find(const JobId &job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second.start;
}

/// Gives the job one event, and the events that its own questions about routes lead to.
void ModelJobs::feed(Job &job, const PipelineEvent &event, TimePoint now, TargetTable &targets, NodeOutput &output)
{
    std::deque<PipelineEvent> events = {event};
    while (!events.empty()) {
        const std::vector<PipelineAction> actions = job.pipeline.handle(events.front(), now);
        events.pop_front();
        for (const PipelineAction &action : actions) {
            if (auto answer = perform(job, action, now, targets, output)) {
                events.push_back(std::move(*answer));
            }
        }
        if (!actions.empty()) {
            recount(job, targets);
        }
    }
}

std::optional<PipelineEvent>
ModelJobs::perform(Job &job, const PipelineAction &action, TimePoint now, TargetTable &targets, NodeOutput &output)
{
    using Answer = std::optional<PipelineEvent>;
    const JobId &id = job.start.head.job;
    return std::visit(
        Overloaded{
            [&](const RequestChain &request) -> Answer { return route(job, request.excluded, now, targets, output); },
            [&](const RequestReplacement &request) -> Answer { return replace(job, request, now, targets, output); },
            [&](const SendStep &send) -> Answer {
                output.add(RunStep{
                    .job = id, .address = targets.address(send.target), .step = send.step, .timeout = send.timeout});
                return std::nullopt;
            },
            [&](const QueryStream &query) -> Answer {
                output.add(AskStream{.job = id,
                                     .address = targets.address(query.target),
                                     .stream = query.stream,
                                     .timeout = query.timeout});
                return std::nullopt;
            },
            [&](const CancelStream &cancel) -> Answer {
                output.add(DropStream{.address = targets.address(cancel.target), .stream = cancel.stream});
                return std::nullopt;
            },
            [&](const TokenAccepted &token) -> Answer {
                emitToken(job, token, output);
                return std::nullopt;
            },
            [&](const JobCompleted &completed) -> Answer {
                complete(job, completed, output);
                return std::nullopt;
            },
            [&](const JobFailed &failed) -> Answer {
                fail(job, failed, output);
                return std::nullopt;
            },
            [&](const StageIncident &incident) -> Answer {
                output.logDecision(id, describe(incident));
                if (incident.kind == StageIncidentKind::StageLost) {
                    targets.suspect(incident.target, now, output);
                }
                return std::nullopt;
            }},
        action);
}

static RouteRequest routeRequest(const ModelJobStart &start, const std::set<TargetId> &excluded)
{
    const PipelineJobOptions &pipeline = start.pipeline;
    return {.job = start.head.job,
            .model = pipeline.model,
            .version = pipeline.version,
            .adapter = pipeline.adapter,
            .layers = pipeline.layers,
            .jobClass = pipeline.jobClass,
            // The router only needs the order of magnitude: four bytes make about one token.
            .promptTokens = TokenCount(pipeline.prompt.size() / 4 + 1),
            .expectedTokens = pipeline.maximumTokens,
            .activationBytes = start.activationBytes,
            .excludedTargets = excluded,
            .runAlone = start.runAlone};
}

PipelineEvent
ModelJobs::route(Job &job, const std::set<TargetId> &excluded, TimePoint now, TargetTable &targets, NodeOutput &output)
{
    auto routed = targets.router().route(routeRequest(job.start, excluded), now);
    if (auto *chain = std::get_if<RoutedChain>(&routed)) {
        output.logDecision(job.start.head.job, describe(chain->decision));
        return ChainRouted{std::move(chain->chain)};
    }
    output.logDecision(job.start.head.job, describe(std::get<NoChainForModel>(routed)));
    return ChainUnavailable{};
}

PipelineEvent
ModelJobs::replace(Job &job, const RequestReplacement &request, TimePoint now, TargetTable &targets, NodeOutput &output)
{
    auto routed = targets.router().replaceStage(routeRequest(job.start, request.excluded), request.layers, now);
    if (auto *stages = std::get_if<RoutedStages>(&routed)) {
        output.logDecision(job.start.head.job, describe(stages->decision));
        return ReplacementRouted{std::move(stages->stages)};
    }
    output.logDecision(job.start.head.job, describe(std::get<NoChainForModel>(routed)));
    return ChainUnavailable{};
}

void ModelJobs::emitToken(Job &job, const TokenAccepted &token, NodeOutput &output)
{
    if (!job.start.completion.stream) {
        return;
    }
    if (!std::exchange(job.streaming, true)) {
        output.add(BeginStream{.id = job.start.request, .head = completionStreamHead(job.start.head)});
    }
    output.add(WriteStream{.id = job.start.request, .chunk = completionStreamToken(job.start.head, token.text)});
}

void ModelJobs::complete(Job &job, const JobCompleted &completed, NodeOutput &output)
{
    job.completed = completed;
    const bool reachedMaximum = completed.generatedTokens >= job.start.completion.maximumTokens;
    if (job.streaming) {
        output.add(WriteStream{.id = job.start.request,
                               .chunk = completionStreamEnd(job.start.head, completed, reachedMaximum)});
        output.add(EndStream{.id = job.start.request});
        return;
    }
    job.response = completionResponse(job.start.head, completed, reachedMaximum);
    output.respond(job.start.request, *job.response);
}

static Problem problemOf(const JobFailed &failed)
{
    const Ran ran = failed.ran ? Ran::Unknown : Ran::No;
    switch (failed.kind) {
    case JobFailureKind::NoChain:
        return {.type = ProblemType::NoTarget,
                .ran = ran,
                .detail = "Some layer of the model is held by no target at present.",
                .retryAfter = noTargetRetryAfter};
    case JobFailureKind::DeadlineExceeded:
        return {.type = ProblemType::DeadlineExceeded,
                .ran = ran,
                .detail = "The answer was not complete in time.",
                .retryAfter = noTargetRetryAfter};
    case JobFailureKind::TooManyRepairs:
        return {.type = ProblemType::TooManyRepairs,
                .ran = ran,
                .detail = "Too many targets failed under this request.",
                .retryAfter = noTargetRetryAfter};
    case JobFailureKind::Cancelled:
        break;
    }
    return {.type = ProblemType::OutcomeUnknown, .ran = ran, .detail = "The caller closed the connection."};
}

void ModelJobs::fail(Job &job, const JobFailed &failed, NodeOutput &output)
{
    job.failed = failed;
    if (!job.callerPresent) {
        return;
    }
    const Problem problem = problemOf(failed);
    if (job.streaming) {
        output.add(WriteStream{.id = job.start.request, .chunk = completionStreamProblem(problem)});
        output.add(EndStream{.id = job.start.request});
        return;
    }
    job.response = problemResponse(problem);
    output.respond(job.start.request, *job.response);
}

/// Tells the router which stages the job now has, and which it has no more.
void ModelJobs::recount(Job &job, TargetTable &targets)
{
    const std::vector<ChainStage> stages =
        job.pipeline.ended() ? std::vector<ChainStage>() : job.pipeline.chain().stages;
    if (stages == job.counted) {
        return;
    }
    for (const ChainStage &stage : job.counted) {
        targets.router().stepEnded(stage);
    }
    for (const ChainStage &stage : stages) {
        targets.router().stepStarted(stage);
    }
    job.counted = stages;
}

void ModelJobs::removeIfEnded(const JobId &id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second.pipeline.ended()) {
        return;
    }
    Job &job = found->second;
    m_byRequest.erase(job.start.request);
    m_ended.push_back({.start = std::move(job.start),
                       .completed = std::move(job.completed),
                       .failed = job.failed,
                       .response = std::move(job.response),
                       .targets = job.pipeline.usedTargets()});
    m_jobs.erase(found);
}

} // namespace Carawaymill

#include "node/ModelJobs.h"

#include <algorithm>
#include <cassert>
#include <deque>

namespace Carawaymill {

/// Retry-After for callers whose job failed for lack of usable targets: about the time in which a lost target is
/// replaced.
static constexpr Duration noTargetRetryAfter = 2s;

void ModelJobs::start(ModelJobStart start, NodeContext &context)
{
    const JobId id = start.call.job;
    m_byRequest.emplace(start.call.request, id);
    PipelineJob pipeline(start.pipeline);
    auto [job, isNew] = m_jobs.emplace(id, Job{.start = std::move(start), .pipeline = std::move(pipeline)});
    assert(isNew);
    if (job->second.start.isolated) {
        job->second.held = {.job = id, .fingerprint = job->second.start.call.fingerprint, .lossDiagnosed = true};
        job->second.holdNextRouteRequest = true;
    }
    dispatch(job->second, JobStarted{}, context);
    removeIfEnded(id);
}

void ModelJobs::stepReturned(const StepReturned &event, NodeContext &context)
{
    if (const auto job = m_jobs.find(event.job); job != m_jobs.end()) {
        dispatch(job->second, StepAnswered{.stream = event.stream, .result = event.result}, context);
        removeIfEnded(event.job);
    }
}

void ModelJobs::streamStatusReturned(const StreamStatusReturned &event, NodeContext &context)
{
    if (const auto job = m_jobs.find(event.job); job != m_jobs.end()) {
        dispatch(job->second, StreamStatusAnswered{.stream = event.stream, .result = event.result}, context);
        removeIfEnded(event.job);
    }
}

void ModelJobs::targetFailed(const TargetId &target, NodeContext &context)
{
    std::vector<JobId> affected;
    for (const auto &[id, job] : m_jobs) {
        if (job.pipeline.uses(target)) {
            affected.push_back(id);
        }
    }
    for (const JobId &id : affected) {
        dispatch(m_jobs.at(id), TargetLost{target}, context);
        removeIfEnded(id);
    }
}

void ModelJobs::callerDisconnected(RequestId request, NodeContext &context)
{
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end()) {
        return;
    }
    const JobId id = found->second;
    Job &job = m_jobs.at(id);
    job.callerPresent = false;
    if (job.start.call.key) {
        // The job continues, so that the caller can get its response by a retry with the same idempotency key.
        return;
    }
    dispatch(job, JobCancelled{}, context);
    removeIfEnded(id);
}

void ModelJobs::tick(NodeContext &context)
{
    std::vector<JobId> ids;
    ids.reserve(m_jobs.size());
    for (auto &[id, job] : m_jobs) {
        dispatch(job, Tick{}, context);
        ids.push_back(id);
    }
    for (const JobId &id : ids) {
        removeIfEnded(id);
    }
}

std::vector<Fingerprint> ModelJobs::runningOn(const TargetId &target) const
{
    std::vector<Fingerprint> fingerprints;
    for (const auto &[id, job] : m_jobs) {
        const bool lostThere = job.heldRouteRequest && !job.held.lossDiagnosed && job.held.lost == target;
        if (lostThere || job.pipeline.pendingTarget() == target) {
            fingerprints.push_back(job.start.call.fingerprint);
        }
    }
    return fingerprints;
}

void ModelJobs::targetDiagnosed(const TargetId &target)
{
    for (auto &[id, job] : m_jobs) {
        if (job.held.lost == target) {
            job.held.lossDiagnosed = true;
        }
    }
}

std::vector<HeldJob> ModelJobs::held() const
{
    std::vector<HeldJob> held;
    for (const JobId &id : m_held) {
        held.push_back(m_jobs.at(id).held);
    }
    return held;
}

std::optional<TargetId> ModelJobs::prepareIsolatedRun(const JobId &id, NodeContext &context)
{
    Job &job = m_jobs.at(id);
    job.start.isolated = true;
    PipelineEvent routed =
        std::visit([&](const auto &concrete) { return route(job, concrete, context); }, *job.heldRouteRequest);
    std::optional<TargetId> target;
    if (const auto *chain = std::get_if<ChainRouted>(&routed)) {
        target = chain->chain.stages.front().target;
    } else if (const auto *replacement = std::get_if<ReplacementRouted>(&routed)) {
        target = replacement->stages.front().target;
    }
    if (target) {
        job.held.isolatedRunTarget = target;
        job.isolatedRoute = std::move(routed);
    }
    return target;
}

void ModelJobs::recordIsolatedRunGranted(const JobId &id)
{
    m_jobs.at(id).held.isolatedRunGranted = true;
}

void ModelJobs::recordIsolatedRunRefused(const JobId &id)
{
    Job &job = m_jobs.at(id);
    job.held.isolatedRunTarget.reset();
    job.held.isolatedRunGranted = false;
    job.isolatedRoute.reset();
}

void ModelJobs::release(const JobId &id, NodeContext &context)
{
    Job &job = m_jobs.at(id);
    m_held.erase(id);
    const auto request = *std::exchange(job.heldRouteRequest, std::nullopt);
    job.holdNextRouteRequest = false;
    job.start.isolated = job.isolatedRoute.has_value();
    if (!job.isolatedRoute) {
        job.isolatedRoute = std::visit([&](const auto &concrete) { return route(job, concrete, context); }, request);
    }
    const PipelineEvent routed = *std::exchange(job.isolatedRoute, std::nullopt);
    dispatch(job, routed, context);
    removeIfEnded(id);
}

void ModelJobs::refuse(const JobId &id, const Problem &problem, NodeContext &context)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    found->second.problem = problem;
    dispatch(found->second, JobCancelled{}, context);
    removeIfEnded(id);
}

/// Dispatches an event to the job, then the results of the route requests that the job makes in response.
void ModelJobs::dispatch(Job &job, const PipelineEvent &event, NodeContext &context)
{
    std::deque<PipelineEvent> events = {event};
    while (!events.empty()) {
        const std::vector<PipelineAction> actions = job.pipeline.handle(events.front(), context.now);
        events.pop_front();
        for (const PipelineAction &action : actions) {
            if (auto answer = perform(job, action, context)) {
                events.push_back(std::move(*answer));
            }
        }
        if (!actions.empty()) {
            updateRouterLoad(job, context.targets);
        }
    }
}

std::optional<PipelineEvent> ModelJobs::perform(Job &job, const PipelineAction &action, NodeContext &context)
{
    std::optional<PipelineEvent> answer;
    const auto requestRoute = [&](const auto &request) {
        if (!job.holdNextRouteRequest) {
            answer = route(job, request, context);
        } else {
            job.heldRouteRequest = request;
            m_held.insert(job.start.call.job);
        }
    };
    std::visit(Overloaded{[&](const RequestChain &request) { requestRoute(request); },
                          [&](const RequestReplacement &request) { requestRoute(request); },
                          [&](const SendStep &send) {
                              context.output.add(RunStep{.job = job.start.call.job,
                                                         .address = context.targets.address(send.target),
                                                         .step = send.step,
                                                         .timeout = send.timeout});
                          },
                          [&](const QueryStream &query) {
                              context.output.add(RequestStreamStatus{.job = job.start.call.job,
                                                                     .address = context.targets.address(query.target),
                                                                     .stream = query.stream,
                                                                     .timeout = query.timeout});
                          },
                          [&](const CancelStream &cancel) {
                              context.output.add(DropStream{.address = context.targets.address(cancel.target),
                                                            .stream = cancel.stream});
                          },
                          [&](const TokenAccepted &token) { emitToken(job, token, context.output); },
                          [&](const JobCompleted &completed) { complete(job, completed); },
                          [&](const JobFailed &failed) { fail(job, failed, context.output); },
                          [&](const StageIncident &incident) { handleIncident(job, incident, context); }},
               action);
    return answer;
}

void ModelJobs::handleIncident(Job &job, const StageIncident &incident, NodeContext &context)
{
    context.output.logDecision(job.start.call.job, describe(incident));
    if (incident.kind == StageIncidentKind::StageLost) {
        // The job is held until it is known whether the target crashed, because the job may have caused the crash.
        const bool known = context.targets.availability(incident.target) == TargetAvailability::Dead;
        job.holdNextRouteRequest = true;
        job.held = {.job = job.start.call.job,
                    .fingerprint = job.start.call.fingerprint,
                    .lost = incident.target,
                    .lossDiagnosed = known};
        context.targets.suspect(incident.target, context.now, context.output);
    }
}

static RouteRequest routeRequest(const ModelJobStart &start, const std::set<TargetId> &excluded)
{
    const PipelineJobOptions &pipeline = start.pipeline;
    return {.job = start.call.job,
            .model = pipeline.model,
            .version = pipeline.version,
            .adapter = pipeline.adapter,
            .layers = pipeline.layers,
            .jobClass = pipeline.jobClass,
            // The router only needs the order of magnitude: four bytes make about one token.
            .promptTokens = TokenCount(pipeline.prompt.size() / 4 + 1),
            .expectedTokens = pipeline.maximumTokens,
            .activationBytes = start.call.model->activationBytes,
            .excludedTargets = excluded,
            .isolated = start.isolated};
}

PipelineEvent ModelJobs::route(Job &job, const RequestChain &request, NodeContext &context)
{
    auto routed = context.targets.router().route(routeRequest(job.start, request.excluded), context.now);
    if (auto *chain = std::get_if<RoutedChain>(&routed)) {
        context.output.logDecision(job.start.call.job, describe(chain->decision));
        return ChainRouted{std::move(chain->chain)};
    }
    context.output.logDecision(job.start.call.job, describe(std::get<NoChainForModel>(routed)));
    return ChainUnavailable{};
}

PipelineEvent ModelJobs::route(Job &job, const RequestReplacement &request, NodeContext &context)
{
    auto routed =
        context.targets.router().replaceStage(routeRequest(job.start, request.excluded), request.layers, context.now);
    if (auto *stages = std::get_if<RoutedStages>(&routed)) {
        context.output.logDecision(job.start.call.job, describe(stages->decision));
        return ReplacementRouted{std::move(stages->stages)};
    }
    context.output.logDecision(job.start.call.job, describe(std::get<NoChainForModel>(routed)));
    return ChainUnavailable{};
}

void ModelJobs::emitToken(Job &job, const TokenAccepted &token, NodeOutput &output)
{
    if (!job.start.completion().stream) {
        return;
    }
    const RequestId request = job.start.call.request;
    if (!std::exchange(job.streaming, true)) {
        output.add(BeginStream{.id = request, .head = completionStreamHead(job.start.head())});
    }
    output.add(WriteStream{.id = request, .chunk = completionStreamToken(job.start.head(), token.text)});
}

void ModelJobs::complete(Job &job, const JobCompleted &completed)
{
    job.completed = completed;
    const RequestId request = job.start.call.request;
    const bool reachedMaximum = completed.generatedTokens >= job.start.completion().maximumTokens;
    if (job.streaming) {
        job.answer.emplace_back(
            WriteStream{.id = request, .chunk = completionStreamEnd(job.start.head(), completed, reachedMaximum)});
        job.answer.emplace_back(EndStream{.id = request});
        return;
    }
    job.response = completionResponse(job.start.head(), completed, reachedMaximum);
    job.answer.emplace_back(Respond{.id = request, .response = *job.response});
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
    const Problem problem = job.problem.value_or(problemOf(failed));
    const RequestId request = job.start.call.request;
    if (job.streaming) {
        output.add(WriteStream{.id = request, .chunk = completionStreamProblem(problem)});
        output.add(EndStream{.id = request});
        return;
    }
    job.response = problemResponse(problem);
    output.respond(request, *job.response);
}

/// Updates the load that the router counts for the job: releases its previous stages and adds its present ones.
void ModelJobs::updateRouterLoad(Job &job, TargetTable &targets)
{
    std::vector<ChainStage> stages;
    if (!job.pipeline.ended()) {
        stages = job.pipeline.chain().stages;
    }
    if (stages == job.countedStages) {
        return;
    }
    for (const ChainStage &stage : job.countedStages) {
        targets.router().stageEnded(stage);
    }
    for (const ChainStage &stage : stages) {
        targets.router().stageStarted(stage);
    }
    job.countedStages = std::move(stages);
}

void ModelJobs::removeIfEnded(const JobId &id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second.pipeline.ended()) {
        return;
    }
    Job &job = found->second;
    m_byRequest.erase(job.start.call.request);
    m_held.erase(id);
    m_ended.push_back({.start = std::move(job.start),
                       .completed = std::move(job.completed),
                       .failed = job.failed,
                       .response = std::move(job.response),
                       .answer = std::move(job.answer),
                       .targets = job.pipeline.usedTargets()});
    m_jobs.erase(found);
}

} // namespace Carawaymill

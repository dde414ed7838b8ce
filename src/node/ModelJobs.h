#pragma once

#include "node/AcceptedCall.h"
#include "node/CompletionApi.h"
#include "node/NodeContext.h"
#include "node/NodeOutput.h"
#include "node/TargetTable.h"
#include "pipeline/PipelineJob.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

/// An accepted completion call that is ready to run.
struct ModelJobStart
{
    AcceptedCall call;
    PipelineJobOptions pipeline;
    /// The job is suspected of crashing targets: it must not share a target with others.
    bool isolated = false;

    [[nodiscard]] const CompletionRequest &completion() const { return std::get<CompletionRequest>(call.operation); }

    [[nodiscard]] CompletionMetadata head() const
    {
        return {.job = call.job, .entry = call.entry.id, .chat = completion().chat, .created = call.receivedAt};
    }
};

/// A job that lost a stage and is held until the quarantine allows it to continue on other targets.
struct HeldJob
{
    JobId job;
    Fingerprint fingerprint;
    /// The target of the lost stage.
    TargetId lost;
    /// Whether it has been determined if the process of the target `lost` has terminated.
    bool lossDiagnosed = false;
    /// The target for which an isolated run was requested; set until the job continues.
    std::optional<TargetId> isolatedRunTarget = std::nullopt;
    /// Whether the isolated run was granted; it starts once the target is idle.
    bool isolatedRunGranted = false;
};

/// How a job ended; exactly one of `completed` and `failed` is present.
struct ModelJobEnded
{
    ModelJobStart start;
    std::optional<JobCompleted> completed;
    std::optional<JobFailed> failed;
    /// The response to the caller; a stream has none.
    std::optional<HttpResponse> response;
    /// Actions that send the response of a completed job, or the end of its stream. They are performed once the job's
    /// bill is safe.
    std::vector<NodeAction> answer;
    std::vector<TargetId> targets;
};

/// Runs the model jobs of this host: obtains routes for them, dispatches engines' responses to their pipelines, and
/// builds the responses to their callers.
class ModelJobs
{
public:
    void start(ModelJobStart start, NodeContext &context);

    void stepReturned(const StepReturned &event, NodeContext &context);
    void streamStatusReturned(const StreamStatusReturned &event, NodeContext &context);
    void targetFailed(const TargetId &target, NodeContext &context);
    void callerDisconnected(RequestId request, NodeContext &context);
    void tick(NodeContext &context);

    /// A poll has determined whether the target is alive: held jobs that lost a stage there can be evaluated.
    void targetDiagnosed(const TargetId &target);

    [[nodiscard]] bool anyHeld() const { return !m_held.empty(); }

    [[nodiscard]] std::vector<HeldJob> held() const;
    /// Chooses the target of a held job's isolated run; std::nullopt when no target is available.
    [[nodiscard]] std::optional<TargetId> prepareIsolatedRun(const JobId &job, NodeContext &context);
    void recordIsolatedRunGranted(const JobId &job);
    /// The isolated run was not granted, or its reservation has ended: the job can be evaluated again.
    void recordIsolatedRunRefused(const JobId &job);
    /// Continues a held job: isolated if an isolated run was prepared, otherwise on any targets.
    void release(const JobId &job, NodeContext &context);
    /// Cancels a job. Its caller gets this problem instead of the one that the pipeline's failure gives.
    void refuse(const JobId &job, const Problem &problem, NodeContext &context);

    [[nodiscard]] std::size_t inProgress() const { return m_jobs.size(); }

    /// The fingerprints of jobs whose present step runs on the target.
    [[nodiscard]] std::vector<Fingerprint> runningOn(const TargetId &target) const;

    /// Jobs that ended since the last call.
    [[nodiscard]] std::vector<ModelJobEnded> takeEnded() { return std::exchange(m_ended, {}); }

private:
    struct Job
    {
        ModelJobStart start;
        PipelineJob pipeline;
        bool streaming = false;
        bool callerPresent = true;
        /// The stages that the router counts as this job's load.
        std::vector<ChainStage> countedStages;
        std::optional<JobCompleted> completed;
        std::optional<JobFailed> failed;
        std::optional<HttpResponse> response;
        std::vector<NodeAction> answer;
        /// A route request that is held until the quarantine has decided about the job.
        std::optional<std::variant<RequestChain, RequestReplacement>> heldRouteRequest;
        /// Whether the next route request is held.
        bool holdNextRouteRequest = false;
        HeldJob held;
        /// The route of the isolated run.
        std::optional<PipelineEvent> isolatedRoute;
        /// Reported to the caller instead of the problem that the pipeline's failure gives.
        std::optional<Problem> problem;
    };

    void dispatch(Job &job, const PipelineEvent &event, NodeContext &context);
    [[nodiscard]] std::optional<PipelineEvent> perform(Job &job, const PipelineAction &action, NodeContext &context);
    [[nodiscard]] PipelineEvent route(Job &job, const RequestChain &request, NodeContext &context);
    [[nodiscard]] PipelineEvent route(Job &job, const RequestReplacement &request, NodeContext &context);
    void handleIncident(Job &job, const StageIncident &incident, NodeContext &context);
    void emitToken(Job &job, const TokenAccepted &token, NodeOutput &output);
    void complete(Job &job, const JobCompleted &completed);
    void fail(Job &job, const JobFailed &failed, NodeOutput &output);
    void updateRouterLoad(Job &job, TargetTable &targets);
    void removeIfEnded(const JobId &id);

    std::map<JobId, Job> m_jobs;
    std::map<RequestId, JobId> m_byRequest;
    /// Jobs with a held route request.
    std::set<JobId> m_held;
    std::vector<ModelJobEnded> m_ended;
};

} // namespace Carawaymill

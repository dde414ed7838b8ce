#pragma once

#include "node/CompletionApi.h"
#include "node/NodeOutput.h"
#include "node/TargetTable.h"
#include "pipeline/PipelineJob.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// A caller's request for a model's answer that was admitted.
struct ModelJobStart
{
    RequestId request;
    CompletionHead head;
    CompletionRequest completion;
    OrganisationId organisation;
    PipelineJobOptions pipeline;
    ByteCount activationBytes;
    /// The job is suspected of crashing targets: it must not share a target with others.
    bool runAlone = false;
};

/// How a job ended; exactly one of `completed` and `failed` is present.
struct ModelJobEnded
{
    ModelJobStart start;
    std::optional<JobCompleted> completed;
    std::optional<JobFailed> failed;
    /// The response that the caller was given; a stream has none.
    std::optional<HttpResponse> response;
    std::vector<TargetId> targets;
};

/// All model jobs in progress on this host: gives each its chain, its engines' answers and, in the end, its caller's
/// answer.
class ModelJobs
{
public:
    void start(ModelJobStart start, TimePoint now, TargetTable &targets, NodeOutput &output);

    void stepReturned(const StepReturned &event, TimePoint now, TargetTable &targets, NodeOutput &output);
    void
    streamStatusReturned(const StreamStatusReturned &event, TimePoint now, TargetTable &targets, NodeOutput &output);
    void targetDied(const TargetId &target, TimePoint now, TargetTable &targets, NodeOutput &output);
    void callerDisconnected(RequestId request, TimePoint now, TargetTable &targets, NodeOutput &output);
    void tick(TimePoint now, TargetTable &targets, NodeOutput &output);

    [[nodiscard]] std::size_t inProgress() const { return m_jobs.size(); }

    /// Jobs that have a stream open on the target.
    [[nodiscard]] std::vector<JobId> jobsOn(const TargetId &target) const;
    [[nodiscard]] const ModelJobStart *find(const JobId &job) const;

    /// Jobs that ended since the last call.
    [[nodiscard]] std::vector<ModelJobEnded> takeEnded() { return std::exchange(m_ended, {}); }

private:
    struct Job
    {
        ModelJobStart start;
        PipelineJob pipeline;
        bool streaming = false;
        bool callerPresent = true;
        /// The stages that the router counts as load of this job.
        std::vector<ChainStage> counted;
        std::optional<JobCompleted> completed;
        std::optional<JobFailed> failed;
        std::optional<HttpResponse> response;
    };

    void feed(Job &job, const PipelineEvent &event, TimePoint now, TargetTable &targets, NodeOutput &output);
    [[nodiscard]] std::optional<PipelineEvent>
    perform(Job &job, const PipelineAction &action, TimePoint now, TargetTable &targets, NodeOutput &output);
    [[nodiscard]] PipelineEvent
    route(Job &job, const std::set<TargetId> &excluded, TimePoint now, TargetTable &targets, NodeOutput &output);
    [[nodiscard]] PipelineEvent
    replace(Job &job, const RequestReplacement &request, TimePoint now, TargetTable &targets, NodeOutput &output);
    void emitToken(Job &job, const TokenAccepted &token, NodeOutput &output);
    void complete(Job &job, const JobCompleted &completed, NodeOutput &output);
    void fail(Job &job, const JobFailed &failed, NodeOutput &output);
    void recount(Job &job, TargetTable &targets);
    void removeIfEnded(const JobId &id);

    std::map<JobId, Job> m_jobs;
    std::map<RequestId, JobId> m_byRequest;
    std::vector<ModelJobEnded> m_ended;
};

} // namespace Carawaymill

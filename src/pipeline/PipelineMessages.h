#pragma once

#include "pipeline/EngineMessages.h"
#include "routing/Chain.h"

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Events and actions of one job on its way through a chain of engines.
namespace Carawaymill {

/// What a job asks for.
struct PipelineJobOptions
{
    JobId job;
    ModelId model;
    std::string version;
    std::string adapter;
    std::uint32_t layers = 0;
    JobClass jobClass = JobClass::Standard;
    std::string prompt;
    TokenCount maximumTokens;
    /// The job fails when it isn't complete by then.
    TimePoint deadline;
    /// How long an engine may take to answer one step before its stream is asked where it stands.
    Duration stepTimeout = 2s;
    /// How long an engine may take to say where a stream stands before it counts as lost to the job.
    Duration statusTimeout = 500ms;
    /// Activations kept for rebuilding a lost stage; beyond this a loss costs a whole new attempt.
    ByteCount journalLimit = ByteCount(8U << 20U);
    /// Lost stages and new attempts that the job may use up before it fails.
    std::uint32_t repairLimit = 8;
    /// How long a job waits for a chain when no target holds some layer, before it asks again.
    Duration routePause = 100ms;
};

struct JobStarted
{
};

/// Answer to `RequestChain`.
struct ChainRouted
{
    Chain chain;
};

/// Answer to `RequestReplacement`.
struct ReplacementRouted
{
    std::vector<ChainStage> stages;
};

/// Answer to either when some layer is held by no usable target.
struct ChainUnavailable
{
};

struct StepAnswered
{
    StreamId stream;
    StepResult result;
};

struct StreamStatusAnswered
{
    StreamId stream;
    StreamStatusResult result;
};

/// Something else has found that the target died; its streams there are gone.
struct TargetLost
{
    TargetId target;
};

struct JobCancelled
{
};

using PipelineEvent = std::variant<JobStarted,
                                   ChainRouted,
                                   ReplacementRouted,
                                   ChainUnavailable,
                                   StepAnswered,
                                   StreamStatusAnswered,
                                   TargetLost,
                                   JobCancelled,
                                   Tick>;

/// Asks for a chain over all layers, without the excluded targets.
struct RequestChain
{
    std::set<TargetId> excluded;
};

/// Asks for stages that cover `layers`, the part of a lost stage, without the excluded targets.
struct RequestReplacement
{
    LayerRange layers;
    std::set<TargetId> excluded;
};

struct SendStep
{
    TargetId target;
    StepRequest step;
    Duration timeout{};
};

struct QueryStream
{
    TargetId target;
    StreamId stream;
    Duration timeout{};
};

/// Lets the engine free the stream's cache. Needs no answer.
struct CancelStream
{
    TargetId target;
    StreamId stream;
};

/// A token is part of the answer for good.
struct TokenAccepted
{
    std::string text;
};

/// The answer is whole.
struct JobCompleted
{
    std::string text;
    TokenCount promptTokens;
    TokenCount generatedTokens;
};

enum class JobFailureKind {
    /// No chain could be found before the deadline.
    NoChain,
    DeadlineExceeded,
    TooManyRepairs,
    Cancelled,
};

/// The job ends without an answer. `ran` tells whether any engine was handed a step.
struct JobFailed
{
    JobFailureKind kind = JobFailureKind::NoChain;
    bool ran = false;
};

/// What became of a stage, for the log.
enum class StageIncidentKind {
    /// The answer of a step came from another stream, attempt or position; it was dropped.
    ForeignAnswerDropped,
    /// A step stayed unanswered; its stream is asked where it stands.
    StepUncertain,
    /// The stream had run the step: its answer was recovered without running it again.
    AnswerRecovered,
    /// The target is lost to this job.
    StageLost,
    /// The whole chain begins anew; accepted tokens stay.
    NewAttempt,
};

struct StageIncident
{
    JobId job;
    StageIncidentKind kind = StageIncidentKind::StageLost;
    TargetId target;
};

/// One line for the log.
[[nodiscard]] std::string describe(const StageIncident &incident);

using PipelineAction = std::variant<RequestChain,
                                    RequestReplacement,
                                    SendStep,
                                    QueryStream,
                                    CancelStream,
                                    TokenAccepted,
                                    JobCompleted,
                                    JobFailed,
                                    StageIncident>;

} // namespace Carawaymill

#pragma once

#include "pipeline/ActivationJournal.h"
#include "pipeline/JobLifecycle.h"
#include "pipeline/PipelineMessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

/// Drives one job through its chain, token by token and stage by stage, and mends what breaks on the way.
///
/// Every step names job, attempt, stream, position and layers, and only the answer to the step that is awaited is
/// taken. A step whose answer is missing is not sent again until its stream has said that it did not run it. A lost
/// stage is replaced and fed from the journal of activations; without the journal the whole chain begins anew, with the
/// accepted tokens as part of its input.
class PipelineJob
{
public:
    explicit PipelineJob(PipelineJobOptions options);

    [[nodiscard]] std::vector<PipelineAction> handle(const PipelineEvent &event, TimePoint now);

    [[nodiscard]] bool ended() const { return m_lifecycle.phase() == JobPhase::Ended; }

    [[nodiscard]] const JobId &id() const { return m_options.job; }

    /// Targets that run the job at present, in order.
    [[nodiscard]] Chain chain() const;

    /// Targets that ran a part of the answer, in the order in which they joined.
    [[nodiscard]] const std::vector<TargetId> &usedTargets() const { return m_usedTargets; }

    /// The target that runs the present step, if one does.
    [[nodiscard]] std::optional<TargetId> pendingTarget() const;
    /// Whether the job has a stream open on the target.
    [[nodiscard]] bool uses(const TargetId &target) const;

private:
    using Actions = std::vector<PipelineAction>;

    struct Stage
    {
        ChainStage stage;
        StreamId stream;
        /// The position that the stream expects next.
        TokenPosition next;
        bool lost = false;
    };

    /// The one step that is under way.
    struct PendingStep
    {
        std::size_t stage = 0;
        StepRequest step;
        TimePoint giveUpAt;
    };

    void on(const JobStarted &event, TimePoint now, Actions &actions);
    void on(const ChainRouted &event, TimePoint now, Actions &actions);
    void on(const ReplacementRouted &event, TimePoint now, Actions &actions);
    void on(const ChainUnavailable &event, TimePoint now, Actions &actions);
    void on(const StepAnswered &event, TimePoint now, Actions &actions);
    void on(const StreamStatusAnswered &event, TimePoint now, Actions &actions);
    void on(const TargetLost &event, TimePoint now, Actions &actions);
    void on(const JobCancelled &event, TimePoint now, Actions &actions);
    void on(const Tick &event, TimePoint now, Actions &actions);

    [[nodiscard]] Stage openStage(const ChainStage &stage);
    void requestChain(Actions &actions);
    void advance(TimePoint now, Actions &actions);
    [[nodiscard]] std::optional<std::size_t> laggingStage() const;
    [[nodiscard]] TokenPosition availableAt(std::size_t stage) const;
    [[nodiscard]] StepRequest nextStep(std::size_t stage) const;
    void send(std::size_t stage, StepRequest step, TimePoint now, Actions &actions);
    [[nodiscard]] bool answersPending(const StepReply &reply) const;
    void takeReply(const StepReply &reply, TimePoint now, Actions &actions);
    void accept(const SampledToken &token, TimePoint now, Actions &actions);
    void refused(EngineRefusal refusal, TimePoint now, Actions &actions);
    void resume(TimePoint now, Actions &actions);
    void takeStatus(const StreamStatus &status, TimePoint now, Actions &actions);
    void loseStage(std::size_t stage, bool exclude, TimePoint now, Actions &actions);
    void restart(TimePoint now, Actions &actions);
    void trimJournals();
    void cancelStreams(Actions &actions);
    void fail(JobFailureKind kind, Actions &actions);
    void complete(Actions &actions);
    void report(StageIncidentKind kind, const TargetId &target, Actions &actions);

    PipelineJobOptions m_options;
    JobLifecycle m_lifecycle;
    AttemptNumber m_attempt = AttemptNumber(1);
    std::uint32_t m_streamsOpened = 0;
    std::uint32_t m_repairs = 0;
    bool m_ran = false;
    std::vector<Stage> m_stages;
    /// The stage that is being replaced.
    std::size_t m_replacing = 0;
    std::set<TargetId> m_excluded;
    std::vector<TargetId> m_usedTargets;
    std::optional<PendingStep> m_pending;
    /// When to ask for a chain again, or to send the pending step again.
    std::optional<TimePoint> m_pauseUntil;
    /// Positions of the prompt, known after the first stage has run it.
    std::optional<std::uint32_t> m_promptPositions;
    std::vector<TokenId> m_tokens;
    std::string m_text;
    /// What crossed the boundary in front of each layer that begins a stage, but the first.
    std::map<LayerIndex, ActivationJournal> m_journals;
};

} // namespace Carawaymill

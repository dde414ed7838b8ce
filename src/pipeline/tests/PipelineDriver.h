#pragma once

#include "enginestandin/EngineCore.h"
#include "pipeline/PipelineJob.h"
#include "support/Random.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// Seeded troubles between a job and its engines, each as a probability for one message.
struct PipelineFaults
{
    double loseStep = 0;
    double loseAnswer = 0;
    double doubleAnswer = 0;
    double doubleStep = 0;
    double loseStatus = 0;
    double refuseConnection = 0;
    /// Probability that some engine dies between two messages.
    double killEngine = 0;
    /// Messages arrive after 1 ms plus up to so much.
    Duration delay{};
};

/// Drives one job against stand-in engines in virtual time.
class PipelineDriver
{
public:
    PipelineDriver(PipelineJobOptions options, std::uint64_t seed, PipelineFaults faults = {});

    void addEngine(const std::string &target, LayerRange layers, IncarnationNumber incarnation = IncarnationNumber(1));
    /// Forgets the engine's streams and refuses connections to it until it is added again.
    void killEngine(const std::string &target);
    /// Kills the engine that is to be given the step number `step` (the first is 1), just before or after it ran.
    void killAtStep(std::size_t step, bool afterRunning);

    /// Runs until the job has ended.
    void run();

    [[nodiscard]] const std::string &streamedText() const { return m_streamedText; }

    [[nodiscard]] const std::optional<JobCompleted> &completed() const { return m_completed; }

    [[nodiscard]] const std::optional<JobFailed> &failed() const { return m_failed; }

    [[nodiscard]] const std::vector<StageIncident> &incidents() const { return m_incidents; }

    [[nodiscard]] std::size_t count(StageIncidentKind kind) const;
    /// Layer runs of all engines, dead ones included.
    [[nodiscard]] std::vector<LayerRun> runLog() const;
    /// Whether every engine ran each layer of each stream once a position, in the order of the positions.
    [[nodiscard]] bool everyStreamRanInOrder() const;

    [[nodiscard]] PipelineJob &job() { return m_job; }

private:
    struct Message
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> deliver;
    };

    void post(std::function<void()> deliver, Duration extra = {});
    void feed(const PipelineEvent &event);
    void perform(const PipelineAction &action);
    void perform(const RequestChain &request);
    void perform(const RequestReplacement &request);
    void perform(const SendStep &send);
    void perform(const QueryStream &query);
    [[nodiscard]] std::optional<std::vector<ChainStage>> cover(LayerRange range,
                                                               const std::set<TargetId> &excluded) const;
    void deliverStep(const SendStep &send);
    void answer(const StreamId &stream, StepResult result);

    [[nodiscard]] bool chance(double probability) { return m_random.fraction() < probability; }

    PipelineJob m_job;
    Random m_random;
    PipelineFaults m_faults;
    TimePoint m_now{};
    std::map<TargetId, EngineCore> m_engines;
    std::vector<std::vector<LayerRun>> m_deadLogs;
    std::vector<Message> m_messages;
    std::uint64_t m_messageNumber = 0;
    std::size_t m_steps = 0;
    std::optional<std::size_t> m_killAtStep;
    bool m_killAfterRunning = false;
    std::string m_streamedText;
    std::optional<JobCompleted> m_completed;
    std::optional<JobFailed> m_failed;
    std::vector<StageIncident> m_incidents;
};

} // namespace Carawaymill

#pragma once

#include <memory>

namespace Carawaymill {

/// Where a job stands on its way through its chain.
enum class JobPhase {
    /// Waits for a chain of targets.
    Routing,
    /// A step is under way on one stage.
    Stepping,
    /// A stream is being asked whether it ran an unanswered step.
    Resuming,
    /// Waits for stages in place of a lost one.
    Replacing,
    Ended,
};

/// What moves a job from phase to phase.
enum class JobTransition {
    ChainFound,
    StepUncertain,
    StreamAnswered,
    StageLost,
    ReplacementFound,
    AttemptRestarted,
    JobEnded,
};

/// The state machine of a job's phases. It keeps no data and does nothing but allow or forbid.
class JobLifecycle
{
public:
    JobLifecycle();
    JobLifecycle(JobLifecycle &&) noexcept;
    JobLifecycle &operator=(JobLifecycle &&) noexcept;
    JobLifecycle(const JobLifecycle &) = delete;
    JobLifecycle &operator=(const JobLifecycle &) = delete;
    ~JobLifecycle();

    [[nodiscard]] JobPhase phase() const;

    /// Takes the transition. The transition must be allowed in the present phase.
    void take(JobTransition transition);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill

#include "pipeline/JobLifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <cassert>

namespace Carawaymill {

namespace msm = boost::msm;

// Events of the state machine, one for each transition.
template<JobTransition Transition>
struct Taken
{
};

// States of the state machine, one for each phase.
template<JobPhase Phase>
struct In : msm::front::state<>
{
};

using InRouting = In<JobPhase::Routing>;
using InStepping = In<JobPhase::Stepping>;
using InResuming = In<JobPhase::Resuming>;
using InReplacing = In<JobPhase::Replacing>;
using InEnded = In<JobPhase::Ended>;

using ChainFound = Taken<JobTransition::ChainFound>;
using StepUncertain = Taken<JobTransition::StepUncertain>;
using StreamAnswered = Taken<JobTransition::StreamAnswered>;
using StageLost = Taken<JobTransition::StageLost>;
using ReplacementFound = Taken<JobTransition::ReplacementFound>;
using AttemptRestarted = Taken<JobTransition::AttemptRestarted>;
using JobEnded = Taken<JobTransition::JobEnded>;

struct LifecycleFrontEnd : msm::front::state_machine_def<LifecycleFrontEnd>
{
    using initial_state = InRouting;

    template<typename Source, typename Event, typename Target>
    using Row = msm::front::Row<Source, Event, Target, msm::front::none, msm::front::none>;

    // clang-format off
    using transition_table = boost::mpl::vector<
        Row<InRouting,   ChainFound,       InStepping>,
        Row<InRouting,   JobEnded,         InEnded>,
        Row<InStepping,  StepUncertain,    InResuming>,
        Row<InStepping,  StageLost,        InReplacing>,
        Row<InStepping,  AttemptRestarted, InRouting>,
        Row<InStepping,  JobEnded,         InEnded>,
        Row<InResuming,  StreamAnswered,   InStepping>,
        Row<InResuming,  StageLost,        InReplacing>,
        Row<InResuming,  AttemptRestarted, InRouting>,
        Row<InResuming,  JobEnded,         InEnded>,
        Row<InReplacing, ReplacementFound, InStepping>,
        Row<InReplacing, AttemptRestarted, InRouting>,
        Row<InReplacing, JobEnded,         InEnded>>;

    // clang-format on

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
        assert(false && "The job's phase does not allow this transition.");
    }
};

class JobLifecycle::Implementation : public msm::back::state_machine<LifecycleFrontEnd>
{
};

JobLifecycle::JobLifecycle()
    : m_implementation(std::make_unique<Implementation>())
{
    m_implementation->start();
}

JobLifecycle::JobLifecycle(JobLifecycle &&) noexcept = default;
JobLifecycle &JobLifecycle::operator=(JobLifecycle &&) noexcept = default;
JobLifecycle::~JobLifecycle() = default;

JobPhase JobLifecycle::phase() const
{
    // The back end numbers the states in the order in which the transition table first names them.
    switch (m_implementation->current_state()[0]) {
    case 0:
        return JobPhase::Routing;
    case 1:
        return JobPhase::Stepping;
    case 2:
        return JobPhase::Resuming;
    case 3:
        return JobPhase::Replacing;
    default:
        return JobPhase::Ended;
    }
}

void JobLifecycle::take(JobTransition transition)
{
    switch (transition) {
    case JobTransition::ChainFound:
        m_implementation->process_event(ChainFound());
        break;
    case JobTransition::StepUncertain:
        m_implementation->process_event(StepUncertain());
        break;
    case JobTransition::StreamAnswered:
        m_implementation->process_event(StreamAnswered());
        break;
    case JobTransition::StageLost:
        m_implementation->process_event(StageLost());
        break;
    case JobTransition::ReplacementFound:
        m_implementation->process_event(ReplacementFound());
        break;
    case JobTransition::AttemptRestarted:
        m_implementation->process_event(AttemptRestarted());
        break;
    case JobTransition::JobEnded:
        m_implementation->process_event(JobEnded());
        break;
    }
}

} // namespace Carawaymill

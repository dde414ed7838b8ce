#include "lease/LeaseScope.h"

#include "lease/LeaseScopeContext.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Carawaymill {

namespace Msm = boost::msm::front;

/// Every event shows the situation at its time.
struct LeaseScopeEvent
{
    const LeaseScopeSituation &situation;
};

struct Evaluate : LeaseScopeEvent
{
};

struct CommitTookEffect : LeaseScopeEvent
{
};

struct CommitRefused : LeaseScopeEvent
{
};

struct CommitUnavailable : LeaseScopeEvent
{
};

struct CommitUnanswered : LeaseScopeEvent
{
};

struct LeaseEnded : LeaseScopeEvent
{
};

/// Guard of a transition: a test of the context.
template<bool (LeaseScopeContext::*test)(const LeaseScopeSituation &) const>
struct If
{
    template<typename Machine, typename Source, typename Target>
    bool operator()(const LeaseScopeEvent &event, Machine &machine, Source & /*source*/, Target & /*target*/) const
    {
        return (machine.context.*test)(event.situation);
    }
};

/// Action of a transition: a step of the context.
template<void (LeaseScopeContext::*step)(const LeaseScopeSituation &)>
struct Do
{
    template<typename Machine, typename Source, typename Target>
    void operator()(const LeaseScopeEvent &event, Machine &machine, Source & /*source*/, Target & /*target*/) const
    {
        (machine.context.*step)(event.situation);
    }
};

struct LeaseScopeFrontEnd : Msm::state_machine_def<LeaseScopeFrontEnd>
{
    explicit LeaseScopeFrontEnd(const LeaseScopeOptions &options)
        : context(options)
    {
    }

    struct Idle : Msm::state<>
    {
    };

    /// Waits for another holder, for this host's lease or for the next try.
    struct Waiting : Msm::state<>
    {
    };

    struct Acquiring : Msm::state<>
    {
    };

    struct Held : Msm::state<>
    {
    };

    /// No longer decides, but the service may still show this host as the holder.
    struct Surrendering : Msm::state<>
    {
    };

    using initial_state = Idle;

    template<typename Source, typename Event, typename Target, typename Action = Msm::none, typename Guard = Msm::none>
    using Row = Msm::Row<Source, Event, Target, Action, Guard>;

    using Context = LeaseScopeContext;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  Source        Event              Target        Action                              Guard
        Row<Idle,         Evaluate,          Waiting,      Msm::none,                          If<&Context::isWanted>>,
        Row<Waiting,      Evaluate,          Acquiring,    Do<&Context::sendAcquisition>,      If<&Context::isReadyToAcquire>>,
        Row<Waiting,      Evaluate,          Surrendering, Do<&Context::tryAgainSoon>,         If<&Context::isAbandonedButMayBeHeld>>,
        Row<Waiting,      Evaluate,          Idle,         Msm::none,                          If<&Context::isAbandonedAndFree>>,
        Row<Acquiring,    CommitTookEffect,  Held,         Do<&Context::announceAcquired>,     If<&Context::isLeaseValid>>,
        Row<Acquiring,    CommitRefused,     Waiting,      Do<&Context::tryAgainSoon>>,
        Row<Acquiring,    CommitUnavailable, Waiting,      Do<&Context::tryAgainLater>>,
        Row<Acquiring,    CommitUnanswered,  Waiting,      Do<&Context::rememberUncertainty>>,
        Row<Acquiring,    LeaseEnded,        Waiting,      Do<&Context::rememberUncertainty>>,
        Row<Held,         LeaseEnded,        Waiting,      Do<&Context::announceLost>>,
        Row<Held,         Evaluate,          Surrendering, Do<&Context::announceReleased>,     If<&Context::isNotWanted>>,
        Row<Surrendering, Evaluate,          Msm::none,    Do<&Context::sendSurrender>,        If<&Context::isReadyToSurrender>>,
        Row<Surrendering, Evaluate,          Idle,         Msm::none,                          If<&Context::isSurrendered>>,
        Row<Surrendering, CommitTookEffect,  Msm::none,    Do<&Context::forgetUncertainty>>,
        Row<Surrendering, CommitRefused,     Msm::none,    Do<&Context::tryAgainSoon>>,
        Row<Surrendering, CommitUnavailable, Msm::none,    Do<&Context::tryAgainLater>>,
        Row<Surrendering, CommitUnanswered,  Msm::none,    Do<&Context::tryAgainLater>>
    > {};

    // clang-format on

    template<typename Machine, typename Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/)
    {
        // Most events matter in some states only.
    }

    LeaseScopeContext context;
};

using LeaseScopeBackEnd = boost::msm::back::state_machine<LeaseScopeFrontEnd>;

struct LeaseScope::Machine
{
    explicit Machine(const LeaseScopeOptions &options)
        : backEnd(options)
    {
        backEnd.start();
    }

    template<typename Event>
    std::vector<LeaseScopeOutput> process(const LeaseScopeSituation &situation)
    {
        backEnd.context.outputs.clear();
        backEnd.process_event(Event{situation});
        return std::move(backEnd.context.outputs);
    }

    template<typename State>
    [[nodiscard]] bool isIn() const
    {
        using States = LeaseScopeBackEnd::stt;
        constexpr int state = boost::msm::back::get_state_id<States, State>::value;
        return backEnd.current_state()[0] == state;
    }

    LeaseScopeBackEnd backEnd;
};

LeaseScope::LeaseScope(const LeaseScopeOptions &options)
    : m_machine(std::make_unique<Machine>(options))
{
}

LeaseScope::~LeaseScope() = default;
LeaseScope::LeaseScope(LeaseScope &&) noexcept = default;
LeaseScope &LeaseScope::operator=(LeaseScope &&) noexcept = default;

void LeaseScope::setWanted(bool wanted)
{
    m_machine->backEnd.context.wanted = wanted;
}

std::vector<LeaseScopeOutput> LeaseScope::evaluate(const LeaseScopeSituation &situation)
{
    m_machine->backEnd.context.planAttempt(situation);
    return m_machine->process<Evaluate>(situation);
}

std::vector<LeaseScopeOutput> LeaseScope::handleCommitted(const LeaseScopeSituation &situation)
{
    return m_machine->process<CommitTookEffect>(situation);
}

std::vector<LeaseScopeOutput> LeaseScope::handleRefused(const LeaseScopeSituation &situation)
{
    return m_machine->process<CommitRefused>(situation);
}

std::vector<LeaseScopeOutput> LeaseScope::handleUnavailable(const LeaseScopeSituation &situation)
{
    return m_machine->process<CommitUnavailable>(situation);
}

std::vector<LeaseScopeOutput> LeaseScope::handleUnanswered(const LeaseScopeSituation &situation)
{
    return m_machine->process<CommitUnanswered>(situation);
}

std::vector<LeaseScopeOutput> LeaseScope::handleLeaseEnded(const LeaseScopeSituation &situation)
{
    return m_machine->process<LeaseEnded>(situation);
}

bool LeaseScope::awaitsAnswer() const
{
    return m_machine->backEnd.context.awaitsAnswer;
}

std::optional<FencingNumber> LeaseScope::heldNumber() const
{
    if (m_machine->isIn<LeaseScopeFrontEnd::Held>()) {
        return m_machine->backEnd.context.number;
    }
    return std::nullopt;
}

bool LeaseScope::needsLease(const LeaseScopeSituation &situation) const
{
    if (waits()) {
        return m_machine->backEnd.context.mayBeHeld(situation)
               || (situation.recordsKnown && !situation.isTakenByOther());
    }
    return !isIdle();
}

bool LeaseScope::waits() const
{
    return m_machine->isIn<LeaseScopeFrontEnd::Waiting>();
}

bool LeaseScope::isIdle() const
{
    return m_machine->isIn<LeaseScopeFrontEnd::Idle>();
}

} // namespace Carawaymill

#include "lease/LeaseScope.h"

#include "lease/LeaseScopeContext.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Carawaymill {

namespace Msm = boost::msm::front;

/// Base of all events; carries the situation at the time of the event.
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

struct CommitOutcomeUnknown : LeaseScopeEvent
{
};

struct LeaseEnded : LeaseScopeEvent
{
};

/// Guard of a transition: calls a const member function of the context.
template<bool (LeaseScopeContext::*test)(const LeaseScopeSituation &) const>
struct If
{
    template<typename Machine, typename Source, typename Target>
    bool operator()(const LeaseScopeEvent &event, Machine &machine, Source & /*source*/, Target & /*target*/) const
    {
        return (machine.context.*test)(event.situation);
    }
};

/// Action of a transition: calls a member function of the context.
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

    /// Waits for another holder to release the scope, for this host's lease or for the next attempt.
    struct Waiting : Msm::state<>
    {
    };

    struct Acquiring : Msm::state<>
    {
    };

    struct Held : Msm::state<>
    {
    };

    /// This host no longer holds the scope, but the key-value service may still show it as the holder.
    struct Releasing : Msm::state<>
    {
    };

    using initial_state = Idle;

    template<typename Source, typename Event, typename Target, typename Action = Msm::none, typename Guard = Msm::none>
    using Row = Msm::Row<Source, Event, Target, Action, Guard>;

    using Context = LeaseScopeContext;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  Source     Event                 Target     Action                              Guard
        Row<Idle,      Evaluate,             Waiting,   Msm::none,                          If<&Context::isRequested>>,
        Row<Waiting,   Evaluate,             Acquiring, Do<&Context::sendAcquisition>,      If<&Context::isReadyToAcquire>>,
        Row<Waiting,   Evaluate,             Releasing, Do<&Context::retryNow>,             If<&Context::isAbandonedButMayBeHeld>>,
        Row<Waiting,   Evaluate,             Idle,      Msm::none,                          If<&Context::isAbandonedAndFree>>,
        Row<Acquiring, CommitTookEffect,     Held,      Do<&Context::announceAcquired>,     If<&Context::isLeaseValid>>,
        Row<Acquiring, CommitRefused,        Waiting,   Do<&Context::retryNow>>,
        Row<Acquiring, CommitUnavailable,    Waiting,   Do<&Context::retryWithBackoff>>,
        Row<Acquiring, CommitOutcomeUnknown, Waiting,   Do<&Context::recordUnknownOutcome>>,
        Row<Acquiring, LeaseEnded,           Waiting,   Do<&Context::recordUnknownOutcome>>,
        Row<Held,      LeaseEnded,           Waiting,   Do<&Context::announceLost>>,
        Row<Held,      Evaluate,             Releasing, Do<&Context::announceReleased>,     If<&Context::isNotRequested>>,
        Row<Releasing, Evaluate,             Msm::none, Do<&Context::sendRelease>,          If<&Context::isReadyToRelease>>,
        Row<Releasing, Evaluate,             Idle,      Msm::none,                          If<&Context::isReleased>>,
        Row<Releasing, CommitTookEffect,     Msm::none, Do<&Context::clearUnknownOutcome>>,
        Row<Releasing, CommitRefused,        Msm::none, Do<&Context::retryNow>>,
        Row<Releasing, CommitUnavailable,    Msm::none, Do<&Context::retryWithBackoff>>,
        Row<Releasing, CommitOutcomeUnknown, Msm::none, Do<&Context::retryWithBackoff>>
    > {};

    // clang-format on

    template<typename Machine, typename Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/)
    {
        // Most events are ignored in most states.
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

void LeaseScope::setRequested(bool requested)
{
    m_machine->backEnd.context.requested = requested;
}

std::vector<LeaseScopeOutput> LeaseScope::evaluate(const LeaseScopeSituation &situation)
{
    m_machine->backEnd.context.scheduleAttempt(situation);
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

std::vector<LeaseScopeOutput> LeaseScope::handleOutcomeUnknown(const LeaseScopeSituation &situation)
{
    return m_machine->process<CommitOutcomeUnknown>(situation);
}

std::vector<LeaseScopeOutput> LeaseScope::handleLeaseEnded(const LeaseScopeSituation &situation)
{
    return m_machine->process<LeaseEnded>(situation);
}

bool LeaseScope::awaitsResponse() const
{
    return m_machine->backEnd.context.awaitsResponse;
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
    if (isWaiting()) {
        return m_machine->backEnd.context.mayBeHeld(situation)
               || (situation.recordsKnown && !situation.isHeldByOther());
    }
    return !isIdle();
}

bool LeaseScope::isWaiting() const
{
    return m_machine->isIn<LeaseScopeFrontEnd::Waiting>();
}

bool LeaseScope::isIdle() const
{
    return m_machine->isIn<LeaseScopeFrontEnd::Idle>();
}

} // namespace Carawaymill

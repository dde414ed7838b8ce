#pragma once

#include "catalogue/Records.h"
#include "services/Outcome.h"
#include "support/Random.h"

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// The decisions for one call to a plain service.
namespace Carawaymill {

/// Event: begin the call. Sent once.
struct ServiceCallStarted
{
};

/// Event: what became of the dispatch `attempt`.
struct TargetAnswered
{
    AttemptNumber attempt;
    HttpResult result;
};

/// Event: the caller's connection ended.
struct CallerGone
{
};

using ServiceCallEvent = std::variant<ServiceCallStarted, TargetAnswered, Tick, CallerGone>;

/// Action: hand the request to this target on one connection, and never again by itself.
struct DispatchToTarget
{
    TargetId target;
    AttemptNumber attempt;
};

/// Action: end the call towards the caller. Comes exactly once.
struct CompleteCall
{
    Outcome outcome;
};

/// Action: the answer to a call that ended as `Unknown` came after all; record it for the caller's repeats.
struct RecordLateAnswer
{
    Answered answer;
};

using ServiceCallAction = std::variant<DispatchToTarget, CompleteCall, RecordLateAnswer>;

struct ServiceCallOptions
{
    JobId job;
    /// Upper case, for example `GET`.
    std::string method;
    ServiceEntry entry;
    /// The call ends at the latest so long after its start.
    Duration timeout = 30s;
    /// An idempotent call is asked of another target when one has not answered for so long.
    Duration attemptTimeout = 2s;
    /// Told to the caller of a call that was not run.
    Duration retryAfter = 1s;
    /// Whether the target is neither leaving nor suspected to be dead.
    std::function<bool(const TargetId &)> targetUsable;
    /// Takes one retry out of the budget, if there is one left.
    std::function<bool()> retryAllowed;
    /// Spreads calls over the targets.
    std::uint64_t seed = 0;
};

/// The options name no target at all, lack a callback, or a duration is not positive.
struct InvalidServiceCallOptions
{
    friend bool operator==(InvalidServiceCallOptions, InvalidServiceCallOptions) = default;
};

/// Decides for one call which target is asked, whether another one is, and how the call ends.
///
/// A call whose method is not idempotent is dispatched again only if no byte of it was sent before.
class ServiceCall
{
public:
    [[nodiscard]] static Result<ServiceCall, InvalidServiceCallOptions> create(ServiceCallOptions options);

    [[nodiscard]] std::vector<ServiceCallAction> handle(const ServiceCallEvent &event, TimePoint now);

    [[nodiscard]] bool idempotent() const { return m_idempotent; }

    /// Whether `CompleteCall` was returned.
    [[nodiscard]] bool complete() const { return m_complete; }

private:
    using Actions = std::vector<ServiceCallAction>;

    explicit ServiceCall(ServiceCallOptions options);

    [[nodiscard]] Actions start(TimePoint now);
    [[nodiscard]] Actions answered(const TargetAnswered &event, TimePoint now);
    [[nodiscard]] Actions tick(TimePoint now);
    [[nodiscard]] Actions callerGone();
    [[nodiscard]] Actions dispatchNext(TimePoint now, CallProblem problemOtherwise);
    [[nodiscard]] Actions askAgain(TimePoint now, CallProblem problem);
    [[nodiscard]] Actions completeWith(Outcome outcome);
    [[nodiscard]] Actions giveUp(CallProblem problem);
    [[nodiscard]] std::vector<TargetId> untriedTargets() const;

    ServiceCallOptions m_options;
    bool m_idempotent;
    bool m_complete = false;
    bool m_callerGone = false;
    Random m_random;
    DispatchRecord m_dispatches;
    std::map<AttemptNumber, TargetId> m_attempts;
    AttemptNumber m_lastAttempt;
    TimePoint m_deadline;
    TimePoint m_attemptDeadline;
};

/// One log line, for example `Services: job a1 dispatched to booking-1, attempt 1`.
[[nodiscard]] std::string describe(const JobId &job, const ServiceCallAction &action);

} // namespace Carawaymill

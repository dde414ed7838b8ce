#pragma once

#include "http/HttpMessages.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <set>
#include <variant>

/// What became of one request. Every way to end a request has to name one of the three outcomes.
namespace Carawaymill {

/// Why a request ended without an answer of a target.
enum class CallProblem {
    /// No target of the entry is left that may be asked.
    NoUsableTarget,
    /// Asking once more is not within the retry budget.
    RetryBudgetSpent,
    DeadlineExceeded,
    /// A target was given the request and the connection ended without a whole answer.
    ConnectionLost,
    CallerGone,
};

class DispatchRecord;

/// No byte of the request was handed to any target: the caller may safely send it again after `retryAfter`.
///
/// Only `DispatchRecord` makes one, so that no error path can claim it by mistake.
class NotRun
{
public:
    [[nodiscard]] CallProblem problem() const { return m_problem; }

    [[nodiscard]] Duration retryAfter() const { return m_retryAfter; }

private:
    friend class DispatchRecord;

    NotRun(CallProblem problem, Duration retryAfter)
        : m_problem(problem)
        , m_retryAfter(retryAfter)
    {
    }

    CallProblem m_problem;
    Duration m_retryAfter;
};

/// A target ran the request and this is its answer.
struct Answered
{
    TargetId target;
    HttpResponse response;
};

/// At least one byte was handed to a target and no answer is known: the request may have run.
struct Unknown
{
    CallProblem problem;
};

/// Has no default value: whoever ends a request says how.
using Outcome = std::variant<NotRun, Answered, Unknown>;

/// Keeps what was handed to targets for one request, and derives the outcome of a request without an answer from it.
class DispatchRecord
{
public:
    /// The request is about to be handed over; from here on it may have run.
    void dispatched(AttemptNumber attempt) { m_mayHaveRun.insert(attempt); }

    /// The HTTP layer vouches that no byte of this attempt was sent.
    void notSent(AttemptNumber attempt) { m_mayHaveRun.erase(attempt); }

    /// Whether any attempt may have reached a target.
    [[nodiscard]] bool mayHaveRun() const { return !m_mayHaveRun.empty(); }

    /// The outcome of giving up now.
    [[nodiscard]] Outcome outcomeWithoutAnswer(CallProblem problem, Duration retryAfter) const
    {
        if (mayHaveRun()) {
            return Unknown{.problem = problem};
        }
        return NotRun(problem, retryAfter);
    }

private:
    std::set<AttemptNumber> m_mayHaveRun;
};

} // namespace Carawaymill

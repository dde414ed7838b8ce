#include "services/ServiceCall.h"

#include <algorithm>
#include <sstream>

namespace Carawaymill {

Result<ServiceCall, InvalidServiceCallOptions> ServiceCall::create(ServiceCallOptions options)
{
    const bool callbacks = options.targetUsable && options.retryAllowed;
    const bool durations = options.timeout > 0s && options.attemptTimeout > 0s && options.retryAfter > 0s;
    if (!callbacks || !durations || options.entry.targets.empty()) {
        return InvalidServiceCallOptions{};
    }
    return ServiceCall(std::move(options));
}

ServiceCall::ServiceCall(ServiceCallOptions options)
    : m_options(std::move(options))
    , m_idempotent(std::ranges::find(m_options.entry.idempotentMethods, m_options.method)
                   != m_options.entry.idempotentMethods.end())
    , m_random(m_options.seed)
{
}

std::vector<ServiceCallAction> ServiceCall::handle(const ServiceCallEvent &event, TimePoint now)
{
    return std::visit(Overloaded{
                          [&](const ServiceCallStarted &) { return start(now); },
                          [&](const TargetAnswered &answer) { return answered(answer, now); },
                          [&](const Tick &) { return tick(now); },
                          [&](const CallerGone &) { return callerGone(); },
                      },
                      event);
}

ServiceCall::Actions ServiceCall::start(TimePoint now)
{
    m_deadline = now + m_options.timeout;
    return dispatchNext(now, CallProblem::NoUsableTarget);
}

ServiceCall::Actions ServiceCall::answered(const TargetAnswered &event, TimePoint now)
{
    const auto attempt = m_attempts.find(event.attempt);
    if (attempt == m_attempts.end()) {
        return {};
    }
    const TargetId target = attempt->second;
    m_attempts.erase(attempt);
    return std::visit(Overloaded{
                          [&](const HttpResponse &response) -> Actions {
                              Answered answer{.target = target, .response = response};
                              if (m_complete) {
                                  return {RecordLateAnswer{.answer = std::move(answer)}};
                              }
                              return completeWith(std::move(answer));
                          },
                          [&](const HttpNotSent &) -> Actions {
                              m_dispatches.notSent(event.attempt);
                              // Another attempt may still be waiting for its answer.
                              if (m_complete || !m_attempts.empty()) {
                                  return {};
                              }
                              if (m_callerGone) {
                                  return giveUp(CallProblem::CallerGone);
                              }
                              return dispatchNext(now, CallProblem::NoUsableTarget);
                          },
                          [&](const HttpNoResponse &) -> Actions {
                              if (m_complete || !m_attempts.empty()) {
                                  return {};
                              }
                              return askAgain(now, CallProblem::ConnectionLost);
                          },
                      },
                      event.result);
}

ServiceCall::Actions ServiceCall::tick(TimePoint now)
{
    if (m_complete) {
        return {};
    }
    if (now >= m_deadline) {
        return giveUp(CallProblem::DeadlineExceeded);
    }
    if (m_idempotent && now >= m_attemptDeadline) {
        // The slow attempt may still answer, so a spent budget or a lack of targets does not end the call here.
        m_attemptDeadline = now + m_options.attemptTimeout;
        if (!untriedTargets().empty() && m_options.retryAllowed()) {
            return dispatchNext(now, CallProblem::DeadlineExceeded);
        }
    }
    return {};
}

ServiceCall::Actions ServiceCall::callerGone()
{
    m_callerGone = true;
    // The target may be running a call that is not idempotent: its answer is awaited for the caller's repeat.
    if (m_complete || (!m_idempotent && m_dispatches.mayHaveRun())) {
        return {};
    }
    return giveUp(CallProblem::CallerGone);
}

ServiceCall::Actions ServiceCall::askAgain(TimePoint now, CallProblem problem)
{
    if (!m_idempotent) {
        return giveUp(problem);
    }
    if (untriedTargets().empty()) {
        return giveUp(problem);
    }
    if (!m_options.retryAllowed()) {
        return giveUp(CallProblem::RetryBudgetSpent);
    }
    return dispatchNext(now, problem);
}

ServiceCall::Actions ServiceCall::dispatchNext(TimePoint now, CallProblem problemOtherwise)
{
    if (now >= m_deadline) {
        return giveUp(CallProblem::DeadlineExceeded);
    }
    const std::vector<TargetId> candidates = untriedTargets();
    if (candidates.empty()) {
        return giveUp(problemOtherwise);
    }
    const TargetId &target = candidates[m_random.below(candidates.size())];
    m_lastAttempt = m_lastAttempt.next();
    m_attempts.emplace(m_lastAttempt, target);
    m_dispatches.dispatched(m_lastAttempt);
    m_attemptDeadline = now + m_options.attemptTimeout;
    std::erase(m_options.entry.targets, target);
    return {DispatchToTarget{.target = target, .attempt = m_lastAttempt}};
}

ServiceCall::Actions ServiceCall::giveUp(CallProblem problem)
{
    return completeWith(m_dispatches.outcomeWithoutAnswer(problem, m_options.retryAfter));
}

ServiceCall::Actions ServiceCall::completeWith(Outcome outcome)
{
    m_complete = true;
    return {CompleteCall{.outcome = std::move(outcome)}};
}

std::vector<TargetId> ServiceCall::untriedTargets() const
{
    std::vector<TargetId> targets;
    std::ranges::copy_if(m_options.entry.targets, std::back_inserter(targets), m_options.targetUsable);
    return targets;
}

static const char *name(CallProblem problem)
{
    switch (problem) {
    case CallProblem::NoUsableTarget:
        return "no usable target";
    case CallProblem::RetryBudgetSpent:
        return "retry budget spent";
    case CallProblem::DeadlineExceeded:
        return "deadline exceeded";
    case CallProblem::ConnectionLost:
        return "connection lost";
    case CallProblem::CallerGone:
        return "caller gone";
    }
    return "";
}

std::string describe(const JobId &job, const ServiceCallAction &action)
{
    std::ostringstream text;
    text << "Services: job " << job;
    std::visit(Overloaded{
                   [&](const DispatchToTarget &dispatch) {
                       text << " dispatched to " << dispatch.target << ", attempt " << dispatch.attempt;
                   },
                   [&](const CompleteCall &done) {
                       std::visit(Overloaded{
                                      [&](const NotRun &end) { text << " not run: " << name(end.problem()); },
                                      [&](const Answered &end) {
                                          text << " answered " << end.response.status << " by " << end.target;
                                      },
                                      [&](const Unknown &end) { text << " outcome unknown: " << name(end.problem); },
                                  },
                                  done.outcome);
                   },
                   [&](const RecordLateAnswer &late) { text << " answered late by " << late.answer.target; },
               },
               action);
    return text.str();
}

} // namespace Carawaymill

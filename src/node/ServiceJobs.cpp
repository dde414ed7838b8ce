#include "node/ServiceJobs.h"

#include "node/Problem.h"
#include "support/Hash.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Carawaymill {

/// Timeout of a call including its retry, and of each attempt at a target.
static constexpr Duration callTimeout = 30s;
/// Period after the end of a call in which a late response from its target is still recorded. When the outcome was
/// unknown, a caller who repeats the call with the same idempotency key can then get that response.
static constexpr Duration lateResponseTimeout = 60s;

/// Whether the header concerns only the connection or the receiving hop, so that it is not forwarded.
static bool isHopHeader(const std::string &name)
{
    static constexpr std::array<std::string_view, 9> hopHeaders = {"authorization",
                                                                   "connection",
                                                                   "content-length",
                                                                   "expect",
                                                                   "host",
                                                                   "keep-alive",
                                                                   "te",
                                                                   "transfer-encoding",
                                                                   "upgrade"};
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return std::find(hopHeaders.begin(), hopHeaders.end(), lower) != hopHeaders.end();
}

static HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    HttpHeaders kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept), [](const auto &header) {
        return !isHopHeader(header.first);
    });
    return kept;
}

void ServiceJobs::start(AcceptedCall call, const std::function<bool()> &retryAllowed, NodeContext &context)
{
    auto decisions = ServiceCall::create({.job = call.job,
                                          .method = call.http.method,
                                          .entry = std::get<ServiceEntry>(call.entry.backEnd),
                                          .timeout = callTimeout,
                                          .targetUsable =
                                              [&targets = context.targets](const TargetId &target) {
                                                  const TargetAvailability availability = targets.availability(target);
                                                  return availability == TargetAvailability::Available
                                                         || availability == TargetAvailability::Suspect;
                                              },
                                          .retryAllowed = retryAllowed,
                                          .seed = stableHash(call.job.value())});
    if (std::holds_alternative<InvalidServiceCallOptions>(decisions)) {
        context.output.refuse(call.request,
                              {.type = ProblemType::NoTarget, .ran = Ran::No, .detail = "The entry names no target."});
        return;
    }
    const JobId id = call.job;
    const auto [job, isNew] =
        m_jobs.emplace(id, Job{.call = std::move(call), .decisions = std::get<ServiceCall>(std::move(decisions))});
    assert(isNew);
    dispatch(job->second, ServiceCallStarted{}, context);
}

void ServiceJobs::callReturned(const TargetCallReturned &event, NodeContext &context)
{
    if (const auto job = m_jobs.find(event.job); job != m_jobs.end()) {
        dispatch(job->second, TargetAnswered{.attempt = event.attempt, .result = event.result}, context);
    }
}

void ServiceJobs::callerDisconnected(RequestId request, NodeContext &context)
{
    for (auto &[id, job] : m_jobs) {
        if (job.call.request == request) {
            dispatch(job, CallerGone{}, context);
        }
    }
}

void ServiceJobs::tick(NodeContext &context)
{
    for (auto &[id, job] : m_jobs) {
        dispatch(job, Tick{}, context);
    }
    std::erase_if(m_jobs, [&](const auto &entry) {
        const std::optional<TimePoint> &endedAt = entry.second.endedAt;
        return endedAt && context.now - *endedAt > lateResponseTimeout;
    });
}

void ServiceJobs::dispatch(Job &job, const ServiceCallEvent &event, NodeContext &context)
{
    for (const ServiceCallAction &action : job.decisions.handle(event, context.now)) {
        context.output.logDecision(job.call.job, describe(job.call.job, action));
        std::visit(Overloaded{[&](const DispatchToTarget &dispatched) { sendToTarget(job, dispatched, context); },
                              [&](const CompleteCall &completed) { complete(job, completed, context); },
                              [&](const RecordLateAnswer &late) {
                                  m_lateResponses.push_back({.call = job.call.call, .response = late.answer.response});
                              }},
                   action);
    }
}

void ServiceJobs::sendToTarget(const Job &job, const DispatchToTarget &dispatched, NodeContext &context)
{
    const auto &operation = std::get<ServiceCallRequest>(job.call.operation);
    context.output.add(CallTarget{.job = job.call.job,
                                  .attempt = dispatched.attempt,
                                  .address = context.targets.address(dispatched.target),
                                  .request = {.method = job.call.http.method,
                                              .target = operation.path,
                                              .headers = endToEndHeaders(job.call.http.headers),
                                              .body = job.call.http.body},
                                  .timeout = callTimeout});
}

void ServiceJobs::complete(Job &job, const CompleteCall &completed, NodeContext &context)
{
    job.endedAt = context.now;
    context.output.respond(job.call.request, serviceResponse(job.call.job, completed.outcome));
    m_ended.push_back({.call = job.call, .outcome = completed.outcome});
}

HttpResponse serviceResponse(const JobId &job, const Outcome &outcome)
{
    HttpResponse response =
        std::visit(Overloaded{[](const Answered &answered) {
                                  HttpResponse forwarded = answered.response;
                                  forwarded.headers = endToEndHeaders(answered.response.headers);
                                  return forwarded;
                              },
                              [](const NotRun &notRun) {
                                  return problemResponse({.type = ProblemType::NoTarget,
                                                          .ran = Ran::No,
                                                          .detail = "The call was not run.",
                                                          .retryAfter = notRun.retryAfter()});
                              },
                              [](const Unknown &) {
                                  return problemResponse({.type = ProblemType::OutcomeUnknown,
                                                          .ran = Ran::Unknown,
                                                          .detail = "The call may have run. Ask again with the same "
                                                                    "Idempotency-Key to find out."});
                              }},
                   outcome);
    response.headers.emplace_back("X-Carawaymill-Job", job.value());
    return response;
}

} // namespace Carawaymill

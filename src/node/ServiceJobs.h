#pragma once

#include "node/AcceptedCall.h"
#include "node/NodeContext.h"
#include "node/NodeOutput.h"
#include "node/TargetTable.h"
#include "services/ServiceCall.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// How a call to a plain service ended.
struct ServiceJobEnded
{
    AcceptedCall call;
    Outcome outcome;
};

/// A response that arrived after its call had ended with an unknown outcome.
struct LateServiceResponse
{
    CallId call;
    HttpResponse response;
};

/// All calls to plain services in progress on this host.
class ServiceJobs
{
public:
    void start(AcceptedCall call, const std::function<bool()> &retryAllowed, NodeContext &context);
    void callReturned(const TargetCallReturned &event, NodeContext &context);
    void callerDisconnected(RequestId request, NodeContext &context);
    void tick(NodeContext &context);

    [[nodiscard]] std::size_t inProgress() const { return m_jobs.size(); }

    [[nodiscard]] std::vector<ServiceJobEnded> takeEnded() { return std::exchange(m_ended, {}); }

    [[nodiscard]] std::vector<LateServiceResponse> takeLateResponses() { return std::exchange(m_lateResponses, {}); }

private:
    struct Job
    {
        AcceptedCall call;
        ServiceCall decisions;
        /// When the caller got its response; the target's response may still arrive.
        std::optional<TimePoint> endedAt;
    };

    void dispatch(Job &job, const ServiceCallEvent &event, NodeContext &context);
    void sendToTarget(const Job &job, const DispatchToTarget &sendToTarget, NodeContext &context);
    void complete(Job &job, const CompleteCall &complete, NodeContext &context);

    std::map<JobId, Job> m_jobs;
    std::vector<ServiceJobEnded> m_ended;
    std::vector<LateServiceResponse> m_lateResponses;
};

/// The response to the caller for an outcome.
[[nodiscard]] HttpResponse serviceResponse(const JobId &job, const Outcome &outcome);

} // namespace Carawaymill

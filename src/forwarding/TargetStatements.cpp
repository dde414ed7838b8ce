#include "forwarding/TargetStatements.h"

#include "support/Seconds.h"

namespace Carawaymill {

std::vector<std::string> applyStatements(const TargetId &target,
                                         const TargetResponseStarted &head,
                                         ForwardTargets &targets,
                                         TargetRequestLimits &limits,
                                         ChainRouter &router,
                                         TimePoint now)
{
    std::vector<std::string> lines;
    if (head.leaving && !targets.isLeaving(target)) {
        lines.push_back("Forward: event=leaving target=" + target.value());
        targets.recordLeaving(target, router, now);
    }
    if (head.restFor) {
        lines.push_back("Forward: event=resting target=" + target.value()
                        + " for_ms=" + std::to_string(wholeMilliseconds(*head.restFor)));
        targets.recordRest(target, *head.restFor, router, now);
    }
    const bool isAuthentic = head.sealed || (head.notRun && !head.misdirected);
    if (const auto listed = targets.targets().find(target);
        listed != targets.targets().end() && isAuthentic
        && limits.recordStatement(target, listed->second.incarnation, head.requestsPerSecond, now)) {
        lines.push_back("Forward: event=limit target=" + target.value() + " requests_per_s="
                        + (head.requestsPerSecond ? std::to_string(*head.requestsPerSecond) : "none"));
    }
    return lines;
}

bool statesNoRoom(const TargetResponseStarted &head)
{
    static constexpr unsigned statusServiceUnavailable = 503;
    return head.head.status == statusServiceUnavailable && !head.misdirected && !head.restFor;
}

} // namespace Carawaymill

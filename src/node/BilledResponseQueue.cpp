#include "node/BilledResponseQueue.h"

#include "node/NodeOutput.h"

namespace Carawaymill {

/// Maximum time for which a response is held. By then several resends of the bill's copy have failed, so that the host
/// that keeps the copy is considered unreachable.
static constexpr Duration maximumHoldTime = 1s;

void BilledResponseQueue::hold(BillSequence bill, JobId job, std::vector<NodeAction> answer, TimePoint now)
{
    m_held.push_back({.bill = bill, .job = std::move(job), .actions = std::move(answer), .since = now});
}

void BilledResponseQueue::release(BillSequence safeThrough, NodeContext &context)
{
    while (!m_held.empty()) {
        HeldResponse &held = m_held.front();
        const bool safe = held.bill <= safeThrough;
        if (!safe && context.now - held.since < maximumHoldTime) {
            return;
        }
        if (!safe) {
            context.output.logDecision(
                held.job, "Node: job " + held.job.value() + " is answered although its bill is not copied yet.");
        }
        for (NodeAction &action : held.actions) {
            context.output.add(std::move(action));
        }
        m_held.pop_front();
    }
}

} // namespace Carawaymill

#pragma once

#include "ledger/LedgerMessages.h"
#include "node/NodeContext.h"
#include "node/NodeMessages.h"

#include <deque>
#include <vector>

namespace Carawaymill {

/// Holds completed responses until the bills of their jobs are recorded, or copied to another host.
///
/// If a response were sent earlier and this host then crashed, the job would never be billed.
class BilledResponseQueue
{
public:
    /// Queues the actions that complete a response until its bill is safe.
    void hold(BillSequence bill, JobId job, std::vector<NodeAction> answer, TimePoint now);

    /// Sends the responses with bills up to `safeThrough`, and those held longer than the maximum hold time.
    void release(BillSequence safeThrough, NodeContext &context);

    [[nodiscard]] std::size_t waiting() const { return m_held.size(); }

private:
    struct HeldResponse
    {
        BillSequence bill;
        JobId job;
        std::vector<NodeAction> actions;
        TimePoint since;
    };

    /// Ordered by bill sequence.
    std::deque<HeldResponse> m_held;
};

} // namespace Carawaymill

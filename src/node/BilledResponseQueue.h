#pragma once

#include "ledger/LedgerMessages.h"
#include "node/NodeContext.h"
#include "node/NodeMessages.h"

#include <deque>
#include <vector>

namespace Carawaymill {

/// Complete answers that are held until the bills of their jobs would outlive this host.
///
/// An answer that left first could be lost to the ledger if the host died right after it.
class BilledResponseQueue
{
public:
    /// Holds what completes an answer, until its bill is safe.
    void hold(BillSequence bill, JobId job, std::vector<NodeAction> answer, TimePoint now);

    /// Sends the answers whose bills are safe, and those that have waited too long.
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

    /// In the order of their bills.
    std::deque<HeldResponse> m_held;
};

} // namespace Carawaymill

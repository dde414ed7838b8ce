#pragma once

#include "forwarding/FleetRetryBudget.h"
#include "forwarding/ForwardMessages.h"
#include "forwarding/RetryLoanMessages.h"
#include "support/Random.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

struct RetryLoansOptions
{
    std::uint64_t seed = 0;
    /// Number of hosts that are asked at once. With equal shares most hosts have budget left when a target is lost.
    std::size_t lenders = 3;
    /// Retries that each of them is asked for.
    std::uint32_t count = 4;
    /// Below this budget a host that has just retried asks for more, so that the next retry does not have to wait.
    double reserve = 2;
    /// Minimum time between two requests for the same service.
    Duration interval = 100ms;
    /// How long a call waits for a loan. Its caller's objective is half a second or more.
    Duration maximumWait = 200ms;
};

/// Action: send the message to the host.
struct SendRetryLoanMessage
{
    HostId to;
    RetryLoanMessage message;
};

/// Event: a message of another host. It may come late, twice or out of order.
struct RetryLoanMessageReceived
{
    HostId from;
    RetryLoanMessage message;
};

/// A call that waits for retry budget.
struct CallAwaitingLoan
{
    RequestId id;
    ServiceId service;
    /// Why the call is refused if it gets no other target.
    ForwardFailure fallbackReason = ForwardFailure::NoTarget;
    TimePoint since;
};

/// Borrows retry budget from other hosts when this host's share of the fleet's budget is used up, and lends to them.
///
/// A lender counts a loan as its own retries before it sends it, and a loan counts once and for a short time. So all
/// hosts together stay within the budget whatever messages are lost and whichever hosts end.
class RetryLoans
{
public:
    explicit RetryLoans(RetryLoansOptions options);

    /// Sets the other hosts that can be asked.
    void setHosts(std::vector<HostId> others) { m_others = std::move(others); }

    /// Asks other hosts if the budget for the service is below the reserve. Called whenever a retry is needed.
    [[nodiscard]] std::vector<SendRetryLoanMessage>
    replenish(const ServiceId &service, FleetRetryBudget &budget, TimePoint now);

    /// Grants a loan to another host, or adds one that was granted to the budget.
    [[nodiscard]] std::vector<SendRetryLoanMessage>
    handle(const RetryLoanMessageReceived &event, FleetRetryBudget &budget, TimePoint now);

    /// Lets a call wait that lacks budget. Returns false if no loan can be expected.
    [[nodiscard]] bool enqueue(CallAwaitingLoan call);

    /// Asks again for the services that calls wait for: a tick may bring more of them than one request covers, and the
    /// hosts that were asked may have none left.
    [[nodiscard]] std::vector<SendRetryLoanMessage> replenishWaiting(FleetRetryBudget &budget, TimePoint now);

    /// Removes and returns the calls that can go on with the present budget, oldest first.
    [[nodiscard]] std::vector<CallAwaitingLoan> takeFunded(FleetRetryBudget &budget, TimePoint now);

    /// Removes and returns the calls that have waited for the maximum time.
    [[nodiscard]] std::vector<CallAwaitingLoan> takeOverdue(TimePoint now);

    void remove(RequestId id);

    /// Number of retries that were borrowed and lent since the start of the process.
    [[nodiscard]] std::uint64_t borrowed() const { return m_borrowed; }

    [[nodiscard]] std::uint64_t lent() const { return m_lent; }

private:
    /// A request of this host to several others.
    struct OpenRequest
    {
        std::uint64_t number = 0;
        TimePoint sentAt;
        /// Hosts that have not answered.
        std::vector<HostId> asked;
    };

    RetryLoansOptions m_options;
    Random m_random;
    std::vector<HostId> m_others;
    std::map<ServiceId, OpenRequest> m_open;
    /// Starts at a random number, so that no grant for an earlier process of this host counts.
    std::uint64_t m_lastNumber;
    std::vector<CallAwaitingLoan> m_waiting;
    std::uint64_t m_borrowed = 0;
    std::uint64_t m_lent = 0;
};

} // namespace Carawaymill

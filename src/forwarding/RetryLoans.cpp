#include "forwarding/RetryLoans.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Carawaymill {

RetryLoans::RetryLoans(RetryLoansOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_lastNumber(m_random.number() >> 1U)
{
}

std::vector<SendRetryLoanMessage>
RetryLoans::replenish(const ServiceId &service, FleetRetryBudget &budget, TimePoint now)
{
    const auto open = m_open.find(service);
    const bool askedRecently = open != m_open.end() && now - open->second.sentAt < m_options.interval;
    if (m_others.empty() || askedRecently || budget.remaining(service, now) >= m_options.reserve) {
        return {};
    }
    OpenRequest request{.number = ++m_lastNumber, .sentAt = now, .asked = {}};
    std::vector<SendRetryLoanMessage> messages;
    // A partial shuffle draws distinct hosts.
    for (std::size_t drawn = 0; drawn < std::min(m_options.lenders, m_others.size()); ++drawn) {
        std::swap(m_others[drawn], m_others[drawn + m_random.below(m_others.size() - drawn)]);
        request.asked.push_back(m_others[drawn]);
        messages.push_back(
            {.to = m_others[drawn],
             .message = RetryLoanRequest{.number = request.number, .service = service, .count = m_options.count}});
    }
    m_open.insert_or_assign(service, std::move(request));
    return messages;
}

std::vector<SendRetryLoanMessage>
RetryLoans::handle(const RetryLoanMessageReceived &event, FleetRetryBudget &budget, TimePoint now)
{
    if (const auto *request = std::get_if<RetryLoanRequest>(&event.message)) {
        const std::uint32_t count = budget.lend(request->service, std::min(request->count, m_options.count), now);
        m_lent += count;
        if (count == 0) {
            return {};
        }
        return {{.to = event.from,
                 .message = RetryLoanGrant{.number = request->number, .service = request->service, .count = count}}};
    }
    const auto &grant = std::get<RetryLoanGrant>(event.message);
    const auto open = m_open.find(grant.service);
    const bool isExpected =
        open != m_open.end() && open->second.number == grant.number && std::erase(open->second.asked, event.from) > 0;
    if (isExpected) {
        // The loan is valid from when it was asked for: the lender counted it after that.
        budget.addLoan(grant.service, std::min(grant.count, m_options.count), open->second.sentAt);
        m_borrowed += std::min(grant.count, m_options.count);
    }
    return {};
}

bool RetryLoans::enqueue(CallAwaitingLoan call)
{
    if (m_others.empty()) {
        return false;
    }
    m_waiting.push_back(std::move(call));
    return true;
}

std::vector<SendRetryLoanMessage> RetryLoans::replenishWaiting(FleetRetryBudget &budget, TimePoint now)
{
    std::set<ServiceId> services;
    for (const CallAwaitingLoan &call : m_waiting) {
        services.insert(call.service);
    }
    std::vector<SendRetryLoanMessage> messages;
    for (const ServiceId &service : services) {
        std::ranges::move(replenish(service, budget, now), std::back_inserter(messages));
    }
    return messages;
}

std::vector<CallAwaitingLoan> RetryLoans::takeFunded(FleetRetryBudget &budget, TimePoint now)
{
    std::map<ServiceId, double> left;
    std::vector<CallAwaitingLoan> funded;
    std::erase_if(m_waiting, [&](const CallAwaitingLoan &call) {
        double &remaining = left.try_emplace(call.service, budget.remaining(call.service, now)).first->second;
        if (remaining < 1) {
            return false;
        }
        remaining -= 1;
        funded.push_back(call);
        return true;
    });
    return funded;
}

std::vector<CallAwaitingLoan> RetryLoans::takeOverdue(TimePoint now)
{
    std::vector<CallAwaitingLoan> overdue;
    std::erase_if(m_waiting, [&](const CallAwaitingLoan &call) {
        const bool isOverdue = now - call.since >= m_options.maximumWait;
        if (isOverdue) {
            overdue.push_back(call);
        }
        return isOverdue;
    });
    return overdue;
}

void RetryLoans::remove(RequestId id)
{
    std::erase_if(m_waiting, [&](const CallAwaitingLoan &call) { return call.id == id; });
}

} // namespace Carawaymill

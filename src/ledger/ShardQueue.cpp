#include "ledger/ShardQueue.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Carawaymill {

template<typename Waiting>
static bool contains(const std::vector<Waiting> &list, const Waiting &wanted)
{
    return std::ranges::any_of(list, [&](const Waiting &waiting) { return waiting.report == wanted.report; });
}

template<typename Waiting>
static void moveTail(std::vector<Waiting> &from, std::size_t first, std::vector<Waiting> &to)
{
    const auto begin = from.begin() + static_cast<std::ptrdiff_t>(first);
    std::move(begin, from.end(), std::back_inserter(to));
    from.erase(begin, from.end());
}

bool ShardQueue::hasClaim(const ClaimAttempt &attempt) const
{
    const auto isAttempt = [&](const WaitingClaim &claim) { return claim.request.attempt == attempt; };
    return std::ranges::any_of(m_waiting.claims, isAttempt) || std::ranges::any_of(m_committing.claims, isAttempt);
}

bool ShardQueue::addClaim(WaitingClaim claim)
{
    if (m_waiting.claims.size() >= m_limit) {
        return false;
    }
    m_waiting.claims.push_back(std::move(claim));
    return true;
}

void ShardQueue::addOutcome(WaitingOutcome outcome)
{
    const bool known = contains(m_waiting.outcomes, outcome) || contains(m_committing.outcomes, outcome);
    if (!known && m_waiting.outcomes.size() < m_limit) {
        m_waiting.outcomes.push_back(std::move(outcome));
    }
}

void ShardQueue::addBills(WaitingBills bills)
{
    const auto end = [](const WaitingBills &each) { return each.report.first.value() + each.report.bills.size(); };
    for (WaitingBills &waiting : m_waiting.bills) {
        if (waiting.report.stream == bills.report.stream) {
            if (end(waiting) < end(bills)) {
                waiting = std::move(bills);
            }
            return;
        }
    }
    if (!contains(m_committing.bills, bills) && m_waiting.bills.size() < m_limit) {
        m_waiting.bills.push_back(std::move(bills));
    }
}

void ShardQueue::dropClaim(const ClaimAttempt &attempt)
{
    std::erase_if(m_waiting.claims, [&](const auto &claim) { return claim.request.attempt == attempt; });
}

void ShardQueue::formGroup(const ShardStore &store, ShardGroup &group)
{
    std::set<ClaimKey> claimed;
    ShardWork later;
    for (WaitingClaim &claim : m_waiting.claims) {
        const ClaimRequested &request = claim.request;
        // The second claim of a key waits until the first one's fate is known.
        if (!claimed.insert(request.key).second) {
            later.claims.push_back(std::move(claim));
            continue;
        }
        group.entries.emplace_back(
            ClaimMade{.key = request.key, .request = request.request, .attempt = request.attempt});
        m_committing.claims.push_back(std::move(claim));
    }
    for (WaitingOutcome &outcome : m_waiting.outcomes) {
        const OutcomeReported &report = outcome.report;
        group.entries.emplace_back(ClaimEnded{.key = report.key, .attempt = report.attempt, .outcome = report.outcome});
        m_committing.outcomes.push_back(std::move(outcome));
    }
    for (WaitingBills &bills : m_waiting.bills) {
        group.bills.push_back(bills.report);
        m_committing.bills.push_back(std::move(bills));
    }
    m_waiting = std::move(later);
    cutGroup(group, store.fitting(group.entries));
}

void ShardQueue::cutGroup(ShardGroup &group, std::size_t fitting)
{
    group.entries.resize(fitting);
    const std::size_t claims = std::min(fitting, m_committing.claims.size());
    moveTail(m_committing.claims, claims, m_waiting.claims);
    moveTail(m_committing.outcomes, fitting - claims, m_waiting.outcomes);
}

ShardWork ShardQueue::takeCommitted()
{
    return std::exchange(m_committing, {});
}

void ShardQueue::returnGroup()
{
    moveTail(m_committing.outcomes, 0, m_waiting.outcomes);
    moveTail(m_committing.bills, 0, m_waiting.bills);
    m_committing.claims.clear();
}

std::vector<WaitingClaim> ShardQueue::takeWaitingClaims()
{
    return std::exchange(m_waiting.claims, {});
}

void ShardQueue::clear()
{
    m_waiting = {};
    m_committing = {};
}

} // namespace Carawaymill

#include "forwarding/FleetRetryBudget.h"

#include <algorithm>

namespace Carawaymill {

static constexpr int slotsPerWindow = 50;
/// Fraction of the burst that the known hosts share.
static constexpr double usedBurstShare = 0.5;
/// Fraction of the ratio that is used, since the slot at the end of a window is counted as a whole.
static constexpr double usedRatioShare = 0.9;

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetOptions options)
    : m_options(options)
{
}

FleetRetryBudget::Slot &FleetRetryBudget::slot(const ServiceId &service, TimePoint now)
{
    std::deque<Slot> &slots = m_slots[service];
    while (!slots.empty() && now - slots.front().begin > m_options.window) {
        slots.pop_front();
    }
    if (slots.empty() || now - slots.back().begin >= m_options.window / slotsPerWindow) {
        slots.push_back({.begin = now});
    }
    return slots.back();
}

void FleetRetryBudget::recordRequest(const ServiceId &service, TimePoint now)
{
    slot(service, now).requests += 1;
}

void FleetRetryBudget::setHosts(std::size_t hosts, TimePoint now)
{
    updateHosts(now);
    if (hosts > 0) {
        m_knownSince = m_knownSince.value_or(now);
    }
    m_reportedHosts = hosts;
    updateHosts(now);
}

void FleetRetryBudget::updateHosts(TimePoint now)
{
    if (m_reportedHosts < m_hosts) {
        m_fewerSince = m_fewerSince.value_or(now);
        if (now - *m_fewerSince < m_options.window) {
            return;
        }
    }
    m_hosts = m_reportedHosts;
    m_fewerSince.reset();
}

bool FleetRetryBudget::isSettled(TimePoint now) const
{
    return m_knownSince && now - *m_knownSince >= m_options.window;
}

double FleetRetryBudget::burstShare(TimePoint now) const
{
    return isSettled(now) && m_hosts > 0 ? m_options.burst * usedBurstShare / static_cast<double>(m_hosts) : 0;
}

double FleetRetryBudget::sumOf(std::deque<Loan> &loans, TimePoint now)
{
    std::erase_if(loans, [&](const Loan &loan) { return now >= loan.until || loan.count <= 0; });
    double sum = 0;
    for (const Loan &loan : loans) {
        sum += loan.count;
    }
    return sum;
}

double FleetRetryBudget::ownRemaining(const ServiceId &service, TimePoint now)
{
    updateHosts(now);
    (void)slot(service, now);
    double requests = 0;
    double retries = sumOf(m_lent[service], now);
    for (const Slot &counted : m_slots.at(service)) {
        requests += counted.requests;
        retries += counted.retries;
    }
    return requests * m_options.ratio * usedRatioShare + burstShare(now) - retries;
}

double FleetRetryBudget::remaining(const ServiceId &service, TimePoint now)
{
    return std::max(0.0, ownRemaining(service, now)) + sumOf(m_borrowed[service], now);
}

std::uint32_t FleetRetryBudget::lend(const ServiceId &service, std::uint32_t wanted, TimePoint now)
{
    const double half = ownRemaining(service, now) / 2;
    if (!isSettled(now) || half < 1) {
        return 0;
    }
    const auto lent = std::min(wanted, static_cast<std::uint32_t>(half));
    // The borrower may send them as late as the loan is valid.
    m_lent[service].push_back({.until = now + m_options.window + m_options.loanValidity, .count = double(lent)});
    return lent;
}

void FleetRetryBudget::addLoan(const ServiceId &service, std::uint32_t count, TimePoint lentAt)
{
    m_borrowed[service].push_back({.until = lentAt + m_options.loanValidity, .count = double(count)});
}

bool FleetRetryBudget::tryRetry(const ServiceId &service, TimePoint now)
{
    if (ownRemaining(service, now) >= 1) {
        slot(service, now).retries += 1;
    } else if (sumOf(m_borrowed[service], now) >= 1) {
        m_borrowed.at(service).front().count -= 1;
    } else {
        ++m_refused;
        return false;
    }
    ++m_granted;
    return true;
}

} // namespace Carawaymill

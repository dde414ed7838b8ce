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

double FleetRetryBudget::burstShare(TimePoint now) const
{
    const bool isSettled = m_knownSince && now - *m_knownSince >= m_options.window;
    return isSettled && m_hosts > 0 ? m_options.burst * usedBurstShare / static_cast<double>(m_hosts) : 0;
}

bool FleetRetryBudget::tryRetry(const ServiceId &service, TimePoint now)
{
    updateHosts(now);
    Slot &current = slot(service, now);
    double requests = 0;
    double retries = 1;
    for (const Slot &counted : m_slots.at(service)) {
        requests += counted.requests;
        retries += counted.retries;
    }
    if (retries > requests * m_options.ratio * usedRatioShare + burstShare(now)) {
        ++m_refused;
        return false;
    }
    ++m_granted;
    current.retries += 1;
    return true;
}

} // namespace Carawaymill

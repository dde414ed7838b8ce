#include "forwarding/TargetReach.h"

#include <algorithm>
#include <utility>

namespace Carawaymill {

/// Two targets that fail one after the other may be the first sign of lost links.
static constexpr std::size_t doubtfulFailures = 2;

std::size_t TargetReach::recentFailures(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_failures, [&](const auto &failure) { return now - failure.second < m_options.failureLifetime; }));
}

bool TargetReach::recordFailure(const TargetId &target, std::size_t targets, TimePoint now)
{
    if (m_separated) {
        return false;
    }
    if (recentFailures(now) == 0) {
        clear();
    }
    m_failures[target] = now;
    m_firstFailureAt = m_firstFailureAt.value_or(now);
    m_separated = m_failedProbes >= m_options.probesUntilSeparated
                  && recentFailures(now) >= std::clamp<std::size_t>(targets, 1, m_options.failuresUntilSeparated);
    return m_separated;
}

void TargetReach::recordReached(TimePoint sentAt)
{
    // An attempt that was sent before the first failure may have been connected before the links were lost.
    if (!m_separated && m_firstFailureAt && sentAt > *m_firstFailureAt) {
        clear();
    }
}

bool TargetReach::takeProbeDue(TimePoint now)
{
    if (!isDoubtful(now) || now < m_nextProbeAt) {
        return false;
    }
    m_nextProbeAt = now + (m_separated ? m_options.probeInterval : m_options.doubtProbeInterval);
    return true;
}

bool TargetReach::recordProbeConnected()
{
    clear();
    return std::exchange(m_separated, false);
}

bool TargetReach::recordProbeFailed(const TargetId &target, std::size_t targets, TimePoint now)
{
    ++m_failedProbes;
    return recordFailure(target, targets, now);
}

void TargetReach::clear()
{
    m_failures.clear();
    m_firstFailureAt.reset();
    m_failedProbes = 0;
}

bool TargetReach::isDoubtful(TimePoint now) const
{
    return m_separated || recentFailures(now) >= doubtfulFailures;
}

std::vector<TargetId> TargetReach::unreached() const
{
    std::vector<TargetId> targets;
    for (const auto &[target, at] : m_failures) {
        targets.push_back(target);
    }
    return targets;
}

} // namespace Carawaymill

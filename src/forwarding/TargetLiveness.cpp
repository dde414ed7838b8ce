#include "forwarding/TargetLiveness.h"

#include <algorithm>

namespace Carawaymill {

void TargetLiveness::recordSign(const TargetId &target, TimePoint now)
{
    m_lastSigns.insert_or_assign(target, now);
    m_unansweredAt.erase(target);
}

void TargetLiveness::recordSigns(const std::vector<PathStage> &path, TimePoint now)
{
    for (const PathStage &stage : path) {
        recordSign(stage.target, now);
    }
}

bool TargetLiveness::hasShownSignSince(const TargetId &target, TimePoint time) const
{
    const auto last = m_lastSigns.find(target);
    return last != m_lastSigns.end() && last->second > time;
}

std::optional<Duration> TargetLiveness::longestSilence(const std::vector<PathStage> &path, TimePoint now) const
{
    Duration longest{};
    for (const PathStage &stage : path) {
        const auto last = m_lastSigns.find(stage.target);
        if (last == m_lastSigns.end()) {
            return std::nullopt;
        }
        longest = std::max(longest, now - last->second);
    }
    return longest;
}

std::vector<TargetId> TargetLiveness::withoutRecentSign(const std::vector<PathStage> &path, TimePoint now) const
{
    std::vector<TargetId> targets;
    for (const PathStage &stage : path) {
        if (!hasShownSignSince(stage.target, now - m_options.signLifetime)) {
            targets.push_back(stage.target);
        }
    }
    return targets;
}

void TargetLiveness::endQuery(const TargetId &target, bool answered, TimePoint now)
{
    m_openQueries.erase(target);
    if (!answered) {
        m_unansweredAt.insert_or_assign(target, now);
    }
}

std::set<TargetId> TargetLiveness::unanswered(TimePoint now) const
{
    std::set<TargetId> targets;
    for (const auto &[target, at] : m_unansweredAt) {
        if (now - at < m_options.unansweredPeriod) {
            targets.insert(target);
        }
    }
    return targets;
}

void TargetLiveness::forget(const TargetId &target)
{
    m_lastSigns.erase(target);
    m_openQueries.erase(target);
    m_unansweredAt.erase(target);
}

} // namespace Carawaymill

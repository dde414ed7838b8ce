#include "forwarding/TargetLiveness.h"

#include <algorithm>

namespace Carawaymill {

void TargetLiveness::recordSign(const TargetId &target, TimePoint now)
{
    m_lastSigns.insert_or_assign(target, now);
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

} // namespace Carawaymill

#include "forwarding/TargetLiveness.h"

#include <algorithm>
#include <utility>

namespace Carawaymill {

void TargetLiveness::recordSign(const TargetId &target, TimePoint now)
{
    if (const auto found = m_targets.find(target); found != m_targets.end()) {
        found->second.lastSign = now;
        found->second.unansweredAt.reset();
    }
}

void TargetLiveness::recordSigns(const std::vector<PathStage> &path, TimePoint now)
{
    for (const PathStage &stage : path) {
        recordSign(stage.target, now);
    }
}

bool TargetLiveness::hasShownSignSince(const TargetId &target, TimePoint time) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.lastSign > time;
}

std::optional<Duration> TargetLiveness::longestSilence(const std::vector<PathStage> &path, TimePoint now) const
{
    Duration longest{};
    for (const PathStage &stage : path) {
        const auto found = m_targets.find(stage.target);
        if (found == m_targets.end() || !found->second.lastSign) {
            return std::nullopt;
        }
        longest = std::max(longest, now - *found->second.lastSign);
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

bool TargetLiveness::beginQuery(const TargetId &target)
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && !std::exchange(found->second.queryIsOpen, true);
}

std::vector<ProbeTarget> TargetLiveness::beginQueries(const std::vector<TargetId> &targets,
                                                      const std::map<TargetId, DirectoryTarget> &listed,
                                                      Duration timeout)
{
    std::vector<ProbeTarget> probes;
    for (const TargetId &target : targets) {
        const auto found = listed.find(target);
        if (found != listed.end() && beginQuery(target)) {
            probes.push_back({.target = target,
                              .address = found->second.address,
                              .timeout = timeout,
                              .purpose = ProbePurpose::Liveness});
        }
    }
    return probes;
}

void TargetLiveness::endQuery(const TargetId &target, bool answered, TimePoint now)
{
    if (const auto found = m_targets.find(target); found != m_targets.end()) {
        found->second.queryIsOpen = false;
        if (!answered) {
            found->second.unansweredAt = now;
        }
    }
}

std::set<TargetId> TargetLiveness::unanswered(TimePoint now) const
{
    std::set<TargetId> targets;
    for (const auto &[target, state] : m_targets) {
        if (state.unansweredAt && now - *state.unansweredAt < m_options.unansweredPeriod) {
            targets.insert(target);
        }
    }
    return targets;
}

} // namespace Carawaymill

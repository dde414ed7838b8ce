#pragma once

#include "forwarding/ForwardTargets.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// Knows when each target last showed that it works, by events of a response or by the reply to a query.
class TargetLiveness
{
public:
    /// Records that the target replied.
    void recordSign(const TargetId &target, TimePoint now);

    /// Records that events of a response arrived, for which every target on its path has worked.
    void recordSigns(const std::vector<PathStage> &path, TimePoint now);

    /// Whether the target has shown a sign after `time`.
    [[nodiscard]] bool hasShownSignSince(const TargetId &target, TimePoint time) const;

    /// Time since the least recent of the last signs of the path's targets; std::nullopt if one has given none yet.
    [[nodiscard]] std::optional<Duration> longestSilence(const std::vector<PathStage> &path, TimePoint now) const;

    /// Forgets a target that is no longer listed.
    void forget(const TargetId &target) { m_lastSigns.erase(target); }

private:
    std::map<TargetId, TimePoint> m_lastSigns;
};

} // namespace Carawaymill

#pragma once

#include "forwarding/ForwardTargets.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Carawaymill {

struct TargetLivenessOptions
{
    /// A sign that is at most this old shows that the target works. Streams have events more often.
    Duration signLifetime = 150ms;
    /// A target that did not reply to a query is left out for this time, unless it shows a sign.
    Duration unansweredPeriod = 500ms;
};

/// Knows when each target last showed that it works, by events of a response or by the reply to a query, and which
/// targets are to be queried for such a sign.
class TargetLiveness
{
public:
    explicit TargetLiveness(TargetLivenessOptions options = {})
        : m_options(options)
    {
    }

    /// Records that the target replied.
    void recordSign(const TargetId &target, TimePoint now);

    /// Records that events of a response arrived, for which every target on its path has worked.
    void recordSigns(const std::vector<PathStage> &path, TimePoint now);

    /// Whether the target has shown a sign after `time`.
    [[nodiscard]] bool hasShownSignSince(const TargetId &target, TimePoint time) const;

    /// Time since the least recent of the last signs of the path's targets; std::nullopt if one has given none yet.
    [[nodiscard]] std::optional<Duration> longestSilence(const std::vector<PathStage> &path, TimePoint now) const;

    /// The targets on the path that have shown no sign recently.
    [[nodiscard]] std::vector<TargetId> withoutRecentSign(const std::vector<PathStage> &path, TimePoint now) const;

    /// Records that a query is sent to the target. Returns false, and none is to be sent, while one is open.
    [[nodiscard]] bool beginQuery(const TargetId &target) { return m_openQueries.insert(target).second; }

    /// Records the end of a query. A reply is recorded with recordSign().
    void endQuery(const TargetId &target, bool answered, TimePoint now);

    /// The targets that have not replied to their last query, a short time ago, and have shown no sign since.
    [[nodiscard]] std::set<TargetId> unanswered(TimePoint now) const;

    /// Forgets a target that is no longer listed.
    void forget(const TargetId &target);

private:
    TargetLivenessOptions m_options;
    std::map<TargetId, TimePoint> m_lastSigns;
    std::set<TargetId> m_openQueries;
    /// When the last query of each target ended without a reply.
    std::map<TargetId, TimePoint> m_unansweredAt;
};

} // namespace Carawaymill

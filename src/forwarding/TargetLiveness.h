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

/// Knows when each listed target last showed that it works, by events of a response or by the reply to a query, and
/// which targets are to be queried for such a sign.
class TargetLiveness
{
public:
    explicit TargetLiveness(TargetLivenessOptions options = {})
        : m_options(options)
    {
    }

    /// Begins and ends the record of a target. What arrives of targets that are not listed is ignored.
    void listed(const TargetId &target) { m_targets.try_emplace(target); }

    void unlisted(const TargetId &target) { m_targets.erase(target); }

    /// Records that the target replied, or that it began a response.
    void recordSign(const TargetId &target, TimePoint now);

    /// Records that events of a response arrived, for which every target on its path has worked.
    void recordSigns(const std::vector<PathStage> &path, TimePoint now);

    /// Whether the target has shown a sign after `time`.
    [[nodiscard]] bool hasShownSignSince(const TargetId &target, TimePoint time) const;

    /// Time since the least recent of the last signs of the path's targets; std::nullopt if one has given none yet.
    [[nodiscard]] std::optional<Duration> longestSilence(const std::vector<PathStage> &path, TimePoint now) const;

    /// The targets on the path that have shown no sign recently.
    [[nodiscard]] std::vector<TargetId> withoutRecentSign(const std::vector<PathStage> &path, TimePoint now) const;

    /// Records that a query is sent to the target. Returns false, and none is to be sent, while one is open and for
    /// targets that are not listed.
    [[nodiscard]] bool beginQuery(const TargetId &target);

    /// The probes that query those of the targets for which beginQuery() returns true. `listed`: targets with
    /// addresses.
    [[nodiscard]] std::vector<ProbeTarget> beginQueries(const std::vector<TargetId> &targets,
                                                        const std::map<TargetId, DirectoryTarget> &listed,
                                                        Duration timeout);

    /// Records the end of a query. A reply is recorded with recordSign().
    void endQuery(const TargetId &target, bool answered, TimePoint now);

    /// The targets that have not replied to their last query, a short time ago, and have shown no sign since.
    [[nodiscard]] std::set<TargetId> unanswered(TimePoint now) const;

    [[nodiscard]] std::size_t size() const { return m_targets.size(); }

private:
    struct State
    {
        std::optional<TimePoint> lastSign;
        bool queryIsOpen = false;
        /// When the last query ended without a reply, unless a sign came later.
        std::optional<TimePoint> unansweredAt;
    };

    TargetLivenessOptions m_options;
    std::map<TargetId, State> m_targets;
};

} // namespace Carawaymill

#pragma once

#include "forwarding/ForwardMessages.h"
#include "quarantine/CrashAttribution.h"

#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// Tells crashes of targets from connections that broke for other reasons.
///
/// After a lost response the target is queried: one that does not answer has crashed. All losses at one target within
/// a short time belong to one crash.
class CrashObserver
{
public:
    /// Records that a response was lost and what had just begun on its target. Returns whether the target must be
    /// queried, with the id and the attempt that were lost.
    [[nodiscard]] bool recordLoss(const TargetId &target,
                                  RequestId id,
                                  AttemptNumber attempt,
                                  const std::vector<RequestTrait> &traits,
                                  TimePoint now);

    void recordReport(const ProgressReported &report);

    /// The crashes whose losses have been collected and that the target's silence confirms.
    [[nodiscard]] std::vector<TargetCrashObserved> takeCrashes(TimePoint now);

private:
    struct Loss
    {
        RequestId id;
        AttemptNumber attempt;
        TimePoint at;
        std::map<Fingerprint, std::uint32_t> traits;
        /// Whether the target has answered the query; std::nullopt while the query is in progress.
        std::optional<bool> answered;
    };

    std::map<TargetId, Loss> m_losses;
};

} // namespace Carawaymill

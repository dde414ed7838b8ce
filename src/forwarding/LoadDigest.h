#pragma once

#include "routing/RoutingMessages.h"
#include "support/Codec.h"
#include "support/Time.h"

#include <map>
#include <set>

namespace Carawaymill {

/// What one host's streams take up on the targets, as it tells the others. JSON: `[[target, openLayers, cache], ...]`.
using LoadDigest = std::map<TargetId, OtherHostsLoad>;

[[nodiscard]] nlohmann::json toJson(const LoadDigest &digest);
[[nodiscard]] Result<LoadDigest, DecodeFailure> readLoadDigest(const nlohmann::json &json);

/// Adds up what the other hosts have told.
class OtherHostsLoads
{
public:
    void told(const HostId &host, LoadDigest digest, TimePoint now);

    /// The sums over all hosts that told lately. A target that was in an earlier sum and is in none now is there with
    /// zero load.
    [[nodiscard]] LoadDigest sums(TimePoint now);

private:
    struct Told
    {
        LoadDigest digest;
        TimePoint at;
    };

    std::map<HostId, Told> m_told;
    std::set<TargetId> m_summed;
};

} // namespace Carawaymill

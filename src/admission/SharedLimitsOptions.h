#pragma once

#include "admission/ShareMessages.h"
#include "support/Time.h"

#include <cstdint>

namespace Carawaymill {

struct SharedLimitsOptions
{
    HostId self;
    /// Higher than at any earlier start of this host, for example its start time.
    ProcessEpoch epoch = ProcessEpoch(1);
    /// The same on every host.
    std::uint16_t shards = 128;
    /// The part of its portion that a host never lends, so that it can serve a little without anybody's word.
    unsigned retainedPercent = 10;
    /// Shares are renewed so often at least; see `SharedLimits` for the times that follow from it.
    Duration shortestRenewal = 500ms;
    /// In a large fleet the time between renewals is so much for each host, which bounds an allocator's load.
    Duration renewalPerHost = 40ms;
    /// New demand is reported at once, but not to the same allocator again within this time.
    Duration urgentInterval = 100ms;
    /// A host may have lent its portion in a former life, so it lends nothing for one loan time after its start. Set
    /// only when no earlier loan can be out, that is when the whole deployment starts for the first time.
    bool firstStartOfDeployment = false;
};

/// An option that cannot work.
struct InvalidSharedLimitsOptions
{
    /// Name of the option.
    std::string option;
};

} // namespace Carawaymill

#pragma once

#include "forwarding/ForwardTargets.h"
#include "forwarding/TargetRequestLimits.h"

#include <string>
#include <vector>

namespace Carawaymill {

/// Applies what the head of a response states about the target that sent it: that it leaves, that it rests, and how
/// many requests a second it takes. Returns the log lines.
[[nodiscard]] std::vector<std::string> applyStatements(const TargetId &target,
                                                       const TargetResponseStarted &head,
                                                       ForwardTargets &targets,
                                                       TargetRequestLimits &limits,
                                                       ChainRouter &router,
                                                       TimePoint now);

} // namespace Carawaymill

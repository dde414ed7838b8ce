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

/// Whether a target that has not run a request states by it that it, or the target that it names, has no room for any
/// host. A refusal with 429 or with a time to rest concerns this host alone.
[[nodiscard]] bool statesNoRoom(const TargetResponseStarted &head);

} // namespace Carawaymill

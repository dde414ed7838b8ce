#pragma once

#include <cstdint>

namespace Carawaymill {

/// How the stand-in's watches misbehave.
enum class WatchFault {
    None,
    /// Watches report nothing; a later watch from the same revision still sees every change.
    Silent,
    /// Watches report nothing, yet move on to the present revision: the changes in between are skipped for good.
    Skipping,
};

/// What goes wrong at the key-value stand-in.
struct KeyValueFaults
{
    /// Every call is answered `ServiceUnavailable`; leases keep lapsing.
    bool outage = false;
    /// So many of the next writes (commits and lease calls) take effect, but are answered `OutcomeUnknown`.
    std::uint32_t nextAnswersLost = 0;
    /// So many of the next writes are answered `OutcomeUnknown` without effect.
    std::uint32_t nextCallsLost = 0;
    /// Share of all calls, from 0 to 1, that take effect but are answered `OutcomeUnknown`.
    double answerLossProbability = 0;
    /// Share of all calls, from 0 to 1, that are answered `OutcomeUnknown` without effect.
    double callLossProbability = 0;
    WatchFault watches = WatchFault::None;
};

} // namespace Carawaymill

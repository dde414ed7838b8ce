#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"

#include <algorithm>
#include <optional>

namespace Carawaymill {

/// How far a replica is known to be complete.
struct CatalogueProgress
{
    /// Whether the whole catalogue has ever been known here.
    bool loaded = false;
    /// Every change up to this store revision is in force here.
    Revision revision;
    /// Every change accepted before this time is in force here.
    std::optional<TimePoint> completeAt;
    /// When the last call that the service answered was sent.
    std::optional<TimePoint> serviceAnsweredAt;

    /// Notes that every change up to `upTo`, and all accepted before `time`, are in force here. Never goes back.
    void advance(Revision upTo, TimePoint time)
    {
        loaded = true;
        revision = std::max(revision, upTo);
        completeUntil(time);
    }

    /// Notes that all changes accepted before `time` are in force here.
    void completeUntil(TimePoint time) { completeAt = std::max(completeAt.value_or(time), time); }

    /// Every change accepted longer ago than this is in force here.
    [[nodiscard]] std::optional<Duration> staleness(TimePoint now) const
    {
        return completeAt ? std::optional<Duration>(now - *completeAt) : std::nullopt;
    }
};

} // namespace Carawaymill

#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "support/Backoff.h"
#include "support/Random.h"
#include "support/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

struct RangeWatchOptions
{
    std::string prefix;
    std::uint64_t seed = 0;
    /// A watch is answered after so long even when nothing has changed. Bounds how long a silent connection to the
    /// service goes unnoticed, and how old a confirmed reading gets.
    Duration wait = 1s;
    /// Least time between two calls, so that changes in quick succession are read together.
    Duration leastInterval{};
    /// On top of the wait. Well above the answer time of a slow service.
    Duration callTimeout = 800ms;
    BackoffOptions backoff = {.initial = 100ms, .maximum = 800ms};
};

/// What has changed below the prefix.
struct RangeUpdate
{
    /// `written` is all there is; what is not in it does not exist.
    bool whole = false;
    std::vector<KeyValueRecord> written;
    std::vector<std::string> deletedKeys;
};

/// Follows all records below one prefix: reads them, then watches from there, and reads anew when history is lost.
class RangeWatch
{
public:
    explicit RangeWatch(RangeWatchOptions options);

    /// The call to make now, if any.
    [[nodiscard]] std::optional<KeyValueCall> nextCall(TimePoint now);

    /// The changes that the answer brings; nothing when it brings none.
    [[nodiscard]] std::optional<RangeUpdate> handle(const KeyValueReply &reply, TimePoint now);

    /// What is known was in force at the service at this time or later. Counted from when a call was made, so that no
    /// delay of its answer makes it too young. Nothing before the first reading.
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }

    /// Calls that failed in a row.
    [[nodiscard]] std::uint32_t failures() const { return m_failures; }

private:
    struct InFlight
    {
        CallId id;
        TimePoint sentAt;
        TimePoint deadline;
    };

    void failed(TimePoint now);

    RangeWatchOptions m_options;
    Random m_random;
    Backoff m_backoff;
    CallId m_lastCall;
    std::optional<InFlight> m_inFlight;
    /// Nothing when the range has to be read.
    std::optional<Revision> m_watchAfter;
    std::optional<TimePoint> m_confirmedAt;
    TimePoint m_nextAt{};
    std::uint32_t m_failures = 0;
};

} // namespace Carawaymill

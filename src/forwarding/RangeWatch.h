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
    /// The service answers a watch after this time even without a change. Bounds how long an unresponsive connection to
    /// the service goes unnoticed, and the age of the last confirmation.
    Duration wait = 1s;
    /// The same for a watch that follows a failed call.
    Duration waitAfterFailure = 100ms;
    /// Minimum time between two calls, so that changes in quick succession are received together.
    Duration minimumInterval{};
    /// Timeout in addition to the wait; well above the response time of a slow service.
    Duration callTimeout = 800ms;
    BackoffOptions backoff = {.initial = 100ms, .maximum = 800ms};
};

/// Changes of the records below the prefix.
struct RangeUpdate
{
    /// `written` is the complete range; other records do not exist.
    bool complete = false;
    std::vector<KeyValueRecord> written;
    std::vector<std::string> deletedKeys;
};

/// Replicates all records below one prefix: reads them, then watches for changes, and reads them again if the service
/// has compacted the history.
class RangeWatch
{
public:
    explicit RangeWatch(RangeWatchOptions options);

    /// The call to make now; std::nullopt if a call is in flight or the next one is not due.
    [[nodiscard]] std::optional<KeyValueCall> nextCall(TimePoint now);

    /// The changes in the reply; std::nullopt if the call recordFailure or the reply is not the expected one.
    [[nodiscard]] std::optional<RangeUpdate> handle(const KeyValueReply &reply, TimePoint now);

    /// Forgets the revision and the call in flight: the next call, which is due now, reads the range.
    void restart(TimePoint now);

    /// Makes a call that a failure has delayed due now: the service is available again.
    void endDelay(TimePoint now);

    /// The replicated records were current at the service at this time or later. Counted from the start of the call, so
    /// that a delayed reply never counts as more recent than it is. std::nullopt before the first successful read.
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }

    /// Number of consecutive recordFailure calls.
    [[nodiscard]] std::uint32_t failures() const { return m_failures; }

private:
    struct InFlight
    {
        CallId id;
        TimePoint sentAt;
        TimePoint deadline;
    };

    /// Ends the call in flight and delays the next one by the backoff.
    void recordFailure(TimePoint now);

    RangeWatchOptions m_options;
    Random m_random;
    Backoff m_backoff;
    CallId m_lastCall;
    std::optional<InFlight> m_inFlight;
    /// std::nullopt if the range has to be read.
    std::optional<Revision> m_watchAfter;
    std::optional<TimePoint> m_confirmedAt;
    TimePoint m_nextAt{};
    std::uint32_t m_failures = 0;
};

} // namespace Carawaymill

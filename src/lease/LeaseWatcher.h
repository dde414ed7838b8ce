#pragma once

#include "lease/LeaseOptions.h"
#include "lease/LeaseRecords.h"
#include "support/Backoff.h"
#include "support/Random.h"

#include <optional>

namespace Carawaymill {

/// Keeps `LeaseRecords` up to date while this host waits for a scope: reads both ranges, then watches the lease records
/// by one waiting call for all scopes.
class LeaseWatcher
{
public:
    explicit LeaseWatcher(const LeaseManagerOptions &options);

    /// The call to make now, if any. `needed`: whether this host waits for a scope.
    [[nodiscard]] std::optional<KeyValueRequest> nextRequest(bool needed, TimePoint now);

    /// The answer to the last request, `OutcomeUnknown` when none came.
    void handleAnswer(const KeyValueResult &result, LeaseRecords &records, TimePoint now);

    [[nodiscard]] bool awaitsAnswer() const { return m_inFlight.has_value(); }

    /// Whether the records have been read at least once.
    [[nodiscard]] bool hasRead() const { return m_fencingRead && m_leasesReadAt.has_value(); }

private:
    void takeReading(const RangeRead &reading, LeaseRecords &records, TimePoint now);

    LeaseManagerOptions m_options;
    Random m_random;
    Backoff m_backoff;
    std::optional<KeyValueRequest> m_inFlight;
    bool m_fencingRead = false;
    std::optional<TimePoint> m_leasesReadAt;
    Revision m_watchAfter;
    TimePoint m_nextAt;
};

} // namespace Carawaymill

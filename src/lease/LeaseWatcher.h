#pragma once

#include "lease/LeaseOptions.h"
#include "lease/LeaseRecords.h"
#include "support/Backoff.h"
#include "support/Random.h"

#include <optional>

namespace Carawaymill {

/// Keeps `LeaseRecords` up to date while this host waits for a scope: reads the fencing and the lease records, then
/// watches the lease records of all scopes with one long-polling call.
class LeaseWatcher
{
public:
    explicit LeaseWatcher(const LeaseManagerOptions &options);

    /// The call to make now, or std::nullopt. `needed`: whether this host waits for a scope.
    [[nodiscard]] std::optional<KeyValueRequest> nextRequest(bool needed, TimePoint now);

    /// Handles the result of the last request: `OutcomeUnknown` if there was no response.
    void handleResponse(const KeyValueResult &result, LeaseRecords &records, TimePoint now);

    /// Forgets the call in flight and what was read; both ranges are read again.
    void restart(TimePoint now);

    [[nodiscard]] bool awaitsResponse() const { return m_inFlight.has_value(); }

    /// Whether the fencing records and the lease records have both been read, and no watch was compacted since.
    [[nodiscard]] bool hasRead() const { return m_fencingRead && m_leasesReadAt.has_value(); }

private:
    void applyReading(const RangeRead &reading, LeaseRecords &records, TimePoint now);

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

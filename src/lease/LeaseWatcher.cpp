#include "lease/LeaseWatcher.h"

namespace Carawaymill {

/// Limits the rate of watch calls when records change in quick succession.
static constexpr Duration minimumWatchInterval = 200ms;

/// Makes the watcher's random numbers differ from those of the session, which has the same seed.
static constexpr std::uint64_t watcherSeed = 0x77617463;

LeaseWatcher::LeaseWatcher(const LeaseManagerOptions &options)
    : m_options(options)
    , m_random(options.seed ^ watcherSeed)
    , m_backoff({.initial = 500ms, .maximum = options.maximumRetryDelay})
{
}

std::optional<KeyValueRequest> LeaseWatcher::nextRequest(bool needed, TimePoint now)
{
    if (m_inFlight || !needed || now < m_nextAt) {
        return std::nullopt;
    }
    if (!m_fencingRead) {
        m_inFlight = ReadRange{.prefix = fencingPrefix};
    } else if (!m_leasesReadAt || now >= *m_leasesReadAt + m_options.rereadInterval) {
        m_inFlight = ReadRange{.prefix = leasePrefix};
    } else {
        m_inFlight = WatchRange{.prefix = leasePrefix, .after = m_watchAfter, .wait = m_options.watchWait};
    }
    return m_inFlight;
}

void LeaseWatcher::handleResponse(const KeyValueResult &result, LeaseRecords &records, TimePoint now)
{
    if (!m_inFlight) {
        return;
    }
    if (const auto *reading = std::get_if<RangeRead>(&result)) {
        applyReading(*reading, records, now);
    } else if (const auto *changes = std::get_if<RangeChanged>(&result)) {
        records.applyChanges(*changes);
        m_watchAfter = changes->storeRevision;
        m_backoff.reset();
        m_nextAt = now + minimumWatchInterval;
    } else if (std::holds_alternative<WatchCompacted>(result)) {
        m_leasesReadAt.reset();
        m_nextAt = now + m_backoff.next(m_random);
    } else {
        m_nextAt = now + m_backoff.next(m_random);
    }
    m_inFlight.reset();
}

void LeaseWatcher::restart(TimePoint now)
{
    m_inFlight.reset();
    m_fencingRead = false;
    m_leasesReadAt.reset();
    m_nextAt = now;
}

void LeaseWatcher::applyReading(const RangeRead &reading, LeaseRecords &records, TimePoint now)
{
    const std::string &prefix = std::get<ReadRange>(*m_inFlight).prefix;
    records.applyReading(reading, prefix);
    m_backoff.reset();
    m_nextAt = now;
    if (prefix == fencingPrefix) {
        m_fencingRead = true;
        return;
    }
    // If the read returned an old state, the next watch reports the changes since then.
    m_watchAfter = reading.storeRevision;
    m_leasesReadAt = now;
}

} // namespace Carawaymill

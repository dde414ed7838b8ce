#include "forwarding/RangeWatch.h"

#include <algorithm>

namespace Carawaymill {

/// A call without a reply this long after its timeout is considered lost, although the driver should reply to each
/// call.
static constexpr Duration replyGracePeriod = 500ms;

RangeWatch::RangeWatch(RangeWatchOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_backoff(m_options.backoff)
{
}

std::optional<KeyValueCall> RangeWatch::nextCall(TimePoint now)
{
    if (m_inFlight && now >= m_inFlight->deadline) {
        recordFailure(now);
    }
    if (m_inFlight || now < m_nextAt) {
        return std::nullopt;
    }
    m_lastCall = m_lastCall.next();
    KeyValueCall call{.id = m_lastCall, .request = ReadRange{m_options.prefix}, .timeout = m_options.callTimeout};
    Duration wait{};
    if (m_watchAfter) {
        // After a failure the service may be out of reach, and a long wait would hide its return.
        wait = m_failures == 0 ? m_options.wait : m_options.waitAfterFailure;
        call.request = WatchRange{.prefix = m_options.prefix, .after = *m_watchAfter, .wait = wait};
    }
    m_inFlight =
        InFlight{.id = m_lastCall, .sentAt = now, .deadline = now + wait + m_options.callTimeout + replyGracePeriod};
    return call;
}

std::optional<RangeUpdate> RangeWatch::handle(const KeyValueReply &reply, TimePoint now)
{
    if (!m_inFlight || reply.id != m_inFlight->id) {
        return std::nullopt;
    }
    const TimePoint sentAt = m_inFlight->sentAt;
    std::optional<RangeUpdate> update;
    if (const auto *read = std::get_if<RangeRead>(&reply.result)) {
        m_watchAfter = read->storeRevision;
        update = RangeUpdate{.complete = true, .written = read->records, .deletedKeys = {}};
    } else if (const auto *changed = std::get_if<RangeChanged>(&reply.result)) {
        m_watchAfter = changed->storeRevision;
        update = RangeUpdate{.complete = false, .written = changed->written, .deletedKeys = changed->deletedKeys};
    } else {
        if (std::holds_alternative<WatchCompacted>(reply.result)) {
            m_watchAfter.reset();
            // The service is available again, so that earlier failures do not delay the read.
            m_backoff.reset();
        }
        recordFailure(now);
        return std::nullopt;
    }
    m_inFlight.reset();
    m_confirmedAt = std::max(m_confirmedAt.value_or(TimePoint()), sentAt - reply.age);
    m_failures = 0;
    m_backoff.reset();
    m_nextAt = std::max(now, sentAt + m_options.minimumInterval);
    return update;
}

void RangeWatch::restart(TimePoint now)
{
    m_inFlight.reset();
    m_watchAfter.reset();
    m_nextAt = now;
}

void RangeWatch::endDelay(TimePoint now)
{
    if (m_failures > 0) {
        m_nextAt = std::min(m_nextAt, now);
        m_backoff.reset();
    }
}

void RangeWatch::recordFailure(TimePoint now)
{
    m_inFlight.reset();
    ++m_failures;
    m_nextAt = now + m_backoff.next(m_random);
}

} // namespace Carawaymill

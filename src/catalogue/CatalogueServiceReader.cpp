#include "catalogue/CatalogueServiceReader.h"

#include <algorithm>
#include <iterator>

namespace Carawaymill {

/// Ids of this class are even, those of the editor odd, so that a driver may offer a reply to both.
static constexpr CallId callIdStep{2};
/// The driver's own time limit should strike first.
static constexpr Duration giveUpMargin = 500ms;
/// Between two full reads while the service shows an older state than before.
static constexpr Duration olderStateRetryInterval = 10s;
/// Between two reads of single keys, and before all have their next turn.
static constexpr Duration fetchInterval = 20ms;
static constexpr Duration fetchRetryInterval = 300ms;
/// Calls overlap, so that one without an answer does not keep the next back.
static constexpr std::size_t maxPollsInFlight = 4;
static constexpr std::size_t maxFetchesInFlight = 8;

static std::vector<CatalogueVersion> versionsOf(const std::vector<KeyValueRecord> &records)
{
    std::vector<CatalogueVersion> versions;
    versions.reserve(records.size());
    std::ranges::transform(records, std::back_inserter(versions), [](const KeyValueRecord &record) {
        return CatalogueVersion{.key = record.key, .revision = record.revision, .value = record.value};
    });
    return versions;
}

static bool isAnswer(const KeyValueResult &result)
{
    return !std::holds_alternative<ServiceUnavailable>(result) && !std::holds_alternative<OutcomeUnknown>(result);
}

std::vector<KeyValueCall>
CatalogueServiceReader::tick(const Needs &needs, const CatalogueProgress &progress, TimePoint now)
{
    giveUpExpiredCalls(now);
    std::vector<KeyValueCall> calls;
    if (inFlight(CallKind::Read) == 0 && isRereadDue(needs, progress, now)) {
        calls.push_back(call(CallKind::Read, ReadRange{.prefix = cataloguePrefix}, Duration::zero(), now));
    }
    if (!progress.loaded) {
        return calls;
    }
    const Duration pollInterval = needs.watches ? m_times.pollInterval : m_times.idlePollInterval;
    m_nextPoll = std::min(m_nextPoll, now + pollInterval);
    if (inFlight(CallKind::Poll) < maxPollsInFlight && now >= m_nextPoll) {
        m_nextPoll = now + jittered(pollInterval);
        calls.push_back(call(CallKind::Poll, ReadRange{.prefix = catalogueHeadKey}, Duration::zero(), now));
    }
    if (!needs.missingKeys.empty() && inFlight(CallKind::Fetch) < maxFetchesInFlight && now >= m_nextFetch) {
        // Takes turns, so that one key that cannot be had does not keep the others back.
        const std::string &key = needs.missingKeys.at(m_fetchedKeys++ % needs.missingKeys.size());
        m_nextFetch = now + (m_fetchedKeys % needs.missingKeys.size() == 0 ? fetchRetryInterval : fetchInterval);
        calls.push_back(call(CallKind::Fetch, ReadRange{.prefix = key}, Duration::zero(), now));
    }
    if (needs.watches && inFlight(CallKind::Watch) == 0 && now >= m_nextWatch) {
        m_watchRevision = std::max(m_watchRevision, progress.revision);
        const WatchRange watch{.prefix = cataloguePrefix, .after = m_watchRevision, .wait = m_times.watchWait};
        calls.push_back(call(CallKind::Watch, watch, m_times.watchWait, now));
    }
    return calls;
}

bool CatalogueServiceReader::isRereadDue(const Needs &needs, const CatalogueProgress &progress, TimePoint now) const
{
    if (now < m_nextRead) {
        return false;
    }
    if (!progress.loaded || needs.historyIsMissing) {
        return true;
    }
    const auto byBytes = std::chrono::seconds(needs.bytes / std::max<std::size_t>(m_times.rereadBytesPerSecond, 1));
    return needs.watches && m_lastRead && now - *m_lastRead >= std::max<Duration>(m_times.rereadInterval, byBytes);
}

bool CatalogueServiceReader::isOlderState(Revision storeRevision, const CatalogueProgress &progress)
{
    const bool isOlder = storeRevision < m_newestState || storeRevision < progress.revision;
    m_newestState = std::max(m_newestState, storeRevision);
    return isOlder;
}

CatalogueServiceReader::Step
CatalogueServiceReader::handle(const KeyValueReply &reply, CatalogueProgress &progress, TimePoint now)
{
    const auto found = std::ranges::find(m_pending, reply.id, &Pending::id);
    if (found == m_pending.end()) {
        return {};
    }
    const Pending answered = *found;
    m_pending.erase(found);
    if (isAnswer(reply.result)) {
        progress.serviceAnsweredAt = std::max(progress.serviceAnsweredAt.value_or(answered.sentAt), answered.sentAt);
    }
    switch (answered.kind) {
    case CallKind::Read:
        return handleRead(reply.result, answered, progress, now);
    case CallKind::Poll:
        return handlePoll(reply.result, answered, progress);
    case CallKind::Fetch:
        return handleFetch(reply.result);
    case CallKind::Watch:
        return handleWatch(reply.result, answered, now);
    }
    return {};
}

CatalogueServiceReader::Step CatalogueServiceReader::handleRead(const KeyValueResult &result,
                                                                const Pending &call,
                                                                CatalogueProgress &progress,
                                                                TimePoint now)
{
    m_nextRead = now + jittered(m_times.callTimeout);
    const auto *read = std::get_if<RangeRead>(&result);
    if (read == nullptr) {
        return {};
    }
    Step step{.versions = versionsOf(read->records)};
    if (isOlderState(read->storeRevision, progress)) {
        step.wasOlderState = true;
        m_nextRead = now + jittered(olderStateRetryInterval);
        return step;
    }
    m_lastRead = now;
    progress.advance(read->storeRevision, call.sentAt);
    return step;
}

CatalogueServiceReader::Step
CatalogueServiceReader::handlePoll(const KeyValueResult &result, const Pending &call, CatalogueProgress &progress)
{
    const auto *read = std::get_if<RangeRead>(&result);
    if (read == nullptr) {
        return {};
    }
    Step step{.versions = versionsOf(read->records)};
    if (isOlderState(read->storeRevision, progress)) {
        step.wasOlderState = true;
        return step;
    }
    step.headSeen =
        HeadSeen{.revision = read->records.empty() ? Revision(0) : read->records.front().revision, .at = call.sentAt};
    return step;
}

CatalogueServiceReader::Step CatalogueServiceReader::handleFetch(const KeyValueResult &result)
{
    const auto *read = std::get_if<RangeRead>(&result);
    return read == nullptr ? Step{} : Step{.versions = versionsOf(read->records)};
}

CatalogueServiceReader::Step
CatalogueServiceReader::handleWatch(const KeyValueResult &result, const Pending &call, TimePoint now)
{
    if (const auto *compacted = std::get_if<WatchCompacted>(&result)) {
        m_watchRevision = std::max(m_watchRevision, compacted->storeRevision);
        m_nextPoll = now;
        return {};
    }
    const auto *changed = std::get_if<RangeChanged>(&result);
    if (changed == nullptr) {
        m_nextWatch = now + jittered(m_times.callTimeout);
        return {};
    }
    Step step{.versions = versionsOf(changed->written), .deletedKeys = changed->deletedKeys};
    const bool hasNews = changed->storeRevision > m_watchRevision;
    m_watchRevision = std::max(m_watchRevision, changed->storeRevision);
    if (!hasNews && now - call.sentAt < m_times.watchWait / 2) {
        // A service that answers empty-handed before its time must not be asked in a tight loop.
        m_nextWatch = now + jittered(m_times.callTimeout);
    }
    return step;
}

KeyValueCall CatalogueServiceReader::call(CallKind kind, KeyValueRequest request, Duration wait, TimePoint now)
{
    m_lastCall += callIdStep;
    m_pending.push_back(
        {.kind = kind, .id = m_lastCall, .sentAt = now, .expiresAt = now + wait + m_times.callTimeout + giveUpMargin});
    return KeyValueCall{.id = m_lastCall, .request = std::move(request), .timeout = m_times.callTimeout};
}

Duration CatalogueServiceReader::jittered(Duration duration)
{
    const auto spread = duration / 4;
    return duration - Duration(static_cast<Duration::rep>(m_random.fraction() * static_cast<double>(spread.count())));
}

void CatalogueServiceReader::giveUpExpiredCalls(TimePoint now)
{
    std::erase_if(m_pending, [now](const Pending &pending) { return now >= pending.expiresAt; });
}

std::size_t CatalogueServiceReader::inFlight(CallKind kind) const
{
    return static_cast<std::size_t>(std::ranges::count(m_pending, kind, &Pending::kind));
}

} // namespace Carawaymill

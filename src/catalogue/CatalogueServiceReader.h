#pragma once

#include "catalogue/CatalogueProgress.h"
#include "catalogue/CatalogueTable.h"
#include "keyvalue/KeyValueMessages.h"
#include "support/Random.h"

#include <optional>
#include <vector>

namespace Carawaymill {

/// Intervals at which a replica calls the key-value service.
struct CatalogueServiceTimes
{
    /// Between two polls of a host that watches. Bounds how late a change is seen when the watch has gone silent.
    Duration pollInterval = 1s;
    /// Between two polls of a host that leaves the watching to others.
    Duration idlePollInterval = 60s;
    /// How long the service may hold a watch back.
    Duration watchWait = 30s;
    /// An unanswered call counts as lost after this time.
    Duration callTimeout = 1s;
    /// Shortest time between two full reads of the catalogue.
    Duration rereadInterval = 60s;
    /// Full reads are spaced so that they take no more than this on average.
    std::size_t rereadBytesPerSecond = 1024;
};

/// Follows the catalogue in the key-value service.
///
/// A long watch brings changes at once. Beside it goes a poll that reads the head: a watch that has gone silent, or
/// that skipped a change, cannot hide the change from it. What the head lists and the watch has not brought is read by
/// key.
class CatalogueServiceReader
{
public:
    /// What the replica lacks and needs at present.
    struct Needs
    {
        /// Whether this host watches for others too.
        bool watches = true;
        /// Size of the catalogue.
        std::size_t bytes = 0;
        /// Keys that the head lists in a newer revision than known.
        std::vector<std::string> missingKeys;
        /// More changes are missing than the head lists.
        bool historyIsMissing = false;
    };

    /// The service's head record as a poll found it.
    struct HeadSeen
    {
        /// 0: there is none.
        Revision revision;
        /// When the poll was sent.
        TimePoint at;
    };

    struct Step
    {
        std::vector<KeyValueCall> calls;
        std::vector<CatalogueVersion> versions;
        std::optional<HeadSeen> headSeen;
        /// Deleted in the service itself, which no edit does.
        std::vector<std::string> deletedKeys;
        /// The service answered with a state older than one that it had shown before.
        bool wasOlderState = false;
    };

    CatalogueServiceReader(CatalogueServiceTimes times, std::uint64_t seed)
        : m_times(times)
        , m_random(seed)
    {
    }

    /// Makes the calls that are due.
    [[nodiscard]] std::vector<KeyValueCall> tick(const Needs &needs, const CatalogueProgress &progress, TimePoint now);

    /// Takes in an answer. Answers to unknown or given up calls are ignored.
    [[nodiscard]] Step handle(const KeyValueReply &reply, CatalogueProgress &progress, TimePoint now);

    /// Polls at the next tick, because a change is known to have been accepted.
    void pollSoon() { m_nextPoll = TimePoint{}; }

private:
    enum class CallKind {
        Read,
        Poll,
        Fetch,
        Watch,
    };

    struct Pending
    {
        CallKind kind = CallKind::Read;
        CallId id;
        TimePoint sentAt;
        TimePoint expiresAt;
    };

    KeyValueCall call(CallKind kind, KeyValueRequest request, Duration wait, TimePoint now);
    [[nodiscard]] std::size_t inFlight(CallKind kind) const;
    [[nodiscard]] Duration jittered(Duration duration);
    void giveUpExpiredCalls(TimePoint now);
    [[nodiscard]] bool isRereadDue(const Needs &needs, const CatalogueProgress &progress, TimePoint now) const;
    [[nodiscard]] bool isOlderState(Revision storeRevision, const CatalogueProgress &progress);
    Step handleRead(const KeyValueResult &result, const Pending &call, CatalogueProgress &progress, TimePoint now);
    Step handlePoll(const KeyValueResult &result, const Pending &call, CatalogueProgress &progress);
    static Step handleFetch(const KeyValueResult &result);
    Step handleWatch(const KeyValueResult &result, const Pending &call, TimePoint now);

    CatalogueServiceTimes m_times;
    Random m_random;
    CallId m_lastCall{0};
    std::vector<Pending> m_pending;
    /// The newest state that the service has shown.
    Revision m_newestState;
    Revision m_watchRevision;
    TimePoint m_nextRead;
    TimePoint m_nextPoll;
    TimePoint m_nextFetch;
    TimePoint m_nextWatch;
    std::optional<TimePoint> m_lastRead;
    std::size_t m_fetchedKeys = 0;
};

} // namespace Carawaymill

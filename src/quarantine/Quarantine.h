#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "quarantine/QuarantineMessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Keeps a request that crashes its targets from taking down one target after the other.
namespace Carawaymill {

/// Event: a target died while it ran these requests of this host. A target that left in order is not reported.
struct TargetCrashed
{
    TargetId target;
    std::vector<Fingerprint> inFlight;
};

/// Event: the request was answered whole.
struct RequestCompleted
{
    Fingerprint fingerprint;
    TargetId target;
};

/// Event: a request with the verdict `RunIsolated` is to be run on this target, which is not reserved.
/// Answered by one `IsolatedRunDecided`.
struct IsolatedRunRequested
{
    Fingerprint fingerprint;
    TargetId target;
};

/// Event: the granted trial ended without an answer and without a crash, for example since the caller left.
struct IsolatedRunEnded
{
    Fingerprint fingerprint;
};

struct QuarantineMessageReceived
{
    QuarantineMessage message;
};

/// Event: an operator frees the request.
struct LiftRequested
{
    Fingerprint fingerprint;
};

using QuarantineEvent = std::variant<TargetCrashed,
                                     RequestCompleted,
                                     IsolatedRunRequested,
                                     IsolatedRunEnded,
                                     QuarantineMessageReceived,
                                     KeyValueReply,
                                     LiftRequested,
                                     Tick>;

/// Decision: nothing speaks against the request.
struct RunUnrestricted
{
};

/// Decision: the request may run only alone on a target, and only after `IsolatedRunRequested` was granted.
struct RunIsolated
{
};

/// Decision: the request is not run now; it may be sent again after `retryAfter`.
struct RejectRequest
{
    Duration retryAfter{};
    /// It crashed a target alone; otherwise its turn for a run alone has not come.
    bool condemned = false;
};

using QuarantineDecision = std::variant<RunUnrestricted, RunIsolated, RejectRequest>;

/// The one request that asked may run on the target that it named, as soon as that has finished all other work.
/// The target is reserved until `RequestCompleted`, `IsolatedRunEnded` or `TargetCrashed`. While the request waits for
/// the target, `targetReserved` is asked again: if the reservation has ended, so has the permission.
struct IsolatedRunGranted
{
};

/// Action: answer to `IsolatedRunRequested`.
struct IsolatedRunDecided
{
    Fingerprint fingerprint;
    Result<IsolatedRunGranted, RejectRequest> result;
};

/// Action: send the message to every live host.
struct BroadcastQuarantineMessage
{
    QuarantineMessage message;
};

/// Action: what was decided about a request, for the log.
struct QuarantineStateChanged
{
    Fingerprint fingerprint;
    QuarantineRecord record;
};

using QuarantineAction =
    std::variant<IsolatedRunDecided, BroadcastQuarantineMessage, KeyValueCall, QuarantineStateChanged>;

struct QuarantineOptions
{
    HostId self;
    /// Larger than that of any earlier process of the host.
    IncarnationNumber incarnation;
    /// Reports of other hosts about the same crash are awaited so long; its requests are not run meanwhile.
    Duration crashReportWindow = 1s;
    /// Suspicions and condemnations end after so long.
    Duration restrictionPeriod = 24h;
    /// A cleared request is not suspected again for a crash it shares with others.
    Duration clearedRetention = 10min;
    /// A trial whose host says nothing for so long may be repeated; longer than the longest run of a request.
    Duration isolatedRunTimeout = 5min;
    Duration retryAfter = 1s;
    /// A reservation of a target must stand so long against those of other hosts before the trial is granted.
    Duration reservationContentionPeriod = 300ms;
    /// A reservation lasts so long after its last message; its holder repeats it several times as often.
    Duration reservationTimeout = 2s;
    /// The service is asked again so long after a failed call.
    Duration serviceRetryDelay = 500ms;
    /// All records are read so often.
    Duration readInterval = 30s;
    /// A report of a crash is sent so often, since messages are lost.
    unsigned reportSendCount = 3;
};

/// A duration or number is not positive.
struct InvalidQuarantineOptions
{
    friend bool operator==(InvalidQuarantineOptions, InvalidQuarantineOptions) = default;
};

/// Holds the suspicions of one host and shares them with the others by message and through the key-value service.
///
/// A run alone is claimed in the service first, so that no two hosts try one suspect at the same time.
class Quarantine
{
public:
    [[nodiscard]] static Result<Quarantine, InvalidQuarantineOptions> create(QuarantineOptions options);

    [[nodiscard]] std::vector<QuarantineAction> handle(const QuarantineEvent &event, TimePoint now);

    [[nodiscard]] QuarantineDecision decisionFor(const Fingerprint &fingerprint, TimePoint now) const;

    /// Whether the target is held free for a run alone: it is sent no other work.
    [[nodiscard]] bool targetReserved(const TargetId &target, TimePoint now) const;

    /// Whether any request is known that may not run freely.
    [[nodiscard]] bool hasEntries() const { return !m_entries.empty(); }

    /// Every request that does not run freely, for operators.
    [[nodiscard]] std::vector<std::pair<Fingerprint, QuarantineRecord>> restrictedRequests() const;

private:
    using Actions = std::vector<QuarantineAction>;

    struct Entry
    {
        QuarantineRecord record;
        /// Of the record in the service; 0 if there is none.
        Revision revision;
        /// The record in the service is to be changed.
        bool dirty = false;
        /// A request waits for the answer to its `IsolatedRunRequested`.
        bool trialWanted = false;
        /// The request of this host that runs alone has not ended.
        bool trialHere = false;
        /// Where the request is to run alone.
        TargetId trialTarget;
        /// The trial is recorded and is granted at this time, unless another host reserved the target first.
        std::optional<TimePoint> grantAt;
        /// A crash that it was part of is still being looked into until then.
        TimePoint windowEnd;
        TimePoint expiry;
        /// When `record` was last changed.
        TimePoint since;
    };

    struct Reservation
    {
        std::string holder;
        std::uint64_t number = 0;
        TimePoint until;
        /// When the holder tells the others again.
        TimePoint nextRepeat;
    };

    /// One crash of a target, as far as the hosts have reported it.
    struct Crash
    {
        std::set<Fingerprint> inFlight;
        std::set<Fingerprint> own;
        CrashReported report;
        unsigned repeatsLeft = 0;
        TimePoint nextRepeat;
        TimePoint windowEnd;
    };

    explicit Quarantine(QuarantineOptions options);

    void crashed(const TargetCrashed &event, TimePoint now, Actions &actions);
    void noteCrash(const CrashReported &report, TimePoint now);
    [[nodiscard]] std::optional<Fingerprint> culpritOf(const Crash &crash) const;
    void judge(const Crash &crash, TimePoint now, Actions &actions);
    void completed(const Fingerprint &fingerprint, TimePoint now, Actions &actions);
    void trialWanted(const IsolatedRunRequested &wanted, TimePoint now, Actions &actions);
    void trialEnded(const Fingerprint &fingerprint, TimePoint now);
    void announced(const QuarantineAnnounced &announced, TimePoint now);
    void lift(const Fingerprint &fingerprint, TimePoint now, Actions &actions);
    void clear(const Fingerprint &fingerprint, Entry &entry, TimePoint now, Actions &actions);
    void announce(const Fingerprint &fingerprint, const Entry &entry, Actions &actions) const;
    void tick(TimePoint now, Actions &actions);
    void expire(TimePoint now);
    void synchronise(TimePoint now, Actions &actions);
    void reply(const KeyValueReply &reply, TimePoint now, Actions &actions);
    void committed(Revision revision, TimePoint now, Actions &actions);
    void conflict(const CommitConflict &conflict, TimePoint now, Actions &actions);
    void rangeRead(const RangeRead &range, TimePoint now);
    void adopt(Entry &entry, const KeyValueRecord &record, TimePoint now) const;
    void failed(TimePoint now, Actions &actions);
    void decideTrial(const Fingerprint &fingerprint, Entry &entry, bool granted, Actions &actions) const;
    void change(Entry &entry, QuarantineState state, TimePoint now) const;
    [[nodiscard]] std::string holderName() const;
    [[nodiscard]] bool startTrial(Entry &entry, TimePoint now);
    void grantTrials(TimePoint now, Actions &actions);
    void reserved(const TargetReservationChanged &message, TimePoint now);
    void repeatReservations(TimePoint now, Actions &actions);
    void announce(const TargetId &target, const Reservation &reservation, bool held, Actions &actions) const;

    QuarantineOptions m_options;
    std::map<Fingerprint, Entry> m_entries;
    std::map<TargetId, Crash> m_crashes;
    std::map<CrashId, TimePoint> m_seenReports;
    std::map<TargetId, Reservation> m_reservations;
    /// Last reservation of each holder and target that was seen.
    std::map<std::pair<std::string, TargetId>, std::uint64_t> m_lastReservations;
    std::uint64_t m_lastReservation = 0;
    std::uint64_t m_lastCrash = 0;
    CallId m_lastCall;
    std::optional<CallId> m_callUnderWay;
    /// What the commit under way writes.
    std::map<Fingerprint, QuarantineRecord> m_writing;
    TimePoint m_pausedUntil;
    TimePoint m_nextRead;
};

/// One log line, for example `Quarantine: request 1f.. is condemned after 2 crashes`.
[[nodiscard]] std::string describe(const QuarantineStateChanged &decision);

} // namespace Carawaymill

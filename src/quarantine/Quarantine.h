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

/// Limits how many targets are lost to a request that crashes every target that runs it.
namespace Carawaymill {

/// Event: a target crashed while it ran these requests of this host. A planned shutdown is not reported.
struct TargetCrashed
{
    TargetId target;
    std::vector<Fingerprint> inFlight;
};

/// Event: the target returned a complete response to the request.
struct RequestCompleted
{
    Fingerprint fingerprint;
    TargetId target;
};

/// Event: the host requests an isolated run, on a target without a reservation, of a request whose decision is
/// `RunIsolated`. Exactly one `IsolatedRunDecided` follows.
struct IsolatedRunRequested
{
    Fingerprint fingerprint;
    TargetId target;
};

/// Event: the granted isolated run ended without a response and without a crash, for example because the caller
/// disconnected.
struct IsolatedRunEnded
{
    Fingerprint fingerprint;
};

struct QuarantineMessageReceived
{
    QuarantineMessage message;
};

/// Event: an operator lifts the restriction of the request.
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

/// Decision: the request may run on any target, together with other requests.
struct RunUnrestricted
{
};

/// Decision: the request may run only as the sole request on a target, after `IsolatedRunRequested` was granted.
struct RunIsolated
{
};

/// Decision: the request must not run now; the caller may retry it after `retryAfter`.
struct RejectRequest
{
    Duration retryAfter{};
    /// The request was identified as the cause of a crash. If false, reports about a crash are still being collected,
    /// or no isolated run is available yet.
    bool condemned = false;
};

using QuarantineDecision = std::variant<RunUnrestricted, RunIsolated, RejectRequest>;

/// The request may run on the target named in its `IsolatedRunRequested`, as soon as that target has finished all other
/// work. The target is reserved until `RequestCompleted`, `IsolatedRunEnded` or `TargetCrashed`. While the request
/// waits for the target, the host must keep checking `targetReserved`: the grant ends with the reservation.
struct IsolatedRunGranted
{
};

/// Action: the response to `IsolatedRunRequested`.
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

/// Action: log the new state of a request.
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
    /// Time for which the reports of other hosts about a crash are collected; requests of that crash are rejected until
    /// it ends.
    Duration crashReportWindow = 1s;
    /// A suspect or condemned request is unrestricted again after this period.
    Duration restrictionPeriod = 24h;
    /// Time for which a cleared request is remembered: it is not suspected again for a crash that it shares with
    /// requests that are not cleared. Crash reports are recognised as duplicates for the same time.
    Duration clearedRetention = 10min;
    /// An isolated run of another host whose result is not known after this time may be repeated. Must exceed the
    /// longest run of a request.
    Duration isolatedRunTimeout = 5min;
    Duration retryAfter = 1s;
    /// A target's reservation must hold against those of other hosts for this time before the isolated run is granted.
    Duration reservationContentionPeriod = 300ms;
    /// A reservation ends when no message has renewed it for this time; its holder sends several messages in that time.
    Duration reservationTimeout = 2s;
    /// Delay after a failed call to the key-value service before the next call.
    Duration serviceRetryDelay = 500ms;
    /// Interval between reads of all records from the key-value service.
    Duration readInterval = 30s;
    /// Number of times that a crash report is sent, since messages may be lost.
    unsigned reportSendCount = 3;
};

/// A duration or number is not positive.
struct InvalidQuarantineOptions
{
    friend bool operator==(InvalidQuarantineOptions, InvalidQuarantineOptions) = default;
};

/// Tracks which requests may crash targets, and shares this with other hosts by messages and the key-value service.
///
/// An isolated run is recorded in the key-value service before it is granted, so that no two hosts run one suspect at
/// the same time.
class Quarantine
{
public:
    [[nodiscard]] static Result<Quarantine, InvalidQuarantineOptions> create(QuarantineOptions options);

    [[nodiscard]] std::vector<QuarantineAction> handle(const QuarantineEvent &event, TimePoint now);

    [[nodiscard]] QuarantineDecision decisionFor(const Fingerprint &fingerprint, TimePoint now) const;

    /// Whether the target is reserved for an isolated run and must not be sent other work.
    [[nodiscard]] bool targetReserved(const TargetId &target, TimePoint now) const;

    /// Whether any request is tracked, including cleared requests that are still remembered.
    [[nodiscard]] bool hasEntries() const { return !m_entries.empty(); }

    /// All suspect, isolated and condemned requests, for operators.
    [[nodiscard]] std::vector<std::pair<Fingerprint, QuarantineRecord>> restrictedRequests() const;

private:
    using Actions = std::vector<QuarantineAction>;

    struct Entry
    {
        QuarantineRecord record;
        /// Revision of the record in the key-value service; 0 if there is none.
        Revision revision;
        /// The record in the key-value service must be written or deleted.
        bool dirty = false;
        /// An `IsolatedRunRequested` of this host has no `IsolatedRunDecided` yet.
        bool isolatedRunRequested = false;
        /// The isolated run is recorded for this host and has not ended.
        bool runsIsolatedHere = false;
        /// Target of the requested or recorded isolated run.
        TargetId isolatedRunTarget;
        /// The isolated run is recorded and is granted at this time, unless another host's reservation of the target
        /// prevails. Empty if no grant is pending.
        std::optional<TimePoint> grantAt;
        /// Until this time, reports about a crash that the request was part of are collected.
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
        /// When the holder next sends the reservation to the other hosts.
        TimePoint nextRepeat;
    };

    /// One crash of a target, combined from the reports of all hosts.
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

    void targetCrashed(const TargetCrashed &event, TimePoint now, Actions &actions);
    void recordCrash(const CrashReported &report, TimePoint now);
    [[nodiscard]] std::optional<Fingerprint> crashCause(const Crash &crash) const;
    void evaluateCrash(const Crash &crash, TimePoint now, Actions &actions);
    void requestCompleted(const Fingerprint &fingerprint, TimePoint now, Actions &actions);
    void isolatedRunRequested(const IsolatedRunRequested &request, TimePoint now, Actions &actions);
    void isolatedRunEnded(const Fingerprint &fingerprint, TimePoint now);
    void applyAnnouncement(const QuarantineAnnounced &announced, TimePoint now);
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
    void applyStoredRecord(Entry &entry, const KeyValueRecord &record, TimePoint now) const;
    void failed(TimePoint now, Actions &actions);
    void reportIsolatedRunDecision(const Fingerprint &fingerprint, Entry &entry, bool granted, Actions &actions) const;
    void change(Entry &entry, QuarantineState state, TimePoint now) const;
    [[nodiscard]] std::string holderName() const;
    [[nodiscard]] bool beginIsolatedRun(Entry &entry, TimePoint now);
    void grantIsolatedRuns(TimePoint now, Actions &actions);
    void reserved(const TargetReservationChanged &message, TimePoint now);
    void refreshReservations(TimePoint now, Actions &actions);
    void announce(const TargetId &target, const Reservation &reservation, bool held, Actions &actions) const;

    QuarantineOptions m_options;
    std::map<Fingerprint, Entry> m_entries;
    std::map<TargetId, Crash> m_crashes;
    std::map<CrashId, TimePoint> m_seenReports;
    std::map<TargetId, Reservation> m_reservations;
    /// Highest reservation number received for each holder and target.
    std::map<std::pair<std::string, TargetId>, std::uint64_t> m_lastReservations;
    std::uint64_t m_lastReservation = 0;
    std::uint64_t m_lastCrash = 0;
    CallId m_lastCall;
    std::optional<CallId> m_pendingCall;
    /// Records that the pending commit writes or deletes.
    std::map<Fingerprint, QuarantineRecord> m_pendingWrites;
    TimePoint m_nextServiceAttempt;
    TimePoint m_nextRead;
};

/// One log line, for example `Quarantine: request 1f.. is condemned after 2 crashes`.
[[nodiscard]] std::string describe(const QuarantineStateChanged &decision);

} // namespace Carawaymill

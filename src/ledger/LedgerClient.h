#pragma once

#include "ledger/LedgerMessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// The side of an entry host that claims calls and reports how they ended.
namespace Carawaymill {

/// Event: a call with an idempotency key wants to run. `call` is the driver's own number for it.
struct ClaimWanted
{
    CallId call;
    OrganisationId organisation;
    IdempotencyKey key;
    RequestHash request;
    /// Every target of the entry is declared to keep the key from running twice by itself.
    bool targetsHonourKey = false;
};

/// Event: the call ended. Must come for each call that was granted or waived; a late answer may follow an unknown one.
struct CallEnded
{
    CallId call;
    ClaimOutcome outcome;
};

/// Event: who owns the shard now, as far as is known.
struct ShardOwnerLearned
{
    ShardNumber shard;
    std::optional<HostId> owner;
};

using LedgerClientEvent = std::variant<ClaimWanted, CallEnded, ShardOwnerLearned, LedgerMessageReceived, Tick>;

/// Verdict: no claim could be made, but the targets keep the key themselves, so the call may run.
struct ClaimWaived
{
    friend bool operator==(const ClaimWaived &, const ClaimWaived &) = default;
};

using CallVerdict = std::variant<ClaimGranted, ClaimWaived, AlreadyClaimed, KeyMismatch, ClaimUnavailable>;

/// Action: the verdict for the call; comes exactly once. Only `ClaimGranted` and `ClaimWaived` allow a dispatch.
struct CallDecided
{
    CallId call;
    CallVerdict verdict;
};

/// Action: a report of an outcome was dropped; the claim stays unknown to the caller's repeats.
struct OutcomeReportDropped
{
    ClaimKey key;
};

using LedgerClientAction = std::variant<SendLedgerMessage, CallDecided, OutcomeReportDropped>;

struct LedgerClientOptions
{
    HostLife self;
    /// The same on all hosts.
    std::uint32_t shards = 8;
    /// A claim without a verdict so long is given up as not run.
    Duration verdictTimeout = 1s;
    Duration resendInterval = 150ms;
    /// An outcome that is not acknowledged is sent again after this pause, which doubles up to `maximumReportInterval`.
    Duration reportInterval = 1s;
    Duration maximumReportInterval = 30s;
    Duration retryAfter = 1s;
    /// Late grants of attempts that were given up, and late answers of unknown calls, are handled so long.
    Duration lateMessageLimit = 10min;
    /// Outcomes that wait for their acknowledgement; the oldest are dropped beyond.
    std::size_t reportLimit = 20'000;
};

/// A duration or number is not positive.
struct InvalidLedgerClientOptions
{
    friend bool operator==(InvalidLedgerClientOptions, InvalidLedgerClientOptions) = default;
};

/// Asks the owners of the ledger's shards for claims, and reports outcomes until they are acknowledged.
class LedgerClient
{
public:
    [[nodiscard]] static Result<LedgerClient, InvalidLedgerClientOptions> create(LedgerClientOptions options);

    [[nodiscard]] std::vector<LedgerClientAction> handle(const LedgerClientEvent &event, TimePoint now);

    /// Outcomes that wait for their acknowledgement.
    [[nodiscard]] std::size_t waitingReports() const { return m_reports.size(); }

private:
    using Actions = std::vector<LedgerClientAction>;

    /// A claim without a verdict.
    struct OpenClaim
    {
        CallId call;
        ClaimRequested request;
        bool targetsHonourKey = false;
        /// Owners that were asked.
        std::set<HostId> asked;
        TimePoint deadline;
        TimePoint nextSend;
    };

    /// A call that runs, or ran and whose outcome was unknown.
    struct RunningCall
    {
        ClaimAttempt attempt;
        ClaimKey key;
        /// Set when the outcome is unknown: a late answer is taken until then.
        std::optional<TimePoint> until;
    };

    struct Report
    {
        OutcomeReported message;
        Duration pause{};
        TimePoint nextSend;
    };

    /// An attempt that was given up without a grant.
    struct GivenUp
    {
        ClaimKey key;
        TimePoint until;
    };

    explicit LedgerClient(LedgerClientOptions options);

    void wanted(const ClaimWanted &wanted, TimePoint now, Actions &actions);
    void ended(const CallEnded &ended, TimePoint now, Actions &actions);
    void received(const LedgerMessage &message, TimePoint now, Actions &actions);
    void decided(const ClaimDecided &decided, TimePoint now, Actions &actions);
    void periodStale(const ClaimPeriodStale &stale, TimePoint now, Actions &actions);
    void recorded(const OutcomeRecorded &recorded);
    void tick(TimePoint now, Actions &actions);
    void send(OpenClaim &claim, TimePoint now, Actions &actions);
    void
    report(const ClaimAttempt &attempt, const ClaimKey &key, ClaimOutcome outcome, TimePoint now, Actions &actions);
    void send(Report &report, TimePoint now, Actions &actions);
    void finish(const OpenClaim &claim, const ClaimVerdict &verdict, TimePoint now, Actions &actions);
    void giveUp(const OpenClaim &claim, const ClaimUnavailable &refused, TimePoint now, Actions &actions);

    LedgerClientOptions m_options;
    std::uint64_t m_lastAttempt = 0;
    std::map<ShardNumber, HostId> m_owners;
    std::map<ShardNumber, LedgerPeriod> m_periods;
    std::map<ClaimAttempt, OpenClaim> m_open;
    std::map<CallId, RunningCall> m_running;
    std::map<ClaimAttempt, GivenUp> m_givenUp;
    std::map<ClaimAttempt, Report> m_reports;
};

/// One log line, for example `Ledger: call 7 may run`.
[[nodiscard]] std::string describe(const CallDecided &decision);

} // namespace Carawaymill

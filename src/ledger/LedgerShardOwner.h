#pragma once

#include "lease/LeaseMessages.h"
#include "ledger/ClaimTable.h"
#include "ledger/ShardQueue.h"
#include "ledger/ShardStore.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The owner of one shard of the ledger.
namespace Carawaymill {

/// Event: the process and all earlier ones of its host have ended.
struct ClaimantGone
{
    HostLife claimant;
};

using ShardOwnerEvent =
    std::variant<LeaseAcquired, LeaseLost, LedgerMessageReceived, KeyValueReply, ClaimantGone, Tick>;

/// Decision: the shard is served from now on.
struct ShardServed
{
    FencingNumber fencingNumber;
    std::size_t claims = 0;
};

/// Decision: the shard is no longer served by this host; give its lease back if it is still held.
struct ShardGivenUp
{
    FencingNumber fencingNumber;
};

/// Decision: claims were refused as not run since the key-value service does not answer.
struct ClaimsRefused
{
    std::size_t claims = 0;
};

using ShardOwnerDecision = std::variant<ShardServed, ShardGivenUp, ClaimsRefused>;

using ShardOwnerAction = std::variant<KeyValueCall, SendLedgerMessage, ShardOwnerDecision>;

struct LedgerShardOwnerOptions
{
    ShardStoreOptions store;
    /// At least so long passes between the beginnings of two commits; bounds the shard's writes whatever the load.
    Duration groupInterval = 100ms;
    /// Length of a period by the owner's own clock.
    Duration periodLength = 1h;
    /// Sums of bills reach the usage records so often.
    Duration foldInterval = 10s;
    /// A call without an outcome so long after its claim counts as unknown.
    Duration executionLimit = 10min;
    /// Limit for one call to the key-value service.
    Duration callTimeout = 300ms;
    /// After a failed call the service is asked again no sooner, and claims are refused meanwhile.
    Duration retryPause = 250ms;
    /// Told to callers whose claim cannot be made.
    Duration retryAfter = 1s;
    /// Claims, outcomes and reports of bills that may wait for a commit; more are refused or left to be sent again.
    std::size_t waitingLimit = 4096;
};

/// A duration is not positive, or fewer than 2 periods are remembered.
struct InvalidLedgerShardOwnerOptions
{
    friend bool operator==(InvalidLedgerShardOwnerOptions, InvalidLedgerShardOwnerOptions) = default;
};

/// Decides the claims of one shard and records outcomes and bills, in groups of one commit each.
///
/// The lease only keeps owners from disturbing each other: a former owner's commit fails by the shard's head, and a
/// verdict that grants a claim is sent only after the commit that records it is known to have taken effect.
class LedgerShardOwner
{
public:
    [[nodiscard]] static Result<LedgerShardOwner, InvalidLedgerShardOwnerOptions>
    create(LedgerShardOwnerOptions options);

    [[nodiscard]] std::vector<ShardOwnerAction> handle(const ShardOwnerEvent &event, TimePoint now);

    /// Whether claims are decided here at present.
    [[nodiscard]] bool serving() const { return m_state == State::Serving; }

    /// Number of remembered claims.
    [[nodiscard]] std::size_t claims() const { return m_table.size(); }

private:
    using Actions = std::vector<ShardOwnerAction>;

    enum class State {
        NotOwner,
        ReadingHead,
        WritingHead,
        Loading,
        Serving,
    };

    explicit LedgerShardOwner(LedgerShardOwnerOptions options);

    void leaseAcquired(const LeaseAcquired &lease, TimePoint now, Actions &actions);
    void leaseLost(const LeaseLost &lease, Actions &actions);
    void message(const LedgerMessageReceived &received, TimePoint now, Actions &actions);
    void claimRequested(const HostId &from, const ClaimRequested &request, TimePoint now, Actions &actions);
    void outcomeReported(const HostId &from, const OutcomeReported &report, Actions &actions);
    void billsReported(const HostId &from, const BillsReported &report, Actions &actions);
    void reply(const KeyValueReply &reply, TimePoint now, Actions &actions);
    void takeOverReply(const KeyValueResult &result, TimePoint now, Actions &actions);
    void load(const RangeRead &range, TimePoint now, Actions &actions);
    void commitReply(const KeyValueResult &result, TimePoint now, Actions &actions);
    void tookEffect(TimePoint now, Actions &actions);
    void answerWaiting(TimePoint now, Actions &actions);
    void proceed(TimePoint now, Actions &actions);
    void proceedTakeOver(Actions &actions);
    void formGroup(TimePoint now, Actions &actions);
    void call(KeyValueRequest request, Actions &actions);
    void refuseClaims(bool groupMayBeRecorded, Actions &actions);
    void giveUp(Actions &actions);
    static void acknowledge(const WaitingOutcome &outcome, Actions &actions);
    void decide(const HostId &to, const ClaimAttempt &attempt, ClaimVerdict verdict, Actions &actions) const;

    [[nodiscard]] ClaimUnavailable unavailable() const { return {.retryAfter = m_options.retryAfter}; }

    LedgerShardOwnerOptions m_options;
    ShardStore m_store;
    ClaimTable m_table;
    State m_state = State::NotOwner;
    FencingNumber m_fencingNumber;
    ShardQueue m_queue;
    ShardGroup m_group;
    /// The commit that is sent again while its fate is open.
    Commit m_commit;
    bool m_resend = false;
    unsigned m_uncertainReplies = 0;
    std::optional<CallId> m_callUnderWay;
    CallId m_lastCall;
    TimePoint m_nextCommit;
    TimePoint m_nextFold;
    TimePoint m_periodEnd;
    /// The service failed; claims are refused until it is asked again.
    TimePoint m_pausedUntil;
};

/// The scope whose lease makes a host the owner of the shard.
[[nodiscard]] LeaseScopeId shardScope(ShardNumber shard);

/// One log line, for example `Ledger: shard 3 is served with fencing number 7 and 120 claims`.
[[nodiscard]] std::string describe(ShardNumber shard, const ShardOwnerDecision &decision);

} // namespace Carawaymill

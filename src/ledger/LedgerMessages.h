#pragma once

#include "ledger/LedgerRecords.h"
#include "support/Time.h"

#include <variant>
#include <vector>

/// Messages between entry hosts and shard owners. Any of them may be lost, doubled, delayed or reordered.
namespace Carawaymill {

/// Asks the owner for the right to run a call.
struct ClaimRequested
{
    ShardNumber shard;
    ClaimAttempt attempt;
    ClaimKey key;
    RequestHash request;
    /// The shard's period as the sender knows it; a message from an older one is not granted.
    LedgerPeriod period;

    friend bool operator==(const ClaimRequested &, const ClaimRequested &) = default;
};

/// Verdict: this attempt, and no other, may run the call.
struct ClaimGranted
{
    friend bool operator==(const ClaimGranted &, const ClaimGranted &) = default;
};

/// Another attempt holds the claim and its call has not ended.
struct ClaimInProgress
{
    friend bool operator==(const ClaimInProgress &, const ClaimInProgress &) = default;
};

/// Verdict: the call was claimed before and does not run again.
struct AlreadyClaimed
{
    std::variant<ClaimInProgress, ClaimAnswered, ClaimOutcomeUnknown> state;

    friend bool operator==(const AlreadyClaimed &, const AlreadyClaimed &) = default;
};

/// Verdict: the key was used for another request; this one was not run.
struct KeyMismatch
{
    friend bool operator==(const KeyMismatch &, const KeyMismatch &) = default;
};

/// Verdict: no claim can be made now. The call was not run and may be sent again after `retryAfter`.
struct ClaimUnavailable
{
    Duration retryAfter{};
    /// The claim may be in the ledger although it was refused; the claimant releases it.
    bool mayBeRecorded = false;

    friend bool operator==(const ClaimUnavailable &, const ClaimUnavailable &) = default;
};

using ClaimVerdict = std::variant<ClaimGranted, AlreadyClaimed, KeyMismatch, ClaimUnavailable>;

/// The owner's verdict for one attempt.
struct ClaimDecided
{
    ShardNumber shard;
    ClaimAttempt attempt;
    ClaimVerdict verdict;

    friend bool operator==(const ClaimDecided &, const ClaimDecided &) = default;
};

/// The request came from an older period; ask again from `period`.
struct ClaimPeriodStale
{
    ShardNumber shard;
    ClaimAttempt attempt;
    LedgerPeriod period;

    friend bool operator==(const ClaimPeriodStale &, const ClaimPeriodStale &) = default;
};

/// Sent by the claimant until it is acknowledged.
struct OutcomeReported
{
    ShardNumber shard;
    ClaimAttempt attempt;
    ClaimKey key;
    ClaimOutcome outcome;

    friend bool operator==(const OutcomeReported &, const OutcomeReported &) = default;
};

/// The outcome needs not be sent again.
struct OutcomeRecorded
{
    ShardNumber shard;
    ClaimAttempt attempt;
    /// Whether it is the answer that was recorded, and not an unknown outcome before it.
    bool answered = false;

    friend bool operator==(const OutcomeRecorded &, const OutcomeRecorded &) = default;
};

/// Bills of one host life in order. `first` is the sender's first bill that is not acknowledged.
struct BillsReported
{
    ShardNumber shard;
    HostLife stream;
    BillSequence first;
    std::vector<Bill> bills;

    friend bool operator==(const BillsReported &, const BillsReported &) = default;
};

/// The bills of `stream` up to `through` are in the key-value service.
struct BillsRecorded
{
    ShardNumber shard;
    HostLife stream;
    BillSequence through;

    friend bool operator==(const BillsRecorded &, const BillsRecorded &) = default;
};

/// Copies of bills that are not recorded yet, for a host in another failure domain.
struct BillsCopied
{
    HostLife stream;
    BillSequence first;
    std::vector<Bill> bills;
    /// Copies up to here are no longer needed.
    BillSequence recordedThrough;

    friend bool operator==(const BillsCopied &, const BillsCopied &) = default;
};

struct BillCopiesKept
{
    HostLife stream;
    BillSequence through;

    friend bool operator==(const BillCopiesKept &, const BillCopiesKept &) = default;
};

using LedgerMessage = std::variant<ClaimRequested,
                                   ClaimDecided,
                                   ClaimPeriodStale,
                                   OutcomeReported,
                                   OutcomeRecorded,
                                   BillsReported,
                                   BillsRecorded,
                                   BillsCopied,
                                   BillCopiesKept>;

/// Event for every class of the ledger: a message of another host, or of this one to itself.
struct LedgerMessageReceived
{
    HostId from;
    LedgerMessage message;
};

/// Action: hand the message to the peer link, or straight back if `to` is this host.
struct SendLedgerMessage
{
    HostId to;
    LedgerMessage message;
};

void to_json(nlohmann::json &json, const LedgerMessage &message);
void from_json(const nlohmann::json &json, LedgerMessage &message);

} // namespace Carawaymill

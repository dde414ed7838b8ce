#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What the ledger keeps in the key-value service.
namespace Carawaymill {

/// One of the parts into which the ledger is divided. Each has at most one owner at a time.
using ShardNumber = StrongCount<struct ShardNumberTag, std::uint32_t>;
/// Counts the periods of a shard; the first is 1 and 0 means "not known". Measured by the owners' monotonic clocks
/// only.
using LedgerPeriod = StrongCount<struct LedgerPeriodTag, std::uint64_t>;
/// Position of a bill in its stream; the first is 1.
using BillSequence = StrongCount<struct BillSequenceTag, std::uint64_t>;
/// The time a bill is accounted to, for example `2026-12`.
using BillingPeriod = StrongType<struct BillingPeriodTag, std::string>;
/// Millionths of the unit of account.
using MicroPrice = StrongCount<struct MicroPriceTag, std::uint64_t>;
/// Stands for an organisation and one of its idempotency keys.
using ClaimKey = StrongType<struct ClaimKeyTag, std::string>;
/// Stands for the method, path and body of a request.
using RequestHash = StrongType<struct RequestHashTag, std::string>;

/// One process of ours between its start and its end.
struct HostLife
{
    HostId host;
    /// Fixed at the start of the process; larger than that of any earlier process of the host.
    IncarnationNumber incarnation;

    friend auto operator<=>(const HostLife &, const HostLife &) = default;
};

/// One try of a host to run a caller's call. Never used again, so that a doubled message is recognised.
struct ClaimAttempt
{
    HostLife claimant;
    std::uint64_t number = 0;

    friend auto operator<=>(const ClaimAttempt &, const ClaimAttempt &) = default;
};

/// The claimant vouches that the call did not run; the key may be claimed again.
struct ClaimReleased
{
    friend bool operator==(const ClaimReleased &, const ClaimReleased &) = default;
};

/// The call ran and was answered.
struct ClaimAnswered
{
    unsigned status = 0;
    /// Left out if longer than `recordedBodyLimit` or not UTF-8; the repeat then learns only that the call ran.
    std::optional<std::string> body;

    friend bool operator==(const ClaimAnswered &, const ClaimAnswered &) = default;
};

/// The call may have run.
struct ClaimOutcomeUnknown
{
    friend bool operator==(const ClaimOutcomeUnknown &, const ClaimOutcomeUnknown &) = default;
};

using ClaimOutcome = std::variant<ClaimReleased, ClaimAnswered, ClaimOutcomeUnknown>;

/// Answers up to this size are kept for the caller's repeats.
inline constexpr ByteCount recordedBodyLimit(1024);

/// Leaves the body out if it may not be recorded.
[[nodiscard]] ClaimAnswered recordableAnswer(unsigned status, std::string body);

/// Entry of a segment: `attempt` may run the call.
struct ClaimMade
{
    ClaimKey key;
    RequestHash request;
    ClaimAttempt attempt;

    friend bool operator==(const ClaimMade &, const ClaimMade &) = default;
};

/// Entry of a segment: how the call of `attempt` ended.
struct ClaimEnded
{
    ClaimKey key;
    ClaimAttempt attempt;
    ClaimOutcome outcome;

    friend bool operator==(const ClaimEnded &, const ClaimEnded &) = default;
};

using LedgerEntry = std::variant<ClaimMade, ClaimEnded>;

/// What one answered job costs its organisation.
struct Bill
{
    JobId job;
    OrganisationId organisation;
    BillingPeriod period;
    TokenCount tokens;
    MicroPrice price;

    friend bool operator==(const Bill &, const Bill &) = default;
};

/// Sum of bills.
struct UsageTotal
{
    std::uint64_t jobs = 0;
    TokenCount tokens;
    MicroPrice price;

    friend bool operator==(const UsageTotal &, const UsageTotal &) = default;
};

/// Adds `added` to `total`.
void addUsage(UsageTotal &total, const UsageTotal &added);

/// First record of a shard: changes with each new owner, which makes commits of former ones fail.
struct ShardHead
{
    FencingNumber fencingNumber;
    LedgerPeriod period;

    friend bool operator==(const ShardHead &, const ShardHead &) = default;
};

[[nodiscard]] ClaimKey claimKey(const OrganisationId &organisation, const IdempotencyKey &key);
[[nodiscard]] RequestHash requestHash(std::string_view method, std::string_view path, std::string_view body);
/// Bills of one host life are counted in one shard, so that one number tells which were recorded.
[[nodiscard]] ShardNumber shardOf(const HostLife &stream, std::uint32_t shards);
[[nodiscard]] ShardNumber shardOf(const ClaimKey &key, std::uint32_t shards);

/// Key prefixes and keys in the key-value service.
[[nodiscard]] std::string shardPrefix(ShardNumber shard);
[[nodiscard]] std::string shardHeadKey(ShardNumber shard);
[[nodiscard]] std::string shardBillsKey(ShardNumber shard);
[[nodiscard]] std::string shardSegmentPrefix(ShardNumber shard);
[[nodiscard]] std::string shardSegmentKey(ShardNumber shard, std::uint64_t segment);
/// Usage of an organisation is the sum of all records below `usage/<organisation>/<period>/`, one for each shard.
[[nodiscard]] std::string usageKey(const OrganisationId &organisation, const BillingPeriod &period, ShardNumber shard);

void to_json(nlohmann::json &json, const HostLife &life);
void from_json(const nlohmann::json &json, HostLife &life);
void to_json(nlohmann::json &json, const ClaimAttempt &attempt);
void from_json(const nlohmann::json &json, ClaimAttempt &attempt);
void to_json(nlohmann::json &json, const ClaimOutcome &outcome);
void from_json(const nlohmann::json &json, ClaimOutcome &outcome);
void to_json(nlohmann::json &json, const LedgerEntry &entry);
void from_json(const nlohmann::json &json, LedgerEntry &entry);
void to_json(nlohmann::json &json, const Bill &bill);
void from_json(const nlohmann::json &json, Bill &bill);
void to_json(nlohmann::json &json, const UsageTotal &total);
void from_json(const nlohmann::json &json, UsageTotal &total);
void to_json(nlohmann::json &json, const ShardHead &head);
void from_json(const nlohmann::json &json, ShardHead &head);

} // namespace Carawaymill

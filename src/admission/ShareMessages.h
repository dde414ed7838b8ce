#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Units.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages by which hosts lend their portions of the limits to allocators and are granted shares by them.
namespace Carawaymill {

/// Names a limit, for example `organisation/thermal-ridge` or `entry/flight-summary`.
using LimitName = StrongType<struct LimitNameTag, std::string>;
/// A part of a limit, in millionths. It holds for each of the limit's rates and counts alike.
using LimitShare = StrongCount<struct LimitShareTag, std::uint32_t>;
/// A group of limits that have the same allocator.
using LimitShard = StrongType<struct LimitShardTag, std::uint16_t>;
/// Differs between any two starts of a process.
using ProcessEpoch = StrongType<struct ProcessEpochTag, std::uint64_t>;

/// The whole of a limit.
inline constexpr LimitShare wholeLimit(1'000'000);

[[nodiscard]] LimitName limitName(const OrganisationId &organisation);
[[nodiscard]] LimitName limitName(const EntryId &entry);

/// What a host holds and wants of one limit. On the wire: `[key, held, wanted]`.
struct ShareDemand
{
    /// Stable hash of the limit's name.
    std::uint64_t key = 0;
    /// The host keeps within this share until a reply to the same request reaches it.
    LimitShare held;
    LimitShare wanted;

    friend bool operator==(const ShareDemand &, const ShareDemand &) = default;
};

/// What a host lends and wants of one shard. On the wire: `[shard, loan, [demand...]]`.
struct ShardRequest
{
    LimitShard shard;
    /// What the host lends of each limit of the shard; 0 leaves an earlier loan as it is.
    LimitShare loan;
    /// Every limit of the shard of which the host holds or wants a share from the receiver.
    std::vector<ShareDemand> demands;

    friend bool operator==(const ShardRequest &, const ShardRequest &) = default;
};

/// From a host to an allocator. On the wire: `[sequence, epoch, allocatorEpoch, clock, loanTime, [shard...]]`.
struct ShareRequest
{
    /// Grows with each request of the host to this allocator; an allocator ignores an older one.
    std::uint32_t sequence = 0;
    ProcessEpoch epoch;
    /// The loans are for this life of the allocator only; 0 before its first reply.
    ProcessEpoch allocatorEpoch;
    /// The allocator's clock in milliseconds as its last reply gave it; the loans count from then.
    std::uint64_t allocatorClock = 0;
    /// Milliseconds for which the loans are valid.
    std::uint32_t loanTime = 0;
    std::vector<ShardRequest> shards;

    friend bool operator==(const ShareRequest &, const ShareRequest &) = default;
};

/// From an allocator to a host. On the wire: `[sequence, epoch, clock, grantTime, [share...]]`.
struct ShareReply
{
    /// That of the request.
    std::uint32_t sequence = 0;
    ProcessEpoch epoch;
    std::uint64_t allocatorClock = 0;
    /// Milliseconds for which the shares are valid, counted from when the host sent the request.
    std::uint32_t grantTime = 0;
    /// One share for each demand of the request, in the same order.
    std::vector<LimitShare> shares;

    friend bool operator==(const ShareReply &, const ShareReply &) = default;
};

using ShareMessage = std::variant<ShareRequest, ShareReply>;

void to_json(nlohmann::json &json, const ShareMessage &message);
void from_json(const nlohmann::json &json, ShareMessage &message);

} // namespace Carawaymill

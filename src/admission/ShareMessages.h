#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Units.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages with which hosts lend their portions of the limits to allocators, and allocators grant shares to hosts.
namespace Carawaymill {

/// Names a limit, for example `organisation/thermal-ridge` or `entry/flight-summary`.
using LimitName = StrongType<struct LimitNameTag, std::string>;
/// A part of a limit, in millionths. It applies to each rate and count of the limit.
using LimitShare = StrongCount<struct LimitShareTag, std::uint32_t>;
/// A group of limits that have the same allocator.
using LimitShard = StrongType<struct LimitShardTag, std::uint16_t>;
/// Identifies one start of a process; differs between any two starts.
using ProcessEpoch = StrongType<struct ProcessEpochTag, std::uint64_t>;

/// A complete limit.
inline constexpr LimitShare wholeLimit(1'000'000);

[[nodiscard]] LimitName limitName(const OrganisationId &organisation);
[[nodiscard]] LimitName limitName(const EntryId &entry);

/// The share of one limit that a host holds, and the share that it requests. On the wire: `[key, held, wanted]`.
struct ShareDemand
{
    /// Stable hash of the limit's name.
    std::uint64_t key = 0;
    /// The host does not exceed this share until it receives the reply to the same request.
    LimitShare held;
    LimitShare wanted;

    friend bool operator==(const ShareDemand &, const ShareDemand &) = default;
};

/// A host's loan and demands for the limits of one shard. On the wire: `[shard, loan, [demand...]]`.
struct ShardRequest
{
    LimitShard shard;
    /// Part of each limit of the shard that the host lends; 0 leaves an earlier loan unchanged.
    LimitShare loan;
    /// One demand for each limit of the shard of which the host holds or requests a share from the receiver.
    std::vector<ShareDemand> demands;

    friend bool operator==(const ShardRequest &, const ShardRequest &) = default;
};

/// From a host to an allocator. On the wire: `[sequence, epoch, allocatorEpoch, clock, loanTime, [shard...]]`.
struct ShareRequest
{
    /// Increases with each request of the host to this allocator; the allocator ignores older requests.
    std::uint32_t sequence = 0;
    ProcessEpoch epoch;
    /// The start of the allocator's process for which the loans are valid; 0 before its first reply.
    ProcessEpoch allocatorEpoch;
    /// The allocator's clock in milliseconds, from its last reply; `loanTime` counts from it.
    std::uint64_t allocatorClock = 0;
    /// Milliseconds for which the loans are valid.
    std::uint32_t loanTime = 0;
    std::vector<ShardRequest> shards;

    friend bool operator==(const ShareRequest &, const ShareRequest &) = default;
};

/// From an allocator to a host. On the wire: `[sequence, epoch, clock, grantTime, [share...]]`.
struct ShareReply
{
    /// Sequence number of the request.
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

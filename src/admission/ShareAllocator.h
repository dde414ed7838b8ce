#pragma once

#include "admission/ShareMessages.h"
#include "support/Time.h"

#include <map>

namespace Carawaymill {

/// Grants shares of limits out of what hosts have lent to this process.
///
/// At any time the shares that are granted of a limit sum up to no more than the loans that stay valid as long as the
/// grants. Nothing else is needed for safety: two allocators of one shard never hold the same loan.
class ShareAllocator
{
public:
    explicit ShareAllocator(ProcessEpoch epoch);

    /// Takes in the loans of a request and grants shares for `grantTime`. An old or doubled request gets an empty reply
    /// with its sequence, which its sender ignores.
    [[nodiscard]] ShareReply handle(const HostId &from, const ShareRequest &request, Duration grantTime, TimePoint now);

    /// Forgets loans and grants that have run out.
    void expire(TimePoint now);

private:
    struct Loan
    {
        LimitShare share;
        TimePoint expiry;
    };

    struct Grant
    {
        /// What the host may hold: the larger of what it said it holds and what it was granted.
        LimitShare outstanding;
        LimitShare wanted;
        TimePoint expiry;
    };

    struct Shard
    {
        std::map<HostId, Loan> loans;
        std::map<std::uint64_t, std::map<HostId, Grant>> grants;
    };

    struct Borrower
    {
        ProcessEpoch epoch;
        std::uint32_t sequence = 0;
    };

    [[nodiscard]] bool isNew(const HostId &from, const ShareRequest &request);
    [[nodiscard]] static LimitShare lentUntil(const Shard &shard, TimePoint end);
    static void dropUnlisted(Shard &shard, const HostId &from, const ShardRequest &request);
    [[nodiscard]] static LimitShare grant(
        Shard &shard, const HostId &from, const ShareDemand &demand, LimitShare pool, TimePoint expiry, TimePoint now);

    ProcessEpoch m_epoch;
    std::map<HostId, Borrower> m_borrowers;
    std::map<LimitShard, Shard> m_shards;
};

} // namespace Carawaymill

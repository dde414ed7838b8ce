#include "admission/ShareAllocator.h"

#include <algorithm>
#include <set>

namespace Carawaymill {

static constexpr std::uint64_t microsecondsPerMillisecond = 1000;

static std::uint64_t milliseconds(TimePoint time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count()) / microsecondsPerMillisecond;
}

ShareAllocator::ShareAllocator(ProcessEpoch epoch)
    : m_epoch(epoch)
{
}

bool ShareAllocator::isNew(const HostId &from, const ShareRequest &request)
{
    Borrower &borrower = m_borrowers[from];
    if (borrower.epoch != request.epoch) {
        // An epoch grows with each start, so a lower one is a message of a former life.
        if (request.epoch < borrower.epoch) {
            return false;
        }
        borrower = {.epoch = request.epoch, .sequence = request.sequence};
        return true;
    }
    if (request.sequence <= borrower.sequence) {
        return false;
    }
    borrower.sequence = request.sequence;
    return true;
}

LimitShare ShareAllocator::lentUntil(const Shard &shard, TimePoint end)
{
    LimitShare sum;
    for (const auto &[host, loan] : shard.loans) {
        if (loan.expiry >= end) {
            sum += loan.share;
        }
    }
    return sum;
}

void ShareAllocator::dropUnlisted(Shard &shard, const HostId &from, const ShardRequest &request)
{
    std::set<std::uint64_t> listed;
    for (const ShareDemand &demand : request.demands) {
        listed.insert(demand.key);
    }
    for (auto &[key, grants] : shard.grants) {
        if (!listed.contains(key)) {
            grants.erase(from);
        }
    }
}

LimitShare ShareAllocator::grant(
    Shard &shard, const HostId &from, const ShareDemand &demand, LimitShare pool, TimePoint expiry, TimePoint now)
{
    std::map<HostId, Grant> &grants = shard.grants[demand.key];
    std::uint64_t wantedByAll = demand.wanted.value();
    LimitShare outstandingElsewhere;
    for (const auto &[host, grant] : grants) {
        if (host != from && grant.expiry > now) {
            wantedByAll += grant.wanted.value();
            outstandingElsewhere += grant.outstanding;
        }
    }
    std::uint64_t share = demand.wanted.value();
    if (wantedByAll > pool.value()) {
        share = share * pool.value() / wantedByAll;
    }
    const std::uint32_t free = pool.value() - std::min(pool.value(), outstandingElsewhere.value());
    const LimitShare granted(std::min(static_cast<std::uint32_t>(share), free));
    grants[from] = {.outstanding = std::max(granted, demand.held), .wanted = demand.wanted, .expiry = expiry};
    return granted;
}

ShareReply ShareAllocator::handle(const HostId &from, const ShareRequest &request, Duration grantTime, TimePoint now)
{
    ShareReply reply{.sequence = request.sequence,
                     .epoch = m_epoch,
                     .allocatorClock = milliseconds(now),
                     .grantTime = static_cast<std::uint32_t>(grantTime / 1ms),
                     .shares = {}};
    if (!isNew(from, request)) {
        return reply;
    }
    for (const ShardRequest &part : request.shards) {
        Shard &shard = m_shards[part.shard];
        const TimePoint loanEnd(std::chrono::milliseconds(request.allocatorClock + request.loanTime));
        if (part.loan > LimitShare(0) && request.allocatorEpoch == m_epoch) {
            shard.loans[from] = {.share = part.loan, .expiry = loanEnd};
        }
        dropUnlisted(shard, from, part);
        const LimitShare pool = lentUntil(shard, now + grantTime);
        for (const ShareDemand &demand : part.demands) {
            reply.shares.push_back(grant(shard, from, demand, pool, now + grantTime, now));
        }
    }
    return reply;
}

void ShareAllocator::expire(TimePoint now)
{
    for (auto &[id, shard] : m_shards) {
        std::erase_if(shard.loans, [&](const auto &entry) { return entry.second.expiry <= now; });
        for (auto &[key, grants] : shard.grants) {
            std::erase_if(grants, [&](const auto &entry) { return entry.second.expiry <= now; });
        }
        std::erase_if(shard.grants, [](const auto &entry) { return entry.second.empty(); });
    }
}

} // namespace Carawaymill

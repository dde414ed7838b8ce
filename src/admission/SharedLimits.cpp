#include "admission/SharedLimits.h"

#include "support/Hash.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Carawaymill {

/// How often timers are looked at.
static constexpr Duration scanInterval = 20ms;
/// A lender's loan ends later than the allocator thinks, so that clocks may run apart by a part in a hundred.
static constexpr int driftPercent = 1;

static std::uint64_t keyOf(const LimitName &name)
{
    return stableHash(name.value());
}

Result<SharedLimits, InvalidSharedLimitsOptions> SharedLimits::create(SharedLimitsOptions options, TimePoint now)
{
    if (options.self.value().empty()) {
        return InvalidSharedLimitsOptions{.option = "self"};
    }
    if (options.epoch == ProcessEpoch(0)) {
        return InvalidSharedLimitsOptions{.option = "epoch"};
    }
    if (options.shards == 0) {
        return InvalidSharedLimitsOptions{.option = "shards"};
    }
    if (options.retainedPercent > 100) {
        return InvalidSharedLimitsOptions{.option = "retainedPercent"};
    }
    if (options.urgentInterval <= Duration(0) || options.urgentInterval > options.shortestRenewal) {
        return InvalidSharedLimitsOptions{.option = "urgentInterval"};
    }
    return SharedLimits(std::move(options), now);
}

SharedLimits::SharedLimits(SharedLimitsOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_allocator(m_options.epoch)
    , m_shards(m_options.shards)
    , m_aliveHosts({m_options.self})
    , m_lendFrom(now)
{
    choosePeers();
}

Duration SharedLimits::renewal() const
{
    return std::max(m_options.shortestRenewal, m_options.renewalPerHost * static_cast<int>(m_portions));
}

std::vector<SharedLimitsAction> SharedLimits::handle(const SharedLimitsEvent &event, TimePoint now)
{
    std::visit([&](const auto &concrete) { on(concrete, now); }, event);
    return std::exchange(m_actions, {});
}

void SharedLimits::on(const Tick & /*tick*/, TimePoint now)
{
    if (now < m_nextScan) {
        return;
    }
    m_nextScan = now + scanInterval;
    m_allocator.expire(now);
    endLoans(now);
    if (m_knownHosts < m_portions && now >= m_fewerPortionsAt) {
        setPortion(m_knownHosts, now);
    }
    for (auto &[allocator, peer] : m_peers) {
        if (isDue(peer, now)) {
            request(allocator, peer, now);
        }
    }
}

void SharedLimits::endLoans(TimePoint now)
{
    if (!m_mayLend) {
        m_mayLend = m_options.firstStartOfDeployment || now >= m_lendFrom + loanTime();
        if (m_mayLend) {
            for (const Shard &shard : m_shards) {
                setOwnShares(shard, now);
            }
        }
    }
    bool ended = false;
    for (Shard &shard : m_shards) {
        if (shard.loan && now >= shard.loan->until) {
            shard.loan = std::nullopt;
            setOwnShares(shard, now);
            ended = true;
        }
    }
    if (ended) {
        choosePeers();
    }
}

void SharedLimits::on(const FleetChanged &fleet, TimePoint now)
{
    m_aliveHosts = fleet.aliveHosts;
    if (m_aliveHosts.empty()) {
        m_aliveHosts.push_back(m_options.self);
    }
    m_knownHosts = std::max<std::size_t>(fleet.knownHosts, 1);
    if (m_knownHosts >= m_portions) {
        setPortion(m_knownHosts, now);
    }
    m_fewerPortionsAt = now + loanTime();
    choosePeers();
}

void SharedLimits::setPortion(std::size_t hosts, TimePoint now)
{
    m_portions = hosts;
    for (const Shard &shard : m_shards) {
        setOwnShares(shard, now);
    }
}

const HostId &SharedLimits::allocatorOf(LimitShard shard) const
{
    // Rendezvous hashing: a change of one host moves only the shards that it gains or loses.
    return *std::max_element(m_aliveHosts.begin(), m_aliveHosts.end(), [&](const HostId &left, const HostId &right) {
        return std::pair(stableHash(left.value(), shard.value()), left)
               < std::pair(stableHash(right.value(), shard.value()), right);
    });
}

void SharedLimits::choosePeers()
{
    for (auto &[host, peer] : m_peers) {
        peer.shards.clear();
    }
    const std::set<HostId> alive(m_aliveHosts.begin(), m_aliveHosts.end());
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        const LimitShard id(static_cast<std::uint16_t>(index));
        Shard &shard = m_shards[index];
        shard.allocator = allocatorOf(id);
        m_peers[shard.allocator].shards.insert(id);
        // A former allocator grants shares as long as it has this host's loan.
        if (shard.loan && alive.contains(shard.loan->allocator)) {
            m_peers[shard.loan->allocator].shards.insert(id);
        }
    }
}

LimitShare SharedLimits::ownShare(const Shard &shard) const
{
    const auto portion = static_cast<std::uint32_t>(wholeLimit.value() / m_portions);
    const bool lent = shard.loan || !m_mayLend;
    return LimitShare(lent ? portion * m_options.retainedPercent / 100 : portion);
}

void SharedLimits::setOwnShares(const Shard &shard, TimePoint now)
{
    for (const std::uint64_t key : shard.limits) {
        m_limits.at(key).allowance.setOwnShare(ownShare(shard), now);
    }
}

void SharedLimits::on(const LimitsRead &read, TimePoint now)
{
    std::unordered_map<std::uint64_t, Limit> limits;
    for (Shard &shard : m_shards) {
        shard.limits.clear();
    }
    for (const NamedLimits &named : read.limits) {
        const std::uint64_t key = keyOf(named.name);
        const LimitShard id(static_cast<std::uint16_t>(key % m_shards.size()));
        Shard &shard = m_shards[id.value()];
        shard.limits.push_back(key);
        if (auto known = m_limits.extract(key)) {
            known.mapped().allowance.setLimits(named.limits, now);
            limits.insert(std::move(known));
        } else {
            limits.emplace(key, Limit{named.name, id, LimitAllowance(named.limits, ownShare(shard), now)});
        }
    }
    m_limits = std::move(limits);
}

bool SharedLimits::isDue(const Peer &peer, TimePoint now) const
{
    if (peer.shards.empty()) {
        return false;
    }
    if (!peer.sentAt) {
        return true;
    }
    Duration pace = peer.hadDemands ? renewal() : 2 * renewal();
    if (peer.urgent) {
        // A further request would make this host ignore the reply that is on its way.
        pace = peer.awaiting ? renewal() : m_options.urgentInterval;
    }
    return now >= *peer.sentAt + pace;
}

LimitShare SharedLimits::lend(Shard &shard, const HostId &allocator, const Peer &peer, TimePoint now)
{
    const bool known = peer.epoch != ProcessEpoch(0);
    const bool lentElsewhere = shard.loan && (shard.loan->allocator != allocator || shard.loan->epoch != peer.epoch);
    if (!m_mayLend || !known || lentElsewhere || shard.allocator != allocator) {
        return LimitShare(0);
    }
    const Duration outstanding = loanTime() * (100 + driftPercent) / 100;
    shard.loan = Loan{.allocator = allocator, .epoch = peer.epoch, .until = now + outstanding};
    setOwnShares(shard, now);
    const auto portion = static_cast<std::uint32_t>(wholeLimit.value() / m_portions);
    return LimitShare(portion - portion * m_options.retainedPercent / 100);
}

ShardRequest SharedLimits::requestFor(LimitShard id, const HostId &allocator, Peer &peer, TimePoint now)
{
    Shard &shard = m_shards[id.value()];
    ShardRequest part{.shard = id, .loan = lend(shard, allocator, peer, now), .demands = {}};
    const ShareSource source(allocator, peer.epoch);
    for (const std::uint64_t key : shard.limits) {
        LimitAllowance &allowance = m_limits.at(key).allowance;
        const LimitShare wanted = allowance.wanted(now);
        allowance.lowerGrant(source, wanted, now);
        const LimitShare held = allowance.grantedBy(source);
        if (wanted > LimitShare(0)) {
            part.demands.push_back({.key = key, .held = held, .wanted = wanted});
            peer.asked.push_back(key);
        }
    }
    return part;
}

void SharedLimits::request(const HostId &allocator, Peer &peer, TimePoint now)
{
    ShareRequest request{.sequence = ++peer.sequence,
                         .epoch = m_options.epoch,
                         .allocatorEpoch = peer.epoch,
                         .allocatorClock = peer.clock,
                         .loanTime = static_cast<std::uint32_t>(loanTime() / 1ms)};
    peer.asked.clear();
    peer.sentAt = now;
    peer.urgent = false;
    peer.awaiting = true;
    for (const LimitShard shard : peer.shards) {
        ShardRequest part = requestFor(shard, allocator, peer, now);
        if (part.loan > LimitShare(0) || !part.demands.empty()) {
            request.shards.push_back(std::move(part));
        }
    }
    peer.hadDemands = !peer.asked.empty();
    send(allocator, std::move(request), now);
}

void SharedLimits::send(const HostId &to, ShareMessage message, TimePoint now)
{
    if (to != m_options.self) {
        m_actions.emplace_back(SendShareMessage{.to = to, .message = std::move(message)});
        return;
    }
    std::visit([&](const auto &body) { on(to, body, now); }, message);
}

void SharedLimits::on(const ShareMessageReceived &received, TimePoint now)
{
    if (received.from != m_options.self) {
        std::visit([&](const auto &body) { on(received.from, body, now); }, received.message);
    }
}

void SharedLimits::on(const HostId &from, const ShareRequest &request, TimePoint now)
{
    send(from, m_allocator.handle(from, request, grantTime(), now), now);
}

void SharedLimits::on(const HostId &from, const ShareReply &reply, TimePoint now)
{
    const auto found = m_peers.find(from);
    if (found == m_peers.end()) {
        return;
    }
    Peer &peer = found->second;
    if (reply.sequence != peer.sequence || reply.shares.size() != peer.asked.size() || reply.epoch < peer.epoch) {
        return;
    }
    peer.awaiting = false;
    // The first reply of a life of the allocator brings its clock, without which nothing can be lent.
    peer.urgent = peer.urgent || peer.epoch != reply.epoch;
    peer.epoch = reply.epoch;
    peer.clock = reply.allocatorClock;
    const TimePoint until = *peer.sentAt + std::chrono::milliseconds(reply.grantTime);
    const ShareSource source(from, reply.epoch);
    for (std::size_t index = 0; index < reply.shares.size(); ++index) {
        if (const auto limit = m_limits.find(peer.asked[index]); limit != m_limits.end()) {
            limit->second.allowance.setGrant(source, reply.shares[index], until, now);
        }
    }
}

SharedLimits::Limit *SharedLimits::find(const LimitName &name)
{
    const auto found = m_limits.find(keyOf(name));
    return found == m_limits.end() ? nullptr : &found->second;
}

void SharedLimits::askSoon(const Limit &limit)
{
    const Shard &shard = m_shards[limit.shard.value()];
    m_peers[shard.allocator].urgent = true;
    if (shard.loan && shard.loan->allocator != shard.allocator) {
        m_peers[shard.loan->allocator].urgent = true;
    }
}

Result<LimitReservation, LimitReached, LimitMissing> SharedLimits::reserve(const LimitedRequest &request, TimePoint now)
{
    return reserve(
        {limitName(request.organisation), limitName(request.entry)}, request.tokens, request.firstAttempt, now);
}

bool SharedLimits::hasRoom(const LimitName &name, TokenCount tokens, TimePoint now)
{
    Limit *limit = find(name);
    return limit != nullptr && limit->allowance.fits(tokens, now);
}

Result<LimitReservation, LimitReached, LimitMissing>
SharedLimits::reserve(const std::vector<LimitName> &names, TokenCount tokens, bool firstAttempt, TimePoint now)
{
    std::optional<LimitReached> reached;
    Duration leastWait{};
    std::vector<Limit *> limits;
    for (const LimitName &name : names) {
        Limit *limit = find(name);
        if (limit == nullptr || limit->allowance.allowsNothing()) {
            return LimitMissing{.limit = name};
        }
        limits.push_back(limit);
    }
    for (Limit *limit : limits) {
        if (firstAttempt) {
            limit->allowance.offer(tokens, now);
        }
        const Duration wait = limit->allowance.timeUntilFit(tokens, now);
        if (wait > Duration(0)) {
            askSoon(*limit);
            leastWait = std::max(leastWait, limit->allowance.leastTimeUntilFit(tokens));
            if (!reached || wait > reached->retryAfter) {
                reached = LimitReached{.limit = limit->name, .retryAfter = wait};
            }
        }
    }
    if (reached) {
        reached->leastWait = leastWait;
        return *reached;
    }
    for (Limit *limit : limits) {
        limit->allowance.take(tokens, now);
    }
    return LimitReservation{.limits = names, .tokens = tokens};
}

void SharedLimits::settle(const LimitReservation &reservation, TokenCount used, TimePoint now)
{
    for (const LimitName &name : reservation.limits) {
        if (Limit *limit = find(name)) {
            limit->allowance.settle(reservation.tokens, used, now);
        }
    }
}

LimitShare SharedLimits::share(const LimitName &name, TimePoint now)
{
    Limit *limit = find(name);
    if (limit == nullptr) {
        return LimitShare(0);
    }
    limit->allowance.advance(now);
    return limit->allowance.share();
}

} // namespace Carawaymill

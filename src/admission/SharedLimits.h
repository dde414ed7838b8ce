#pragma once

#include "admission/LimitAllowance.h"
#include "admission/ShareAllocator.h"
#include "admission/ShareMessages.h"
#include "admission/SharedLimitsOptions.h"
#include "catalogue/Records.h"
#include "support/Time.h"
#include "support/Variant.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Event: the fleet as membership knows it.
struct FleetChanged
{
    /// Every host that is known, dead ones included until they are dropped: each owns an equal portion.
    std::size_t knownHosts = 1;
    /// The hosts that may be allocators, this one included.
    std::vector<HostId> aliveHosts;
};

/// One limit of the catalogue.
struct NamedLimits
{
    LimitName name;
    Limits limits;
};

/// Event: the catalogue's limits, all of them.
struct LimitsRead
{
    std::vector<NamedLimits> limits;
};

/// Event: a message of another host. It may come late, twice or out of order.
struct ShareMessageReceived
{
    HostId from;
    ShareMessage message;
};

using SharedLimitsEvent = std::variant<Tick, FleetChanged, LimitsRead, ShareMessageReceived>;

/// Action: send `message`, once, to the host `to`.
struct SendShareMessage
{
    HostId to;
    ShareMessage message;
};

using SharedLimitsAction = std::variant<SendShareMessage>;

/// A request that consumes limits of its organisation and of its entry.
struct LimitedRequest
{
    OrganisationId organisation;
    EntryId entry;
    /// The most that it may use: its prompt and the most tokens that it may generate.
    TokenCount tokens;
    /// Whether the request is tried for the first time; repeats add nothing to the demand.
    bool firstAttempt = true;
};

/// What was taken for a request; to be given to `settle` once, however the request ends.
struct LimitReservation
{
    std::vector<LimitName> limits;
    TokenCount tokens;
};

/// A limit does not leave room for the request now.
struct LimitReached
{
    LimitName limit;
    /// When it may fit, as far as this host knows.
    Duration retryAfter{};
    /// It cannot fit sooner, even if this host were given the whole limit.
    Duration leastWait{};
};

/// The catalogue has no such organisation or entry, or allows it nothing.
struct LimitMissing
{
    LimitName limit;
};

/// Holds the limits of organisations and entries over all hosts together, without a counter that all share.
///
/// Each host owns an equal portion of every limit. It lends most of it, by shard of limits, to the shard's allocator,
/// and an allocator grants shares to the hosts with demand out of what was lent to it. A host lends a portion to one
/// life of one allocator at a time, so the shares never sum up to more than the limit, whatever each host believes of
/// the others.
class SharedLimits
{
public:
    /// Shares and loans last for so many renewals. A loan is renewed at every second renewal and counts from the
    /// allocator's clock as of the exchange before; it must outlast that, one lost exchange, and a share.
    static constexpr int grantRenewals = 3;
    static constexpr int loanRenewals = 10;

    [[nodiscard]] static Result<SharedLimits, InvalidSharedLimitsOptions> create(SharedLimitsOptions options,
                                                                                 TimePoint now);

    [[nodiscard]] std::vector<SharedLimitsAction> handle(const SharedLimitsEvent &event, TimePoint now);

    /// Takes room for a request in the limits of its organisation and of its entry, or in neither.
    [[nodiscard]] Result<LimitReservation, LimitReached, LimitMissing> reserve(const LimitedRequest &request,
                                                                               TimePoint now);
    /// The same for any limits. `firstAttempt` and `tokens` as in `LimitedRequest`.
    [[nodiscard]] Result<LimitReservation, LimitReached, LimitMissing>
    reserve(const std::vector<LimitName> &names, TokenCount tokens, bool firstAttempt, TimePoint now);
    /// Whether the limit has room for a request of so many tokens. Adds nothing to the demand; false for an unknown
    /// limit.
    [[nodiscard]] bool hasRoom(const LimitName &name, TokenCount tokens, TimePoint now);
    /// Ends a reservation; `used` are the tokens that were prompted and generated in fact.
    void settle(const LimitReservation &reservation, TokenCount used, TimePoint now);

    /// What this host may use of a limit at present; 0 for an unknown limit.
    [[nodiscard]] LimitShare share(const LimitName &limit, TimePoint now);

private:
    struct Limit
    {
        LimitName name;
        LimitShard shard;
        LimitAllowance allowance;
    };

    /// What this host has lent of a shard.
    struct Loan
    {
        HostId allocator;
        ProcessEpoch epoch;
        TimePoint until;
    };

    struct Shard
    {
        HostId allocator;
        std::optional<Loan> loan;
        std::vector<std::uint64_t> limits;
    };

    /// An allocator that this host talks to.
    struct Peer
    {
        std::set<LimitShard> shards;
        std::uint32_t sequence = 0;
        ProcessEpoch epoch;
        std::uint64_t clock = 0;
        std::optional<TimePoint> sentAt;
        bool urgent = false;
        /// No reply to the last request has come yet.
        bool awaiting = false;
        bool hadDemands = false;
        /// The limits of the last request's demands, in order.
        std::vector<std::uint64_t> asked;
    };

    SharedLimits(SharedLimitsOptions options, TimePoint now);

    void on(const Tick &tick, TimePoint now);
    void on(const FleetChanged &fleet, TimePoint now);
    void on(const LimitsRead &read, TimePoint now);
    void on(const ShareMessageReceived &received, TimePoint now);
    void on(const HostId &from, const ShareRequest &request, TimePoint now);
    void on(const HostId &from, const ShareReply &reply, TimePoint now);

    void endLoans(TimePoint now);
    void choosePeers();
    [[nodiscard]] const HostId &allocatorOf(LimitShard shard) const;
    [[nodiscard]] bool isDue(const Peer &peer, TimePoint now) const;
    void request(const HostId &allocator, Peer &peer, TimePoint now);
    [[nodiscard]] ShardRequest requestFor(LimitShard id, const HostId &allocator, Peer &peer, TimePoint now);
    [[nodiscard]] LimitShare lend(Shard &shard, const HostId &allocator, const Peer &peer, TimePoint now);
    void send(const HostId &to, ShareMessage message, TimePoint now);
    void setOwnShares(const Shard &shard, TimePoint now);
    void setPortion(std::size_t hosts, TimePoint now);
    [[nodiscard]] LimitShare ownShare(const Shard &shard) const;
    [[nodiscard]] Limit *find(const LimitName &name);
    void askSoon(const Limit &limit);

    [[nodiscard]] Duration renewal() const;

    [[nodiscard]] Duration grantTime() const { return grantRenewals * renewal(); }

    [[nodiscard]] Duration loanTime() const { return loanRenewals * renewal(); }

    SharedLimitsOptions m_options;
    ShareAllocator m_allocator;
    std::unordered_map<std::uint64_t, Limit> m_limits;
    std::vector<Shard> m_shards;
    std::map<HostId, Peer> m_peers;
    std::vector<HostId> m_aliveHosts;
    /// How many equal portions each limit has.
    std::size_t m_portions = 1;
    /// The number of portions falls to that of known hosts only after a loan time without a higher one.
    std::size_t m_knownHosts = 1;
    TimePoint m_fewerPortionsAt;
    TimePoint m_lendFrom;
    bool m_mayLend = false;
    TimePoint m_nextScan;
    std::vector<SharedLimitsAction> m_actions;
};

} // namespace Carawaymill

#pragma once

#include "ledger/BillOutbox.h"
#include "ledger/LedgerClient.h"
#include "ledger/LedgerShardOwner.h"
#include "standins/KeyValueStore.h"
#include "support/Random.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

/// Faults of the link between hosts.
struct LinkFaults
{
    double loss = 0;
    double doubling = 0;
    Duration maximumDelay = 1ms;
};

/// Hosts, their links and the key-value service under virtual time.
class LedgerFixture
{
public:
    struct Host
    {
        HostLife life;
        bool alive = true;
        /// A paused host handles nothing; what arrives waits for its waking.
        bool paused = false;
        std::unique_ptr<LedgerClient> client;
        std::unique_ptr<BillOutbox> outbox;
        std::map<ShardNumber, LedgerShardOwner> owners;
        std::vector<std::function<void()>> waiting;
    };

    LedgerFixture(std::uint64_t seed, unsigned hostCount, std::uint32_t shards);

    Host &host(unsigned index) { return *m_hosts.at(index); }

    /// Gives the shard's lease to the host. The former owner is not told.
    void moveShard(ShardNumber shard, unsigned owner);
    void claim(unsigned host, CallId call, const std::string &key, const std::string &body, bool targetsHonour = false);
    void end(unsigned host, CallId call, ClaimOutcome outcome);
    void earn(unsigned host, const std::string &job);
    /// The process ends; everybody is told.
    void kill(unsigned host);
    /// A new process of the host begins.
    void start(unsigned host);
    void wake(unsigned host);
    void run(Duration duration);
    void deliver(const HostId &to, const HostId &from, const LedgerMessage &message);

    /// The verdict for the call; it must be there.
    CallVerdict verdict(CallId call) const;

    template<typename Verdict>
    bool decided(CallId call) const
    {
        return verdicts.contains(call) && std::holds_alternative<Verdict>(verdicts.at(call));
    }

    /// Sum over all usage records of the organisation.
    UsageTotal usage(const std::string &organisation);

    TimePoint now{};
    KeyValueStore store;
    Duration tickInterval = 5ms;
    LinkFaults link;
    /// Drops the messages for which it holds.
    std::function<bool(const LedgerMessage &)> drop;
    std::map<CallId, CallVerdict> verdicts;
    std::function<void(unsigned host, CallId call)> onGranted;
    std::vector<LedgerMessage> sent;
    std::size_t lostBills = 0;
    LedgerShardOwnerOptions ownerOptions;

private:
    using Step = std::function<void()>;

    unsigned indexOf(const HostId &host) const;

    void at(Duration delay, Step step) { m_steps.emplace(now + delay, std::move(step)); }

    /// Runs the step for a live process; keeps it while the host is paused.
    void forHost(unsigned index, const HostLife &life, Step step);
    template<typename Actions>
    void perform(unsigned index, ShardNumber shard, const Actions &actions);
    void send(unsigned from, const SendLedgerMessage &message);
    void call(unsigned index, ShardNumber shard, const KeyValueCall &call);
    void toOwner(unsigned index, ShardNumber shard, const ShardOwnerEvent &event);
    void toClient(unsigned index, const LedgerClientEvent &event);
    void toOutbox(unsigned index, const BillOutboxEvent &event);
    void tick();

    std::uint32_t m_shards;
    Random m_random;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<ShardNumber, unsigned> m_owners;
    std::map<ShardNumber, FencingNumber> m_fencing;
    std::multimap<TimePoint, Step> m_steps;
};

} // namespace Carawaymill

#include "LedgerFixture.h"

#include <doctest/doctest.h>

namespace Carawaymill {

LedgerFixture::LedgerFixture(std::uint64_t seed, unsigned hostCount, std::uint32_t shards)
    : store({.seed = seed})
    , m_shards(shards)
    , m_random(seed)
{
    ownerOptions.groupInterval = 20ms;
    for (unsigned index = 0; index < hostCount; ++index) {
        m_hosts.push_back(std::make_unique<Host>());
        m_hosts.back()->life.host = HostId("host" + std::to_string(index));
    }
    for (unsigned index = 0; index < hostCount; ++index) {
        start(index);
    }
}

void LedgerFixture::start(unsigned index)
{
    Host &started = host(index);
    started.life.incarnation = started.life.incarnation.next();
    started.alive = true;
    started.paused = false;
    started.waiting.clear();
    started.owners.clear();
    started.client = std::make_unique<LedgerClient>(
        std::get<LedgerClient>(LedgerClient::create({.self = started.life, .shards = m_shards})));
    started.outbox = std::make_unique<BillOutbox>(
        std::get<BillOutbox>(BillOutbox::create({.self = started.life, .shards = m_shards})));
    const unsigned keeper = (index + 1) % m_hosts.size();
    toOutbox(index, CopyKeeperChosen{.keeper = HostId("host" + std::to_string(keeper))});
    for (const auto &[shard, owner] : m_owners) {
        const ShardOwnerLearned learned{.shard = shard, .owner = host(owner).life.host};
        toClient(index, learned);
        toOutbox(index, learned);
    }
}

unsigned LedgerFixture::indexOf(const HostId &name) const
{
    for (unsigned index = 0; index < m_hosts.size(); ++index) {
        if (m_hosts[index]->life.host == name) {
            return index;
        }
    }
    FAIL("unknown host");
    return 0;
}

void LedgerFixture::moveShard(ShardNumber shard, unsigned owner)
{
    m_fencing[shard] = m_fencing[shard].next();
    m_owners[shard] = owner;
    LedgerShardOwnerOptions options = ownerOptions;
    options.store.shard = shard;
    Host &next = host(owner);
    next.owners.try_emplace(shard, std::get<LedgerShardOwner>(LedgerShardOwner::create(options)));
    toOwner(
        owner,
        shard,
        LeaseAcquired{.scope = shardScope(shard), .fencingNumber = m_fencing[shard], .validUntil = now + 24h * 365});
    for (unsigned index = 0; index < m_hosts.size(); ++index) {
        const ShardOwnerLearned learned{.shard = shard, .owner = next.life.host};
        toClient(index, learned);
        toOutbox(index, learned);
    }
}

void LedgerFixture::claim(unsigned index, CallId call, const std::string &key, const std::string &body, bool honour)
{
    toClient(index,
             ClaimWanted{.call = call,
                         .organisation = OrganisationId("hibana"),
                         .key = IdempotencyKey(key),
                         .request = requestHash("POST", "/bookings", body),
                         .targetsHonourKey = honour});
}

void LedgerFixture::end(unsigned index, CallId call, ClaimOutcome outcome)
{
    toClient(index, CallEnded{.call = call, .outcome = std::move(outcome)});
}

void LedgerFixture::earn(unsigned index, const std::string &job)
{
    // An organisation for each job shows in the usage records whether its bill was counted once.
    toOutbox(index,
             BillEarned{.bill = {.job = JobId(job),
                                 .organisation = OrganisationId(job),
                                 .period = BillingPeriod("2026-12"),
                                 .tokens = TokenCount(10),
                                 .price = MicroPrice(3)}});
}

void LedgerFixture::kill(unsigned index)
{
    host(index).alive = false;
    const HostLife gone = host(index).life;
    for (unsigned other = 0; other < m_hosts.size(); ++other) {
        toOutbox(other, BillSourceGone{.source = gone});
        for (auto &[shard, owner] : host(other).owners) {
            toOwner(other, shard, ClaimantGone{.claimant = gone});
        }
    }
}

void LedgerFixture::wake(unsigned index)
{
    host(index).paused = false;
    const auto waiting = std::exchange(host(index).waiting, {});
    for (const Step &step : waiting) {
        step();
    }
}

void LedgerFixture::forHost(unsigned index, const HostLife &life, Step step)
{
    Host &target = host(index);
    if (!target.alive || target.life != life) {
        return;
    }
    if (target.paused) {
        target.waiting.push_back(std::move(step));
    } else {
        step();
    }
}

void LedgerFixture::toOwner(unsigned index, ShardNumber shard, const ShardOwnerEvent &event)
{
    forHost(index, host(index).life, [this, index, shard, event] {
        if (const auto owner = host(index).owners.find(shard); owner != host(index).owners.end()) {
            perform(index, shard, owner->second.handle(event, now));
        }
    });
}

void LedgerFixture::toClient(unsigned index, const LedgerClientEvent &event)
{
    forHost(index, host(index).life, [this, index, event] {
        perform(index, ShardNumber(0), host(index).client->handle(event, now));
    });
}

void LedgerFixture::toOutbox(unsigned index, const BillOutboxEvent &event)
{
    forHost(index, host(index).life, [this, index, event] {
        perform(index, ShardNumber(0), host(index).outbox->handle(event, now));
    });
}

template<typename Actions>
void LedgerFixture::perform(unsigned index, ShardNumber shard, const Actions &actions)
{
    for (const auto &action : actions) {
        std::visit(Overloaded{
                       [&](const SendLedgerMessage &message) { send(index, message); },
                       [&](const KeyValueCall &request) { call(index, shard, request); },
                       [&](const CallDecided &decision) {
                           CHECK(verdicts.emplace(decision.call, decision.verdict).second);
                           if (onGranted && std::holds_alternative<ClaimGranted>(decision.verdict)) {
                               onGranted(index, decision.call);
                           }
                       },
                       [&](const BillLost &) { ++lostBills; },
                       [](const auto &) {},
                   },
                   action);
    }
}

void LedgerFixture::send(unsigned from, const SendLedgerMessage &message)
{
    sent.push_back(message.message);
    if (drop && drop(message.message)) {
        return;
    }
    const std::string packed = packCbor(nlohmann::json(message.message));
    const HostId sender = host(from).life.host;
    const int copies = m_random.fraction() < link.doubling ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (m_random.fraction() < link.loss) {
            continue;
        }
        const Duration delay(m_random.below(static_cast<std::uint64_t>(link.maximumDelay.count())));
        at(delay, [this, packed, to = message.to, sender] {
            const auto json = std::get<nlohmann::json>(unpackCbor(packed));
            deliver(to, sender, std::get<LedgerMessage>(decode<LedgerMessage>(json)));
        });
    }
}

void LedgerFixture::deliver(const HostId &to, const HostId &from, const LedgerMessage &message)
{
    const unsigned index = indexOf(to);
    const LedgerMessageReceived received{.from = from, .message = message};
    toClient(index, received);
    toOutbox(index, received);
    for (auto &[shard, owner] : host(index).owners) {
        toOwner(index, shard, received);
    }
}

void LedgerFixture::call(unsigned index, ShardNumber shard, const KeyValueCall &request)
{
    const HostLife life = host(index).life;
    at(Duration(1000 + m_random.below(3000)), [this, index, shard, request, life] {
        const KeyValueReply reply{.id = request.id, .result = store.apply(request.request, now)};
        const bool timeout = std::holds_alternative<OutcomeUnknown>(reply.result);
        at(timeout ? request.timeout : Duration(1000 + m_random.below(3000)), [this, index, shard, reply, life] {
            forHost(index, life, [this, index, shard, reply] { toOwner(index, shard, reply); });
        });
    });
}

void LedgerFixture::tick()
{
    for (unsigned index = 0; index < m_hosts.size(); ++index) {
        if (!host(index).alive || host(index).paused) {
            continue;
        }
        toClient(index, Tick{});
        toOutbox(index, Tick{});
        for (auto &[shard, owner] : host(index).owners) {
            toOwner(index, shard, Tick{});
        }
    }
}

void LedgerFixture::run(Duration duration)
{
    const TimePoint end = now + duration;
    while (now < end) {
        const TimePoint next = now + tickInterval;
        while (!m_steps.empty() && m_steps.begin()->first <= next) {
            now = std::max(now, m_steps.begin()->first);
            const Step step = std::move(m_steps.begin()->second);
            m_steps.erase(m_steps.begin());
            step();
        }
        now = next;
        tick();
    }
}

CallVerdict LedgerFixture::verdict(CallId call) const
{
    REQUIRE(verdicts.contains(call));
    return verdicts.at(call);
}

UsageTotal LedgerFixture::usage(const std::string &organisation)
{
    UsageTotal total;
    for (std::uint32_t shard = 0; shard < m_shards; ++shard) {
        const std::string key = usageKey(OrganisationId(organisation), BillingPeriod("2026-12"), ShardNumber(shard));
        if (const auto record = store.record(key)) {
            addUsage(total, nlohmann::json::parse(record->value).get<UsageTotal>());
        }
    }
    return total;
}

} // namespace Carawaymill

#include "node/LedgerCoordinator.h"

#include "node/Fleet.h"
#include "node/NodeOutput.h"

#include <algorithm>
#include <charconv>

namespace Carawaymill {

/// Number of ledger shards, each owned by one host at a time. It must be the same on all hosts and must never change.
static constexpr std::uint32_t ledgerShards = 8;

/// The shard whose lease scope this is; std::nullopt if the scope is not that of a ledger shard.
static std::optional<std::uint32_t> shardOfScope(const LeaseScopeId &scope)
{
    for (std::uint32_t shard = 0; shard < ledgerShards; ++shard) {
        if (shardScope(ShardNumber(shard)) == scope) {
            return shard;
        }
    }
    return std::nullopt;
}

Result<LedgerCoordinator, LedgerCoordinator::InvalidOptions> LedgerCoordinator::create(const NodeOptions &options)
{
    const HostLife self{.host = options.host, .incarnation = options.incarnation};
    auto client = LedgerClient::create({.self = self, .shards = ledgerShards});
    if (!std::holds_alternative<LedgerClient>(client)) {
        return InvalidOptions{.field = "client"};
    }
    auto outbox = BillOutbox::create({.self = self, .shards = ledgerShards});
    if (!std::holds_alternative<BillOutbox>(outbox)) {
        return InvalidOptions{.field = "outbox"};
    }
    std::vector<LedgerShardOwner> owners;
    owners.reserve(ledgerShards);
    for (std::uint32_t shard = 0; shard < ledgerShards; ++shard) {
        auto owner = LedgerShardOwner::create({.store = {.shard = ShardNumber(shard)}});
        if (!std::holds_alternative<LedgerShardOwner>(owner)) {
            return InvalidOptions{.field = "owner"};
        }
        owners.push_back(std::get<LedgerShardOwner>(std::move(owner)));
    }
    return LedgerCoordinator(
        self, std::get<LedgerClient>(std::move(client)), std::get<BillOutbox>(std::move(outbox)), std::move(owners));
}

LedgerCoordinator::LedgerCoordinator(HostLife self,
                                     LedgerClient client,
                                     BillOutbox outbox,
                                     std::vector<LedgerShardOwner> owners)
    : m_self(std::move(self))
    , m_client(std::move(client))
    , m_outbox(std::move(outbox))
    , m_owners(std::move(owners))
{
}

std::vector<LeaseScopeId> LedgerCoordinator::scopes() const
{
    std::vector<LeaseScopeId> scopes;
    scopes.reserve(ledgerShards);
    for (std::uint32_t shard = 0; shard < ledgerShards; ++shard) {
        scopes.push_back(shardScope(ShardNumber(shard)));
    }
    return scopes;
}

void LedgerCoordinator::requestClaim(const ClaimWanted &wanted, NodeContext &context)
{
    dispatchClient(wanted, context);
}

void LedgerCoordinator::callEnded(CallId call, ClaimOutcome outcome, NodeContext &context)
{
    dispatchClient(CallEnded{.call = call, .outcome = std::move(outcome)}, context);
}

BillSequence LedgerCoordinator::bill(Bill bill, NodeContext &context)
{
    dispatchOutbox(BillEarned{.bill = std::move(bill)}, context);
    return m_outbox.last();
}

void LedgerCoordinator::tick(NodeContext &context)
{
    dispatchClient(Tick{}, context);
    dispatchOutbox(Tick{}, context);
    for (std::uint32_t shard = 0; shard < ledgerShards; ++shard) {
        dispatchOwner(shard, Tick{}, context);
    }
}

void LedgerCoordinator::scopeChanged(const ScopeChange &change, NodeContext &context)
{
    std::visit(
        [&](const auto &concrete) {
            if (const auto shard = shardOfScope(concrete.scope)) {
                dispatchOwner(*shard, concrete, context);
            }
        },
        change);
}

void LedgerCoordinator::membersChanged(NodeContext &context)
{
    const std::vector<HostId> aliveHosts = context.fleet.membership().aliveHosts();
    for (std::uint32_t shard = 0; shard < ledgerShards; ++shard) {
        const HostId owner = firstRanked(shardScope(ShardNumber(shard)).value(), aliveHosts);
        const ShardOwnerLearned ownerUpdate{.shard = ShardNumber(shard),
                                            .owner = owner.value().empty() ? std::nullopt : std::optional(owner)};
        dispatchClient(ownerUpdate, context);
        dispatchOutbox(ownerUpdate, context);
    }
    // Copies of this host's bills are kept in another failure domain.
    std::vector<HostId> keeperCandidates;
    FailureDomainId ownDomain;
    for (const Member &member : context.fleet.members()) {
        if (member.host == m_self.host) {
            ownDomain = member.profile.failureDomain;
        }
    }
    for (const Member &member : context.fleet.members()) {
        if (member.state == MemberState::Alive && member.profile.failureDomain != ownDomain) {
            keeperCandidates.push_back(member.host);
        } else if (member.state == MemberState::Dead && m_incarnations.contains(member.host)) {
            incarnationEnded({.host = member.host, .incarnation = m_incarnations.at(member.host)}, context);
        }
    }
    const HostId keeper = firstRanked(m_self.host.value(), keeperCandidates);
    dispatchOutbox(CopyKeeperChosen{.keeper = keeper.value().empty() ? std::nullopt : std::optional(keeper)}, context);
}

void LedgerCoordinator::messageReceived(const HostId &from, const nlohmann::json &body, NodeContext &context)
{
    auto message = decode<LedgerMessage>(body);
    if (auto *read = std::get_if<LedgerMessage>(&message)) {
        deliver({.from = from, .message = std::move(*read)}, context);
    }
}

void LedgerCoordinator::keyValueReply(std::uint32_t shard, const KeyValueReply &reply, NodeContext &context)
{
    dispatchOwner(shard, reply, context);
}

std::size_t LedgerCoordinator::shardsServed() const
{
    return static_cast<std::size_t>(
        std::count_if(m_owners.begin(), m_owners.end(), [](const LedgerShardOwner &owner) { return owner.serving(); }));
}

void LedgerCoordinator::dispatchClient(const LedgerClientEvent &event, NodeContext &context)
{
    for (const LedgerClientAction &action : m_client.handle(event, context.now)) {
        std::visit(Overloaded{[&](const SendLedgerMessage &send) { perform(send, context); },
                              [&](const CallDecided &decided) {
                                  context.output.log(describe(decided));
                                  m_decisions.push_back(decided);
                              },
                              [&](const OutcomeReportDropped &) {
                                  context.output.log("Ledger: a report of an outcome was dropped.");
                              }},
                   action);
    }
}

void LedgerCoordinator::dispatchOutbox(const BillOutboxEvent &event, NodeContext &context)
{
    for (const BillOutboxAction &action : m_outbox.handle(event, context.now)) {
        std::visit(Overloaded{[&](const SendLedgerMessage &send) { perform(send, context); },
                              [&](const BillLost &lost) {
                                  context.output.log("Ledger: lost the bill of job " + lost.bill.job.value() + ".");
                              }},
                   action);
    }
}

void LedgerCoordinator::dispatchOwner(std::uint32_t shard, const ShardOwnerEvent &event, NodeContext &context)
{
    for (ShardOwnerAction &action : m_owners[shard].handle(event, context.now)) {
        std::visit(Overloaded{[&](KeyValueCall &call) {
                                  context.keyValue.issue(
                                      KeyValueCaller::LedgerShard, shard, std::move(call), context.output);
                              },
                              [&](const SendLedgerMessage &send) { perform(send, context); },
                              [&](const ShardOwnerDecision &decision) {
                                  context.output.log(describe(ShardNumber(shard), decision));
                              }},
                   action);
    }
}

void LedgerCoordinator::perform(const SendLedgerMessage &send, NodeContext &context)
{
    if (send.to == m_self.host) {
        deliver({.from = m_self.host, .message = send.message}, context);
    } else {
        context.fleet.send(send.to, PeerChannel::Ledger, send.message, context.output);
    }
}

/// Dispatches a message by its type: to the client, to the outbox, or to the owner of the shard that it names. Messages
/// that name a shard out of range are dropped.
void LedgerCoordinator::deliver(const LedgerMessageReceived &received, NodeContext &context)
{
    const auto dispatchToOwner = [&](ShardNumber shard) {
        if (shard.value() < ledgerShards) {
            dispatchOwner(shard.value(), received, context);
        }
    };
    std::visit(Overloaded{[&](const ClaimRequested &request) {
                              recordIncarnation(request.attempt.claimant, context);
                              dispatchToOwner(request.shard);
                          },
                          [&](const OutcomeReported &report) { dispatchToOwner(report.shard); },
                          [&](const BillsReported &report) { dispatchToOwner(report.shard); },
                          [&](const ClaimDecided &) { dispatchClient(received, context); },
                          [&](const ClaimPeriodStale &) { dispatchClient(received, context); },
                          [&](const OutcomeRecorded &) { dispatchClient(received, context); },
                          [&](const BillsRecorded &) { dispatchOutbox(received, context); },
                          [&](const BillsCopied &copied) {
                              recordIncarnation(copied.stream, context);
                              dispatchOutbox(received, context);
                          },
                          [&](const BillCopiesKept &) { dispatchOutbox(received, context); }},
               received.message);
}

/// Records the incarnation that sent a message. If it is later than the recorded one, the recorded one has ended.
void LedgerCoordinator::recordIncarnation(const HostLife &life, NodeContext &context)
{
    const auto [latest, isNew] = m_incarnations.try_emplace(life.host, life.incarnation);
    if (!isNew && latest->second < life.incarnation) {
        const HostLife earlier{.host = life.host, .incarnation = latest->second};
        latest->second = life.incarnation;
        incarnationEnded(earlier, context);
    }
}

void LedgerCoordinator::incarnationEnded(const HostLife &life, NodeContext &context)
{
    for (std::uint32_t shard = 0; shard < ledgerShards; ++shard) {
        dispatchOwner(shard, ClaimantGone{life}, context);
    }
    dispatchOutbox(BillSourceGone{life}, context);
}

} // namespace Carawaymill

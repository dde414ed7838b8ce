#pragma once

#include "ledger/BillOutbox.h"
#include "ledger/LedgerClient.h"
#include "ledger/LedgerShardOwner.h"
#include "node/NodeContext.h"
#include "node/NodeOptions.h"
#include "node/ScopeCoordinator.h"

#include <map>
#include <memory>
#include <vector>

namespace Carawaymill {

/// The ledger on one host: its claims and bills, and those shards that the host owns.
class LedgerCoordinator
{
public:
    struct InvalidOptions
    {
        std::string field;
    };

    [[nodiscard]] static Result<LedgerCoordinator, InvalidOptions> create(const NodeOptions &options);

    /// The lease scopes of all ledger shards. The host that holds a shard's scope owns the shard.
    [[nodiscard]] std::vector<LeaseScopeId> scopes() const;

    void requestClaim(const ClaimWanted &wanted, NodeContext &context);
    void callEnded(CallId call, ClaimOutcome outcome, NodeContext &context);
    /// Bills a job. The bill survives a crash of this host once `billsSafeThrough` has reached the returned number.
    [[nodiscard]] BillSequence bill(Bill bill, NodeContext &context);

    void tick(NodeContext &context);
    void scopeChanged(const ScopeChange &change, NodeContext &context);
    void membersChanged(NodeContext &context);
    void messageReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void keyValueReply(std::uint32_t shard, const KeyValueReply &reply, NodeContext &context);

    /// Claim decisions since the last call.
    [[nodiscard]] std::vector<CallDecided> takeDecisions() { return std::exchange(m_decisions, {}); }

    /// Whether the outbox has capacity for the bill of another job.
    [[nodiscard]] bool hasRoom() const { return m_outbox.hasRoom(); }

    /// Bills up to this number are recorded, or copied to another host if a host is available for copies.
    [[nodiscard]] BillSequence billsSafeThrough() const { return m_outbox.safeThrough(); }

    [[nodiscard]] std::size_t unrecordedBills() const { return m_outbox.unrecorded(); }

    [[nodiscard]] std::size_t waitingReports() const { return m_client.waitingReports(); }

    [[nodiscard]] std::size_t shardsServed() const;

private:
    LedgerCoordinator(HostLife self, LedgerClient client, BillOutbox outbox, std::vector<LedgerShardOwner> owners);

    void dispatchClient(const LedgerClientEvent &event, NodeContext &context);
    void dispatchOutbox(const BillOutboxEvent &event, NodeContext &context);
    void dispatchOwner(std::uint32_t shard, const ShardOwnerEvent &event, NodeContext &context);
    void perform(const SendLedgerMessage &send, NodeContext &context);
    void deliver(const LedgerMessageReceived &messageReceived, NodeContext &context);
    void recordIncarnation(const HostLife &life, NodeContext &context);
    void incarnationEnded(const HostLife &life, NodeContext &context);

    HostLife m_self;
    LedgerClient m_client;
    BillOutbox m_outbox;
    std::vector<LedgerShardOwner> m_owners;
    std::vector<CallDecided> m_decisions;
    /// The latest incarnation of each host that has sent claims or bills to this host.
    std::map<HostId, IncarnationNumber> m_incarnations;
};

} // namespace Carawaymill

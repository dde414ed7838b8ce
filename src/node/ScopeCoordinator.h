#pragma once

#include "lease/LeaseManager.h"
#include "node/KeyValueCalls.h"
#include "node/NodeContext.h"
#include "node/NodeOptions.h"

#include <set>
#include <variant>
#include <vector>

namespace Carawaymill {

/// A scope that this host acquired or lost.
using ScopeChange = std::variant<LeaseAcquired, LeaseLost>;

/// Decides which scopes this host tries to hold: those for which it ranks among the first of the living hosts.
///
/// All hosts compute the same ranking, so that usually only the first-ranked hosts contend for a scope. Where their
/// views of the living hosts differ, the lease decides. A host that joins or leaves moves only its own share of the
/// scopes.
class ScopeCoordinator
{
public:
    [[nodiscard]] static Result<ScopeCoordinator, InvalidLeaseOptions> create(const NodeOptions &options);

    /// Updates the existing scopes and the alive hosts, and contends for or releases scopes accordingly. Neither list
    /// needs to be sorted.
    void refresh(const std::vector<LeaseScopeId> &scopes, const std::vector<HostId> &livingHosts, NodeContext &context);
    /// Releases all scopes and contends for none.
    void releaseAll(NodeContext &context);
    void tick(NodeContext &context);
    void reply(const KeyValueReply &reply, NodeContext &context);
    void storeEraChanged(const StoreEraChanged &change, NodeContext &context);

    /// Scopes acquired and lost since the last call.
    [[nodiscard]] std::vector<ScopeChange> takeChanges() { return std::exchange(m_changes, {}); }

    [[nodiscard]] const LeaseManager &leases() const { return m_leases; }

private:
    ScopeCoordinator(HostId self, std::uint32_t candidatesPerScope, LeaseManager leases);

    void dispatch(const LeaseEvent &event, NodeContext &context);

    HostId m_self;
    /// Number of hosts that contend for each scope. The lease is granted to one of them; when it expires, another can
    /// acquire it.
    std::uint32_t m_candidatesPerScope;
    LeaseManager m_leases;
    std::set<LeaseScopeId> m_held;
    std::set<LeaseScopeId> m_requested;
    std::vector<ScopeChange> m_changes;
};

/// The host that ranks first for the name by rendezvous hashing, which gives the same result on every host. Empty when
/// there are no hosts.
[[nodiscard]] HostId firstRanked(const std::string &name, const std::vector<HostId> &hosts);

} // namespace Carawaymill

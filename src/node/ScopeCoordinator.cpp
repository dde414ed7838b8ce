#include "node/ScopeCoordinator.h"

#include "node/NodeOutput.h"
#include "support/Hash.h"

#include <algorithm>

namespace Carawaymill {

/// Upper bound of the timeout of lease calls. Short leases get shorter timeouts, so that a lost call can be retried
/// before the lease expires.
static constexpr Duration maximumLeaseCallTimeout = 1500ms;

HostId firstRanked(const std::string &name, const std::vector<HostId> &hosts)
{
    HostId first;
    std::uint64_t highest = 0;
    for (const HostId &host : hosts) {
        const std::uint64_t rank = stableHash(name, stableHash(host.value()));
        if (first.value().empty() || rank > highest) {
            highest = rank;
            first = host;
        }
    }
    return first;
}

Result<ScopeCoordinator, InvalidLeaseOptions> ScopeCoordinator::create(const NodeOptions &options)
{
    auto leases =
        LeaseManager::create({.host = options.host,
                              .seed = stableHash("lease", options.seed),
                              .timeToLive = options.leaseTimeToLive,
                              .callTimeout = std::min<Duration>(maximumLeaseCallTimeout, options.leaseTimeToLive / 8),
                              .maximumRetryDelay = options.leaseTimeToLive / 4});
    if (auto *invalid = std::get_if<InvalidLeaseOptions>(&leases)) {
        return std::move(*invalid);
    }
    return ScopeCoordinator(options.host, options.candidatesPerScope, std::get<LeaseManager>(std::move(leases)));
}

ScopeCoordinator::ScopeCoordinator(HostId self, std::uint32_t candidatesPerScope, LeaseManager leases)
    : m_self(std::move(self))
    , m_candidatesPerScope(candidatesPerScope)
    , m_leases(std::move(leases))
{
}

void ScopeCoordinator::refresh(const std::vector<LeaseScopeId> &scopes,
                               const std::vector<HostId> &livingHosts,
                               NodeContext &context)
{
    std::set<LeaseScopeId> requested;
    for (const LeaseScopeId &scope : scopes) {
        std::vector<HostId> candidates = livingHosts;
        for (std::uint32_t rank = 0; rank < m_candidatesPerScope; ++rank) {
            const HostId ranked = firstRanked(scope.value(), candidates);
            if (ranked == m_self) {
                requested.insert(scope);
            }
            std::erase(candidates, ranked);
        }
        // With several candidates, a holder remains one while it is alive, so that a higher-ranked host that returns
        // does not interrupt the decisions of the scope.
        const bool lives = std::ranges::find(livingHosts, m_self) != livingHosts.end();
        if (m_candidatesPerScope > 1 && lives && m_held.contains(scope)) {
            requested.insert(scope);
        }
    }
    const std::set<LeaseScopeId> previous = std::exchange(m_requested, requested);
    for (const LeaseScopeId &scope : previous) {
        if (!requested.contains(scope)) {
            dispatch(ReleaseScope{scope}, context);
        }
    }
    for (const LeaseScopeId &scope : requested) {
        if (!previous.contains(scope)) {
            dispatch(RequestScope{scope}, context);
        }
    }
}

void ScopeCoordinator::releaseAll(NodeContext &context)
{
    m_held.clear();
    refresh({}, {}, context);
}

void ScopeCoordinator::tick(NodeContext &context)
{
    dispatch(Tick{}, context);
}

void ScopeCoordinator::reply(const KeyValueReply &reply, NodeContext &context)
{
    dispatch(reply, context);
}

void ScopeCoordinator::storeEraChanged(const StoreEraChanged &change, NodeContext &context)
{
    dispatch(change, context);
}

void ScopeCoordinator::dispatch(const LeaseEvent &event, NodeContext &context)
{
    for (LeaseAction &action : m_leases.handle(event, context.now)) {
        if (auto *call = std::get_if<KeyValueCall>(&action)) {
            context.keyValue.issue(KeyValueCaller::Lease, 0, std::move(*call), context.output);
        } else if (const auto *acquired = std::get_if<LeaseAcquired>(&action)) {
            context.output.log(describe(*acquired));
            m_held.insert(acquired->scope);
            m_changes.emplace_back(*acquired);
        } else {
            const auto &lost = std::get<LeaseLost>(action);
            context.output.log(describe(lost));
            m_held.erase(lost.scope);
            m_changes.emplace_back(lost);
        }
    }
}

} // namespace Carawaymill

#include "lease/LeaseManager.h"

#include "support/Hash.h"

#include <utility>

namespace Carawaymill {

/// The driver returns a result within the call's own timeout. A call without a result after the timeout and this grace
/// period is treated as having an unknown outcome.
static constexpr Duration responseGracePeriod = 250ms;

Result<LeaseManager, InvalidLeaseOptions> LeaseManager::create(const LeaseManagerOptions &options)
{
    if (options.host.value().empty()) {
        return InvalidLeaseOptions{.option = "host"};
    }
    if (options.clockDriftRatio < 0 || options.clockDriftRatio >= 1) {
        return InvalidLeaseOptions{.option = "clockDriftRatio"};
    }
    if (options.renewalRatio <= 0 || options.renewalRatio > 0.5) {
        return InvalidLeaseOptions{.option = "renewalRatio"};
    }
    if (options.callTimeout <= 0us) {
        return InvalidLeaseOptions{.option = "callTimeout"};
    }
    // After a renewal is lost, there must be time for another one before the lease expires.
    if (options.timeToLive < 4 * (options.callTimeout + responseGracePeriod)) {
        return InvalidLeaseOptions{.option = "timeToLive"};
    }
    return LeaseManager(options);
}

LeaseManager::LeaseManager(const LeaseManagerOptions &options)
    : m_options(options)
    , m_session(options)
    , m_watcher(options)
{
}

std::vector<LeaseAction> LeaseManager::handle(const LeaseEvent &event, TimePoint now)
{
    m_now = now;
    // This host may have been paused: detect an expired lease before the event is handled.
    handleLeaseExpiry();
    std::visit(Overloaded{
                   [](const Tick &) {},
                   [this](const KeyValueReply &reply) { handleReply(reply); },
                   [this](const StoreEraChanged &change) { handleEraChange(change); },
                   [this](const RequestScope &requested) { requestScope(requested.scope); },
                   [this](const ReleaseScope &released) { releaseScope(released.scope); },
               },
               event);
    dropOverdueCalls();
    handleLeaseExpiry();
    evaluateScopes();
    makeCalls();
    return std::exchange(m_actions, {});
}

bool LeaseManager::holds(const LeaseScopeId &scope, TimePoint now) const
{
    return fencingNumber(scope, now).has_value();
}

std::optional<FencingNumber> LeaseManager::fencingNumber(const LeaseScopeId &scope, TimePoint now) const
{
    if (const auto found = m_scopes.find(scope); found != m_scopes.end() && m_session.isValid(now)) {
        return found->second.heldNumber();
    }
    return std::nullopt;
}

void LeaseManager::handleReply(const KeyValueReply &reply)
{
    const auto found = m_calls.find(reply.id);
    if (found == m_calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    m_calls.erase(found);
    switch (call.caller) {
    case Caller::Session:
        m_session.handleResponse(reply.result, m_now);
        break;
    case Caller::Watcher:
        m_watcher.handleResponse(reply.result, m_records, m_now);
        break;
    case Caller::Scope:
        handleScopeResponse(call, reply.result);
        break;
    }
}

void LeaseManager::handleEraChange(const StoreEraChanged &change)
{
    m_era = change.era;
    if (!change.restored) {
        return;
    }
    m_session.restart(m_now);
    m_watcher.restart(m_now);
    m_records = LeaseRecords();
    m_calls.clear();
    handleLeaseExpiry();
    for (auto &[id, scope] : m_scopes) {
        if (scope.awaitsResponse()) {
            collect(id, scope.handleOutcomeUnknown(situationOf(id)));
        }
    }
}

void LeaseManager::handleScopeResponse(const Call &call, const KeyValueResult &result)
{
    const Commit &commit = std::get<Commit>(call.request);
    if (const auto *committed = std::get_if<Committed>(&result)) {
        m_records.applyCommitted(commit, committed->revision);
    } else if (const auto *conflict = std::get_if<CommitConflict>(&result)) {
        m_records.applyConflict(*conflict, call.scope);
    } else if (std::holds_alternative<LeaseNotFound>(result)) {
        m_session.forgetLease();
        handleLeaseExpiry();
    }
    const auto found = m_scopes.find(call.scope);
    if (found == m_scopes.end() || !found->second.awaitsResponse()) {
        return;
    }
    LeaseScope &scope = found->second;
    const LeaseScopeSituation situation = situationOf(call.scope);
    if (std::holds_alternative<Committed>(result)) {
        collect(call.scope, scope.handleCommitted(situation));
    } else if (std::holds_alternative<CommitConflict>(result)) {
        collect(call.scope, scope.handleRefused(situation));
    } else if (std::holds_alternative<OutcomeUnknown>(result)) {
        collect(call.scope, scope.handleOutcomeUnknown(situation));
    } else {
        collect(call.scope, scope.handleUnavailable(situation));
    }
}

void LeaseManager::requestScope(const LeaseScopeId &id)
{
    const auto [found, isNew] =
        m_scopes.try_emplace(id,
                             LeaseScopeOptions{.scope = id,
                                               .host = m_options.host,
                                               .seed = m_options.seed ^ stableHash(id.value()),
                                               .contentionSpread = m_options.contentionSpread,
                                               .maximumRetryDelay = m_options.maximumRetryDelay});
    found->second.setRequested(true);
}

void LeaseManager::releaseScope(const LeaseScopeId &id)
{
    if (const auto found = m_scopes.find(id); found != m_scopes.end()) {
        found->second.setRequested(false);
    }
}

void LeaseManager::dropOverdueCalls()
{
    std::vector<CallId> overdue;
    for (const auto &[id, call] : m_calls) {
        if (call.deadline <= m_now) {
            overdue.push_back(id);
        }
    }
    for (const CallId id : overdue) {
        handleReply(KeyValueReply{.id = id, .result = OutcomeUnknown{}});
    }
}

void LeaseManager::handleLeaseExpiry()
{
    const auto validLease = m_session.isValid(m_now) ? m_session.lease() : std::nullopt;
    if (validLease == m_lastValidLease) {
        return;
    }
    const bool hasEnded = m_lastValidLease.has_value();
    m_lastValidLease = validLease;
    if (!hasEnded) {
        return;
    }
    for (auto &[id, scope] : m_scopes) {
        collect(id, scope.handleLeaseEnded(situationOf(id)));
    }
    // The scopes no longer use the results of commits made under the expired lease.
    std::erase_if(m_calls, [this](const auto &entry) {
        return entry.second.caller == Caller::Scope && !m_scopes.at(entry.second.scope).awaitsResponse();
    });
}

void LeaseManager::evaluateScopes()
{
    for (auto &[id, scope] : m_scopes) {
        collect(id, scope.evaluate(situationOf(id)));
    }
    std::erase_if(m_scopes, [](const auto &entry) { return entry.second.isIdle(); });
}

void LeaseManager::makeCalls()
{
    bool leaseNeeded = false;
    bool recordsNeeded = false;
    for (const auto &[id, scope] : m_scopes) {
        leaseNeeded = leaseNeeded || scope.needsLease(situationOf(id));
        recordsNeeded = recordsNeeded || scope.isWaiting();
    }
    if (auto request = m_session.nextRequest(leaseNeeded, m_now)) {
        startCall(Caller::Session, LeaseScopeId(), std::move(*request), 0s);
    }
    if (auto request = m_watcher.nextRequest(recordsNeeded, m_now)) {
        const bool isWatch = std::holds_alternative<WatchRange>(*request);
        startCall(Caller::Watcher, LeaseScopeId(), std::move(*request), isWatch ? m_options.watchWait : 0s);
    }
}

void LeaseManager::startCall(Caller caller, const LeaseScopeId &scope, KeyValueRequest request, Duration wait)
{
    m_lastCall = m_lastCall.next();
    m_calls.emplace(m_lastCall,
                    Call{.caller = caller,
                         .scope = scope,
                         .request = request,
                         .deadline = m_now + wait + m_options.callTimeout + responseGracePeriod});
    m_actions.emplace_back(
        KeyValueCall{.id = m_lastCall, .request = std::move(request), .timeout = m_options.callTimeout});
}

void LeaseManager::collect(const LeaseScopeId &scope, std::vector<LeaseScopeOutput> outputs)
{
    for (LeaseScopeOutput &output : outputs) {
        std::visit(Overloaded{
                       [&](Commit &commit) { startCall(Caller::Scope, scope, std::move(commit), 0s); },
                       [&](auto &announcement) { m_actions.emplace_back(std::move(announcement)); },
                   },
                   output);
    }
}

LeaseScopeSituation LeaseManager::situationOf(const LeaseScopeId &scope) const
{
    return LeaseScopeSituation{.now = m_now,
                               .records = m_records.of(scope),
                               .recordsKnown = m_watcher.hasRead(),
                               .lease = m_session.lease(),
                               .leaseValid = m_session.isValid(m_now),
                               .validUntil = m_session.validUntil(),
                               .era = m_era};
}

} // namespace Carawaymill

#pragma once

#include "lease/LeaseMessages.h"
#include "lease/LeaseOptions.h"
#include "lease/LeaseRecords.h"
#include "lease/LeaseScope.h"
#include "lease/LeaseSession.h"
#include "lease/LeaseWatcher.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// Error: the value of the named member of `LeaseManagerOptions` is out of range.
struct InvalidLeaseOptions
{
    std::string option;
};

/// Ensures that at most one host holds each scope, with leases and compare-and-swap in the key-value service.
///
/// Call `holds` right before each decision: it returns false at once on a host that was paused until its lease expired.
class LeaseManager
{
public:
    [[nodiscard]] static Result<LeaseManager, InvalidLeaseOptions> create(const LeaseManagerOptions &options);

    [[nodiscard]] std::vector<LeaseAction> handle(const LeaseEvent &event, TimePoint now);

    /// Whether this host holds the scope at `now`.
    [[nodiscard]] bool holds(const LeaseScopeId &scope, TimePoint now) const;

    /// The fencing number to send with orders for the scope; std::nullopt if this host does not hold it at `now`.
    [[nodiscard]] std::optional<FencingNumber> fencingNumber(const LeaseScopeId &scope, TimePoint now) const;

    /// The time, by the local clock, until which this host's lease is certain to be valid.
    [[nodiscard]] TimePoint validUntil() const { return m_session.validUntil(); }

private:
    enum class Caller {
        Session,
        Watcher,
        Scope,
    };

    struct Call
    {
        Caller caller = Caller::Session;
        LeaseScopeId scope;
        KeyValueRequest request;
        TimePoint deadline;
    };

    explicit LeaseManager(const LeaseManagerOptions &options);

    void handleReply(const KeyValueReply &reply);
    void handleEraChange(const StoreEraChanged &change);
    void handleScopeResponse(const Call &call, const KeyValueResult &result);
    void requestScope(const LeaseScopeId &id);
    void releaseScope(const LeaseScopeId &id);
    void dropOverdueCalls();
    void handleLeaseExpiry();
    void evaluateScopes();
    void makeCalls();
    void startCall(Caller caller, const LeaseScopeId &scope, KeyValueRequest request, Duration wait);
    void collect(const LeaseScopeId &scope, std::vector<LeaseScopeOutput> outputs);
    [[nodiscard]] LeaseScopeSituation situationOf(const LeaseScopeId &scope) const;

    LeaseManagerOptions m_options;
    LeaseSession m_session;
    LeaseWatcher m_watcher;
    LeaseRecords m_records;
    std::map<LeaseScopeId, LeaseScope> m_scopes;
    std::map<CallId, Call> m_calls;
    CallId m_lastCall;
    /// Era of the key-value service; std::nullopt until it is known.
    std::optional<StoreEra> m_era;
    /// The lease as of the last `handleLeaseExpiry`; empty if it was not valid then.
    std::optional<LeaseId> m_lastValidLease;
    /// Time of the event that is being handled.
    TimePoint m_now;
    std::vector<LeaseAction> m_actions;
};

} // namespace Carawaymill

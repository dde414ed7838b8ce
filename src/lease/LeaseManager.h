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

/// Options that a `LeaseManager` cannot work with; `option` is the member's name.
struct InvalidLeaseOptions
{
    std::string option;
};

/// Sees to it that at most one host holds each scope, by leases and compare-and-swap at the key-value service.
///
/// `holds` is to be asked right before each decision: a host that was paused past its lease then knows at once that it
/// holds nothing.
class LeaseManager
{
public:
    [[nodiscard]] static Result<LeaseManager, InvalidLeaseOptions> create(const LeaseManagerOptions &options);

    [[nodiscard]] std::vector<LeaseAction> handle(const LeaseEvent &event, TimePoint now);

    /// Whether this host holds the scope at this instant.
    [[nodiscard]] bool holds(const LeaseScopeId &scope, TimePoint now) const;

    /// The fencing number for orders of the scope, if this host holds it at this instant.
    [[nodiscard]] std::optional<FencingNumber> fencingNumber(const LeaseScopeId &scope, TimePoint now) const;

    /// Every held scope is held until then at least, by the local clock.
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
    void handleScopeAnswer(const Call &call, const KeyValueResult &result);
    void want(const LeaseScopeId &id);
    void release(const LeaseScopeId &id);
    void dropOverdueCalls();
    void noticeEndedLease();
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
    /// The lease that the scopes were last told to be valid.
    std::optional<LeaseId> m_announcedLease;
    /// Only set while an event is handled.
    TimePoint m_now;
    std::vector<LeaseAction> m_actions;
};

} // namespace Carawaymill

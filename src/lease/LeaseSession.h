#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "lease/LeaseOptions.h"
#include "support/Backoff.h"
#include "support/Random.h"

#include <optional>

namespace Carawaymill {

/// This host's one lease at the service, which carries all its scopes: renewals count per host, not per scope.
///
/// The lease is only ever believed valid until a time counted from before its grant or renewal was sent, less what the
/// clocks may run apart; the service ends it no earlier than that.
class LeaseSession
{
public:
    explicit LeaseSession(const LeaseManagerOptions &options);

    /// The call to make now, if any. `needed`: whether any scope is held or about to be tried for.
    [[nodiscard]] std::optional<KeyValueRequest> nextRequest(bool needed, TimePoint now);

    /// The answer to the last request, `OutcomeUnknown` when none came.
    void handleAnswer(const KeyValueResult &result, TimePoint now);

    /// Whether a request has been returned and not been answered.
    [[nodiscard]] bool awaitsAnswer() const { return m_inFlight.has_value(); }

    /// Whether the service surely has not ended the lease yet.
    [[nodiscard]] bool isValid(TimePoint now) const { return m_lease && now < m_validUntil; }

    /// The lease as long as it may exist at the service, valid or not.
    [[nodiscard]] const std::optional<LeaseId> &lease() const { return m_lease; }

    /// By the local clock.
    [[nodiscard]] TimePoint validUntil() const { return m_validUntil; }

    /// The service has said that it does not know the lease.
    void forgetLease() { m_lease.reset(); }

private:
    struct InFlight
    {
        KeyValueRequest request;
        TimePoint sentAt;
    };

    [[nodiscard]] KeyValueRequest send(KeyValueRequest request, TimePoint now);
    void confirm(Duration timeToLive, TimePoint sentAt, TimePoint now);
    void retryLater(TimePoint now);

    LeaseManagerOptions m_options;
    Random m_random;
    Backoff m_backoff;
    std::optional<LeaseId> m_lease;
    TimePoint m_validUntil;
    std::optional<InFlight> m_inFlight;
    /// No grant or renewal before this.
    TimePoint m_nextAt;
};

} // namespace Carawaymill

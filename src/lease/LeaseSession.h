#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "lease/LeaseOptions.h"
#include "support/Backoff.h"
#include "support/Random.h"

#include <optional>

namespace Carawaymill {

/// This host's single lease in the key-value service. All its scopes are bound to it, so the number of renewals grows
/// with the hosts and not with the scopes.
///
/// This host treats the lease as valid for its time to live, less the clock drift margin, from when it sent the grant
/// or renewal request. The key-value service does not end the lease earlier than that.
class LeaseSession
{
public:
    explicit LeaseSession(const LeaseManagerOptions &options);

    /// The call to make now, or std::nullopt. `needed`: whether this host holds or is about to contend for any scope.
    [[nodiscard]] std::optional<KeyValueRequest> nextRequest(bool needed, TimePoint now);

    /// Handles the result of the last request: `OutcomeUnknown` if there was no response.
    void handleResponse(const KeyValueResult &result, TimePoint now);

    /// Whether `nextRequest` has returned a request whose result has not been handled.
    [[nodiscard]] bool awaitsResponse() const { return m_inFlight.has_value(); }

    /// Whether it is certain that the key-value service has not ended the lease.
    [[nodiscard]] bool isValid(TimePoint now) const { return m_lease && now < m_validUntil; }

    /// The lease while it may exist in the key-value service, valid or not.
    [[nodiscard]] const std::optional<LeaseId> &lease() const { return m_lease; }

    /// End of the lease's validity by the local clock.
    [[nodiscard]] TimePoint validUntil() const { return m_validUntil; }

    /// Call when the key-value service has reported that the lease does not exist.
    void forgetLease() { m_lease.reset(); }

    /// Forgets the lease and the call in flight; the next lease may be requested now.
    void restart(TimePoint now);

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
    /// Earliest time of the next grant or renewal.
    TimePoint m_nextAt;
};

} // namespace Carawaymill

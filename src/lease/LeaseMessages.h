#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <string>
#include <variant>

namespace Carawaymill {

/// What one host at a time may decide on, for example `domain/fukuoka`.
using LeaseScopeId = StrongType<struct LeaseScopeIdTag, std::string>;

/// Key of the record that exists while a host holds the scope; bound to the holder's service lease.
[[nodiscard]] std::string leaseKey(const LeaseScopeId &scope);

/// Key of the record that holds the scope's last fencing number; never deleted.
[[nodiscard]] std::string fencingKey(const LeaseScopeId &scope);

inline constexpr const char *leasePrefix = "lease/";
inline constexpr const char *fencingPrefix = "fencing/";

/// Event: from now on this host tries to hold the scope.
struct RequestScope
{
    LeaseScopeId scope;
};

/// Event: this host gives the scope up, at once for its own decisions.
struct ReleaseScope
{
    LeaseScopeId scope;
};

using LeaseEvent = std::variant<Tick, KeyValueReply, RequestScope, ReleaseScope>;

/// Action: this host now holds the scope.
struct LeaseAcquired
{
    LeaseScopeId scope;
    /// Higher than the number of every holder before, this host included.
    FencingNumber fencingNumber;
    /// By the local clock. Renewals move it on: ask `LeaseManager::holds` before each decision.
    TimePoint validUntil;
};

enum class LeaseLossReason {
    /// `ReleaseScope` asked for it.
    Released,
    /// No renewal was confirmed in time; the service may be down, or this host was paused.
    NotRenewedInTime,
    /// The service no longer knows the lease.
    EndedByService,
};

/// Action: this host no longer holds the scope and must not send any further order for it.
struct LeaseLost
{
    LeaseScopeId scope;
    FencingNumber fencingNumber;
    LeaseLossReason reason = LeaseLossReason::Released;
};

using LeaseAction = std::variant<KeyValueCall, LeaseAcquired, LeaseLost>;

/// Log line of a decision.
[[nodiscard]] std::string describe(const LeaseAcquired &acquired);
[[nodiscard]] std::string describe(const LeaseLost &lost);

} // namespace Carawaymill

#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <string>
#include <variant>

namespace Carawaymill {

/// Names a set of decisions that only one host at a time may make, for example `domain/fukuoka`.
using LeaseScopeId = StrongType<struct LeaseScopeIdTag, std::string>;

/// Key of the record that exists while a host holds the scope. The key-value service deletes it with the holder's
/// lease.
[[nodiscard]] std::string leaseKey(const LeaseScopeId &scope);

/// Key of the record that holds the scope's last fencing number; never deleted.
[[nodiscard]] std::string fencingKey(const LeaseScopeId &scope);

inline constexpr const char *leasePrefix = "lease/";
inline constexpr const char *fencingPrefix = "fencing/";

/// Event: this host contends for the scope until `ReleaseScope`.
struct RequestScope
{
    LeaseScopeId scope;
};

/// Event: this host stops contending for the scope or holding it. `LeaseManager::holds` returns false at once.
struct ReleaseScope
{
    LeaseScopeId scope;
};

using LeaseEvent = std::variant<Tick, KeyValueReply, StoreEraChanged, RequestScope, ReleaseScope>;

/// Action: this host now holds the scope.
struct LeaseAcquired
{
    LeaseScopeId scope;
    /// Higher than the number of every earlier acquisition by any host.
    FencingNumber fencingNumber;
    /// By the local clock. Renewals extend it, so call `LeaseManager::holds` before each decision instead.
    TimePoint validUntil;
};

enum class LeaseLossReason {
    /// By a `ReleaseScope` event.
    Released,
    /// No renewal was confirmed in time: the key-value service may be down, or this host was paused.
    NotRenewedInTime,
    /// The key-value service reported that the lease does not exist.
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

/// The log line for the action.
[[nodiscard]] std::string describe(const LeaseAcquired &acquired);
[[nodiscard]] std::string describe(const LeaseLost &lost);

} // namespace Carawaymill

#include "lease/LeaseMessages.h"

namespace Carawaymill {

std::string leaseKey(const LeaseScopeId &scope)
{
    return leasePrefix + scope.value();
}

std::string fencingKey(const LeaseScopeId &scope)
{
    return fencingPrefix + scope.value();
}

static const char *describe(LeaseLossReason reason)
{
    switch (reason) {
    case LeaseLossReason::Released:
        return "released by this host";
    case LeaseLossReason::NotRenewedInTime:
        return "no renewal confirmed in time";
    case LeaseLossReason::EndedByService:
        return "ended by the key-value service";
    }
    return "";
}

std::string describe(const LeaseAcquired &acquired)
{
    return "Lease: acquired " + acquired.scope.value() + " with fencing number "
           + std::to_string(acquired.fencingNumber.value());
}

std::string describe(const LeaseLost &lost)
{
    return "Lease: lost " + lost.scope.value() + " with fencing number " + std::to_string(lost.fencingNumber.value())
           + ", " + describe(lost.reason);
}

} // namespace Carawaymill

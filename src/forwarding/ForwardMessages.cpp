#include "forwarding/ForwardMessages.h"

namespace Carawaymill {

const char *forwardFailureName(ForwardFailure failure)
{
    switch (failure) {
    case ForwardFailure::Draining:
        return "draining";
    case ForwardFailure::NoConfiguration:
        return "no-configuration";
    case ForwardFailure::ConfigurationTooOld:
        return "configuration-too-old";
    case ForwardFailure::NoRoute:
        return "no-route";
    case ForwardFailure::KeyUnknown:
        return "key-unknown";
    case ForwardFailure::NoTarget:
        return "no-target";
    case ForwardFailure::Overloaded:
        return "overloaded";
    case ForwardFailure::RetryBudgetSpent:
        return "retry-budget-spent";
    case ForwardFailure::TargetsRefused:
        return "targets-refused";
    case ForwardFailure::TimeoutReached:
        return "timeout-reached";
    case ForwardFailure::ResponseLost:
        return "answer-lost";
    case ForwardFailure::Condemned:
        return "condemned";
    }
    return "";
}

} // namespace Carawaymill

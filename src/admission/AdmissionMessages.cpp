#include "admission/AdmissionMessages.h"

#include "support/Variant.h"

namespace Carawaymill {

static const char *textOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return "the queue is full";
    case RefusalReason::Displaced:
        return "it made room for another job";
    case RefusalReason::DeadlineUnreachable:
        return "its deadline cannot be met";
    case RefusalReason::LimitReached:
        return "a limit is reached";
    case RefusalReason::NotAllowed:
        return "the catalogue does not allow it";
    }
    return "of an unknown reason";
}

std::string describe(const AdmissionAction &action)
{
    return std::visit(
        Overloaded{[](const StartJob &start) { return "Admission: Job " + start.job.value() + " starts."; },
                   [](const RefuseJob &refusal) {
                       return "Admission: Job " + refusal.job.value() + " is refused since " + textOf(refusal.reason)
                              + "; it did not run. Retry after " + std::to_string(refusal.retryAfter / 1ms) + " ms.";
                   }},
        action);
}

} // namespace Carawaymill

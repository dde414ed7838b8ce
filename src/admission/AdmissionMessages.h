#pragma once

#include "admission/SharedLimits.h"
#include "catalogue/Records.h"
#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Units.h"

#include <cstddef>
#include <string>
#include <variant>

/// Events and actions of the admission queue.
namespace Carawaymill {

/// Event: a caller's request has arrived. It is answered by one `StartJob` or one `RefuseJob`.
struct JobOffered
{
    JobId job;
    OrganisationId organisation;
    EntryId entry;
    JobClass jobClass = JobClass::Standard;
    /// The most tokens that it may use, prompt included.
    TokenCount tokens;
    /// When the answer must be complete.
    TimePoint deadline;
    /// How long it is expected to run once it starts.
    Duration serviceTime{};
};

/// Event: a started job has ended, however it did.
struct JobEnded
{
    JobId job;
    /// Prompted and generated tokens.
    TokenCount used;
};

/// Event: the caller of a job that still waits is gone. No action answers it.
struct JobAbandoned
{
    JobId job;
};

/// Event: so many jobs may run at once from now on.
struct CapacityChanged
{
    std::size_t jobs = 0;
};

using AdmissionEvent = std::variant<Tick, JobOffered, JobEnded, JobAbandoned, CapacityChanged>;

/// Action: run the job.
struct StartJob
{
    JobId job;
};

/// Why a job was refused before it ran.
enum class RefusalReason {
    /// The queue is full of jobs of the same or a higher class.
    QueueFull,
    /// It made room for a job of a higher class, or of an organisation with fewer jobs in the queue.
    Displaced,
    /// Its deadline can no longer be met.
    DeadlineUnreachable,
    /// A limit of its organisation or of its entry leaves no room before its deadline.
    LimitReached,
    /// The catalogue has no such organisation or entry, or allows it nothing.
    NotAllowed,
};

/// Action: tell the caller at once that the job did not run.
struct RefuseJob
{
    JobId job;
    RefusalReason reason = RefusalReason::QueueFull;
    /// When the caller should come back; spread so that callers don't come back together.
    Duration retryAfter{};
};

using AdmissionAction = std::variant<StartJob, RefuseJob>;

/// The decision's log line, starting with `Admission: `.
[[nodiscard]] std::string describe(const AdmissionAction &action);

} // namespace Carawaymill

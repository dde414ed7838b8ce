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

/// Event: a caller's request arrived. Exactly one `StartJob` or `RefuseJob` follows, unless `JobAbandoned` comes first.
struct JobOffered
{
    JobId job;
    OrganisationId organisation;
    EntryId entry;
    JobClass jobClass = JobClass::Standard;
    /// Maximum number of tokens that the job may use, including the prompt.
    TokenCount tokens;
    /// Time by which the response must be complete.
    TimePoint deadline;
    /// Expected run time once the job starts.
    Duration serviceTime{};
};

/// Event: a started job ended, with or without success.
struct JobEnded
{
    JobId job;
    /// Tokens of the prompt and generated tokens.
    TokenCount used;
};

/// Event: the caller of a waiting job disconnected. No action for the job follows.
struct JobAbandoned
{
    JobId job;
};

/// Event: the number of jobs that may run at once changed.
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
    /// Removed from a full queue for a job of a higher class, or of an organisation with fewer waiting jobs.
    Displaced,
    /// Its deadline can no longer be met.
    DeadlineUnreachable,
    /// A limit of its organisation or of its entry leaves no capacity for the job before its deadline.
    LimitReached,
    /// The catalogue has no such organisation or entry, or does not allow the request.
    NotAllowed,
};

/// Action: reject the caller's request at once; the job did not run.
struct RefuseJob
{
    JobId job;
    RefusalReason reason = RefusalReason::QueueFull;
    /// Time after which the caller should retry; randomised so that callers don't retry together.
    Duration retryAfter{};
};

using AdmissionAction = std::variant<StartJob, RefuseJob>;

/// The decision's log line, starting with `Admission: `.
[[nodiscard]] std::string describe(const AdmissionAction &action);

} // namespace Carawaymill

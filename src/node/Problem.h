#pragma once

#include "http/HttpMessages.h"
#include "support/Time.h"

#include <optional>
#include <string>

namespace Carawaymill {

/// Whether a target ran the caller's request.
enum class Ran {
    /// No target ran it: the caller may safely retry.
    No,
    Yes,
    /// It may have run.
    Unknown,
};

/// The reasons for which a request of a caller or an operator is refused. The names are part of the interface.
enum class ProblemType {
    MalformedBody,
    InvalidField,
    Unauthenticated,
    Forbidden,
    EntryUnknown,
    NotFound,
    MethodNotAllowed,
    LimitReached,
    Overloaded,
    Draining,
    NotReady,
    NoTarget,
    Quarantined,
    DeadlineExceeded,
    TooManyRepairs,
    KeyReusedWithOtherBody,
    KeyInProgress,
    AlreadyRan,
    OutcomeUnknown,
    LedgerUnavailable,
    NotSupported,
};

/// The content of an `application/problem+json` response.
struct Problem
{
    ProblemType type = ProblemType::MalformedBody;
    Ran ran = Ran::No;
    std::string detail;
    /// JSON pointer to the invalid field, or the header's name; empty when no field is invalid.
    std::string field = {};
    /// Delay before a retry, sent rounded up to whole seconds.
    std::optional<Duration> retryAfter = std::nullopt;
};

/// The stable name of a type, for example `urn:carawaymill:problem:limit-reached`.
[[nodiscard]] std::string problemName(ProblemType type);

/// The HTTP status that goes with a type.
[[nodiscard]] unsigned problemStatus(ProblemType type);

/// `no`, `yes` or `unknown`.
[[nodiscard]] const char *ranName(Ran ran);

[[nodiscard]] HttpResponse problemResponse(const Problem &problem);

} // namespace Carawaymill

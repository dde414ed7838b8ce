#pragma once

#include "http/HttpMessages.h"
#include "support/Time.h"

#include <optional>
#include <string>

namespace Carawaymill {

/// Whether a target ran the caller's request.
enum class Ran {
    /// It surely did not: the caller may safely ask again.
    No,
    Yes,
    /// It may have run.
    Unknown,
};

/// Every reason for which a caller or an operator is told no. The names are part of the interface.
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

/// One answer of `application/problem+json`.
struct Problem
{
    ProblemType type = ProblemType::MalformedBody;
    Ran ran = Ran::No;
    std::string detail;
    /// JSON pointer of the field that is wrong; empty when none is.
    std::string field = {};
    /// When to ask again; rounded up to whole seconds.
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

#pragma once

#include "history/History.h"

#include <string>
#include <variant>
#include <vector>

/// The ways in which a history can break a promise.
namespace Carawaymill {

/// A stream's engine ran a layer twice, left one out, or ran it out of order.
struct LayersOutOfOrder
{
    JobId job;
    std::string stream;
    TokenPosition position;
    LayerIndex layer;
};

/// No engine ran the layer for a token that is part of an answer.
struct LayerNotRun
{
    RequestNumber request;
    TokenPosition position;
    LayerIndex layer;
};

/// The text that reached the caller differs from the answer to its request, or does not begin it.
struct WrongAnswer
{
    RequestNumber request;
};

/// The caller was given a part of the answer as if it were the whole.
struct FragmentGiven
{
    RequestNumber request;
};

/// The answer names a job, or a service's run, of another request.
struct AnswerOfOtherRequest
{
    RequestNumber request;
};

/// The caller stayed and its host lived, but no answer came before the time limit.
struct RequestLost
{
    RequestNumber request;
};

/// The caller was told that the request did not run, but it did.
struct RanAfterAll
{
    RequestNumber request;
};

/// A call that is not idempotent ran more than once.
struct RanTwice
{
    RequestNumber request;
    std::size_t runs = 0;
};

/// A leaving host or target was given new work later than the bound allows.
struct WorkAfterDeparture
{
    std::variant<HostId, TargetId> who;
    TimePoint at{};
};

/// A graceful shutdown cut or refused a request that was in progress.
struct CutByShutdown
{
    RequestNumber request;
};

/// A connected host did not have an accepted edit in force in time.
struct EditLate
{
    HostId host;
    std::string key;
    Revision revision;
};

/// A host went back to an older revision of a record.
struct RevisionReverted
{
    HostId host;
    std::string key;
    Revision from;
    Revision to;
};

/// Two edits of the same revision of a record were both accepted.
struct EditsBothAccepted
{
    std::string key;
    Revision expected;
};

/// Two hosts had different contents in force under one revision.
struct RevisionAmbiguous
{
    std::string key;
    Revision revision;
};

/// More requests were admitted in a period than the limit and its stated error allow.
struct LimitPassed
{
    OrganisationId organisation;
    std::size_t admitted = 0;
    double allowed = 0;
};

/// The usage of an organisation differs from what was answered.
struct WronglyBilled
{
    OrganisationId organisation;
    std::uint64_t answered = 0;
    std::uint64_t billed = 0;
};

using Violation = std::variant<LayersOutOfOrder,
                               LayerNotRun,
                               WrongAnswer,
                               FragmentGiven,
                               AnswerOfOtherRequest,
                               RequestLost,
                               RanAfterAll,
                               RanTwice,
                               WorkAfterDeparture,
                               CutByShutdown,
                               EditLate,
                               RevisionReverted,
                               EditsBothAccepted,
                               RevisionAmbiguous,
                               LimitPassed,
                               WronglyBilled>;

/// One line, for example `History: request 7 ran 2 times`.
[[nodiscard]] std::string describe(const Violation &violation);

} // namespace Carawaymill

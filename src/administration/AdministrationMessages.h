#pragma once

#include "catalogue/CatalogueEditor.h"
#include "http/HttpMessages.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <string>
#include <variant>

/// What the operators' interface takes in and wants done.
namespace Carawaymill {

/// What other parts of the daemon are asked on behalf of an operator.
enum class AdministrationQueryKind {
    /// Hosts, targets and placement. No argument.
    Status,
    /// The decisions made for one job. Argument: job id.
    Decisions,
    /// Take a host out of service gracefully. Argument: host id.
    Drain,
    /// What an organisation has consumed. Argument: organisation id.
    Usage,
    /// Requests that are held back because they crash targets. No argument.
    Suspects,
    /// Stop holding one of these back. Argument: the suspect's id.
    LiftSuspect,
};

/// Event: an operator's HTTP request. Answered by one `AdministrationReply`.
struct AdministrationRequest
{
    CallId id;
    HttpRequest request;
};

/// The argument of a query names nothing known.
struct AdministrationSubjectUnknown
{
};

/// The query cannot be answered now; nothing was done.
struct AdministrationUnavailable
{
};

/// Event: answer to an `AdministrationQuery`.
struct AdministrationAnswer
{
    CallId id;
    Result<nlohmann::json, AdministrationSubjectUnknown, AdministrationUnavailable> result;
};

using AdministrationEvent = std::variant<Tick, AdministrationRequest, AdministrationAnswer, EditFinished>;

/// Action: answer the operator's request.
struct AdministrationReply
{
    CallId id;
    HttpResponse response;
};

/// Action: find out or do this, then send `AdministrationAnswer` with the same id.
struct AdministrationQuery
{
    CallId id;
    AdministrationQueryKind kind = AdministrationQueryKind::Status;
    std::string argument;
};

/// `EditAsked` goes to `CatalogueEditor`, whose `EditFinished` comes back; `InForceAsked` goes to `CatalogueReplica`.
using AdministrationAction = std::variant<AdministrationReply, AdministrationQuery, EditAsked, InForceAsked>;

} // namespace Carawaymill

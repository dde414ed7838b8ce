#pragma once

#include "catalogue/Records.h"
#include "http/HttpMessages.h"
#include "node/CompletionApi.h"
#include "quarantine/QuarantineMessages.h"
#include "support/Identifiers.h"

#include <optional>
#include <string>
#include <variant>

namespace Carawaymill {

/// A call to a plain service, as the caller made it.
struct ServiceCallRequest
{
    /// Path and query behind `/v1/services/{entry}`.
    std::string path;
};

/// An authenticated and authorised request. It holds copies of the catalogue records, so that a later edit does not
/// change a job in progress.
struct AcceptedCall
{
    RequestId request;
    JobId job;
    OrganisationId organisation;
    EntryRecord entry;
    HttpRequest http;
    std::variant<CompletionRequest, ServiceCallRequest> operation;
    /// Present for model entries.
    std::optional<ModelRecord> model;
    /// Present when the caller gave an idempotency key for a call that may not be repeated.
    std::optional<IdempotencyKey> key;
    Fingerprint fingerprint;
    WallClockSeconds receivedAt;
    /// Identifies the call to the ledger.
    CallId call;
};

} // namespace Carawaymill

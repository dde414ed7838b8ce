#pragma once

#include "catalogue/CatalogueReplica.h"
#include "http/HttpMessages.h"
#include "node/Problem.h"

namespace Carawaymill {

/// Who calls, and what for. The pointers hold until the catalogue changes.
struct CallerIdentity
{
    const OrganisationRecord *organisation = nullptr;
    const EntryRecord *entry = nullptr;
};

/// Decides who may call what: by the bearer token's hash in the organisation's record, and the entry's owner.
class AccessControl
{
public:
    /// The organisation whose token the request carries.
    [[nodiscard]] static Result<const OrganisationRecord *, Problem> authenticate(const HttpRequest &request,
                                                                                  const CatalogueReplica &catalogue);

    /// The entry, if it exists and belongs to the organisation.
    [[nodiscard]] static Result<const EntryRecord *, Problem>
    authorise(const OrganisationRecord &organisation, const EntryId &entry, const CatalogueReplica &catalogue);
};

/// The text after `Bearer ` in the Authorization header; empty when there is none.
[[nodiscard]] std::string bearerToken(const HttpRequest &request);

} // namespace Carawaymill

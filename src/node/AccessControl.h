#pragma once

#include "catalogue/CatalogueReplica.h"
#include "http/HttpMessages.h"
#include "node/Problem.h"

namespace Carawaymill {

/// The calling organisation and the entry that it calls. The pointers are valid until the catalogue changes.
struct CallerIdentity
{
    const OrganisationRecord *organisation = nullptr;
    const EntryRecord *entry = nullptr;
};

/// Authenticates callers by the hash of their bearer token, and authorises calls by the owner of the entry.
class AccessControl
{
public:
    /// The organisation whose record holds the hash of the request's bearer token.
    [[nodiscard]] static Result<const OrganisationRecord *, Problem> authenticate(const HttpRequest &request,
                                                                                  const CatalogueReplica &catalogue);

    /// The entry of this id; a problem when it does not exist or belongs to another organisation.
    [[nodiscard]] static Result<const EntryRecord *, Problem>
    authorise(const OrganisationRecord &organisation, const EntryId &entry, const CatalogueReplica &catalogue);
};

/// The text after `Bearer ` in the Authorization header; empty when there is none.
[[nodiscard]] std::string bearerToken(const HttpRequest &request);

} // namespace Carawaymill

#include "node/AccessControl.h"

#include "support/Hash.h"

namespace Carawaymill {

std::string bearerToken(const HttpRequest &request)
{
    const std::string prefix = "Bearer ";
    const std::string value = headerValue(request.headers, "Authorization");
    return value.starts_with(prefix) ? value.substr(prefix.size()) : std::string();
}

Result<const OrganisationRecord *, Problem> AccessControl::authenticate(const HttpRequest &request,
                                                                        const CatalogueReplica &catalogue)
{
    const std::string token = bearerToken(request);
    if (token.empty()) {
        return Problem{.type = ProblemType::Unauthenticated, .ran = Ran::No, .detail = "A bearer token is needed."};
    }
    if (const auto *organisation = catalogue.organisationByTokenHash(sha256Hex(token))) {
        return organisation;
    }
    return Problem{.type = ProblemType::Unauthenticated, .ran = Ran::No, .detail = "The bearer token is not known."};
}

Result<const EntryRecord *, Problem>
AccessControl::authorise(const OrganisationRecord &organisation, const EntryId &id, const CatalogueReplica &catalogue)
{
    const EntryRecord *entry = catalogue.entry(id);
    if (entry == nullptr) {
        return Problem{.type = ProblemType::EntryUnknown,
                       .ran = Ran::No,
                       .detail = "The catalogue has no entry of this name.",
                       .field = "/model"};
    }
    if (entry->owner != organisation.id) {
        return Problem{.type = ProblemType::Forbidden,
                       .ran = Ran::No,
                       .detail = "The entry belongs to another organisation.",
                       .field = "/model"};
    }
    return entry;
}

} // namespace Carawaymill

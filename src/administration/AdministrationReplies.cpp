#include "administration/AdministrationReplies.h"

namespace Carawaymill {

static constexpr const char *retryAfterSeconds = "1";

NLOHMANN_JSON_SERIALIZE_ENUM(TookEffect,
                             {{TookEffect::No, "no"}, {TookEffect::Yes, "yes"}, {TookEffect::Unknown, "unknown"}})

HttpResponse jsonResponse(const nlohmann::json &body)
{
    return {.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = body.dump() + "\n"};
}

HttpResponse administrationProblemResponse(const AdministrationProblem &problem)
{
    nlohmann::json body = problem.members;
    body["type"] = "urn:carawaymill:problem:" + problem.type;
    body["status"] = problem.status;
    body["detail"] = problem.detail;
    body["ran"] = problem.ran;
    HttpResponse response{.status = problem.status,
                          .headers = {{"Content-Type", "application/problem+json"}},
                          .body = body.dump() + "\n"};
    if (problem.status == 401) {
        response.headers.emplace_back("WWW-Authenticate", "Bearer");
    }
    if (problem.status == 503 || problem.status == 504) {
        response.headers.emplace_back("Retry-After", retryAfterSeconds);
    }
    return response;
}

static HttpResponse acceptedResponse(const char *outcome, Revision revision)
{
    HttpResponse response = jsonResponse({{"outcome", outcome}, {"revision", revision}});
    response.headers.emplace_back("ETag", std::to_string(revision.value()));
    return response;
}

static HttpResponse conflictResponse(const EditConflict &conflict)
{
    nlohmann::json members = {{"present", nullptr}, {"revision", conflict.revision}};
    if (conflict.present) {
        members["present"] = *conflict.present;
    }
    return administrationProblemResponse({.status = 412,
                                          .type = "edit-conflict",
                                          .detail = "The record was changed by somebody else. Nothing was written.",
                                          .members = std::move(members)});
}

HttpResponse editResponse(const EditOutcome &outcome)
{
    return std::visit(
        Overloaded{
            [](const EditAccepted &accepted) { return acceptedResponse("accepted", accepted.revision); },
            [](const EditAlreadyApplied &applied) { return acceptedResponse("already-applied", applied.revision); },
            [](const EditConflict &conflict) { return conflictResponse(conflict); },
            [](const EditRefused &refused) {
                return administrationProblemResponse(
                    {.status = 422,
                     .type = "invalid-record",
                     .detail = refused.reason.field + " " + describe(refused.reason.fault),
                     .members = {{"field", refused.reason.field}}});
            },
            [](const EditNotMade &) {
                return administrationProblemResponse(
                    {.status = 503,
                     .type = "service-unavailable",
                     .detail = "The key-value service does not answer. Nothing was written."});
            },
            [](const EditOutcomeUnknown &) {
                return administrationProblemResponse(
                    {.status = 504,
                     .type = "outcome-unknown",
                     .detail = "The edit may have taken effect. Repeat it with the same Edit-Id.",
                     .ran = TookEffect::Unknown});
            }},
        outcome);
}

} // namespace Carawaymill

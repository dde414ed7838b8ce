#include "node/CallReader.h"

#include "node/AccessControl.h"

namespace Carawaymill {

static constexpr const char *servicePrefix = "/v1/services/";

/// The value of the Idempotency-Key header; std::nullopt when the header is missing or empty.
static std::optional<IdempotencyKey> keyOf(const HttpRequest &request)
{
    const std::string key = headerValue(request.headers, "Idempotency-Key");
    return key.empty() ? std::nullopt : std::optional(IdempotencyKey(key));
}

static Result<AcceptedCall, Problem> readCompletion(const CallerRequest &request,
                                                    bool chat,
                                                    const CompletionLimits &limits,
                                                    const CatalogueReplica &catalogue)
{
    const auto organisation = AccessControl::authenticate(request.request, catalogue);
    if (const auto *problem = std::get_if<Problem>(&organisation)) {
        return *problem;
    }
    auto completion = parseCompletion(request.request.body, chat, limits);
    if (auto *problem = std::get_if<Problem>(&completion)) {
        return std::move(*problem);
    }
    const auto entry = AccessControl::authorise(
        *std::get<const OrganisationRecord *>(organisation), std::get<CompletionRequest>(completion).entry, catalogue);
    if (const auto *problem = std::get_if<Problem>(&entry)) {
        return *problem;
    }
    const EntryRecord &record = *std::get<const EntryRecord *>(entry);
    const auto *modelEntry = std::get_if<ModelEntry>(&record.backEnd);
    const ModelRecord *model = modelEntry == nullptr ? nullptr : catalogue.model(modelEntry->model);
    if (model == nullptr) {
        return Problem{.type = ProblemType::EntryUnknown,
                       .ran = Ran::No,
                       .detail = "The entry is not served by a known model.",
                       .field = "/model"};
    }
    return AcceptedCall{.request = request.id,
                        .organisation = record.owner,
                        .entry = record,
                        .http = request.request,
                        .operation = std::get<CompletionRequest>(std::move(completion)),
                        .model = *model,
                        .key = keyOf(request.request),
                        .fingerprint = fingerprintOf(record.owner, record.id, request.request.body),
                        .receivedAt = request.receivedAt};
}

/// Reads a call to a plain service. Its target is `/v1/services/`, the entry, and the path and query for the service.
static Result<AcceptedCall, Problem> readServiceCall(const CallerRequest &request, const CatalogueReplica &catalogue)
{
    const auto organisation = AccessControl::authenticate(request.request, catalogue);
    if (const auto *problem = std::get_if<Problem>(&organisation)) {
        return *problem;
    }
    const std::string entryAndPath = request.request.target.substr(std::string(servicePrefix).size());
    const std::size_t end = entryAndPath.find_first_of("/?");
    const auto entry = AccessControl::authorise(
        *std::get<const OrganisationRecord *>(organisation), EntryId(entryAndPath.substr(0, end)), catalogue);
    if (const auto *problem = std::get_if<Problem>(&entry)) {
        return *problem;
    }
    const EntryRecord &record = *std::get<const EntryRecord *>(entry);
    const auto *service = std::get_if<ServiceEntry>(&record.backEnd);
    if (service == nullptr) {
        return Problem{
            .type = ProblemType::EntryUnknown, .ran = Ran::No, .detail = "The entry is not a plain service."};
    }
    const bool idempotent = std::ranges::count(service->idempotentMethods, request.request.method) > 0;
    const std::string pathAndQuery = end == std::string::npos ? std::string() : entryAndPath.substr(end);
    std::string path = pathAndQuery.starts_with('/') ? std::string() : std::string("/");
    path.append(pathAndQuery);
    return AcceptedCall{.request = request.id,
                        .organisation = record.owner,
                        .entry = record,
                        .http = request.request,
                        .operation = ServiceCallRequest{.path = path},
                        .model = std::nullopt,
                        // An idempotent call may run more than once, so its key need not be claimed.
                        .key = idempotent ? std::nullopt : keyOf(request.request),
                        .fingerprint = Fingerprint(),
                        .receivedAt = request.receivedAt};
}

Result<AcceptedCall, Problem>
readCall(const CallerRequest &request, const CompletionLimits &limits, const CatalogueReplica &catalogue)
{
    const std::string path = request.request.target.substr(0, request.request.target.find('?'));
    if (path.starts_with(servicePrefix)) {
        return readServiceCall(request, catalogue);
    }
    const bool chat = path == "/v1/chat/completions";
    if (!chat && path != "/v1/completions") {
        return Problem{.type = ProblemType::NotFound, .ran = Ran::No, .detail = "There is no such path."};
    }
    if (request.request.method != "POST") {
        return Problem{.type = ProblemType::MethodNotAllowed, .ran = Ran::No, .detail = "Only POST is answered here."};
    }
    return readCompletion(request, chat, limits, catalogue);
}

} // namespace Carawaymill

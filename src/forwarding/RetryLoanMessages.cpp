#include "forwarding/RetryLoanMessages.h"

#include "support/Variant.h"

namespace Carawaymill {

static constexpr const char *requestKind = "request";
static constexpr const char *grantKind = "grant";

void to_json(nlohmann::json &json, const RetryLoanMessage &message)
{
    std::visit(Overloaded{[&](const RetryLoanRequest &request) {
                              json = {requestKind, request.number, request.service, request.count};
                          },
                          [&](const RetryLoanGrant &grant) {
                              json = {grantKind, grant.number, grant.service, grant.count};
                          }},
               message);
}

void from_json(const nlohmann::json &json, RetryLoanMessage &message)
{
    const auto number = json.at(1).get<std::uint64_t>();
    auto service = json.at(2).get<ServiceId>();
    const auto count = json.at(3).get<std::uint32_t>();
    if (json.at(0) == requestKind) {
        message = RetryLoanRequest{.number = number, .service = std::move(service), .count = count};
    } else if (json.at(0) == grantKind) {
        message = RetryLoanGrant{.number = number, .service = std::move(service), .count = count};
    } else {
        throw nlohmann::json::other_error::create(501, "no such kind", &json);
    }
}

} // namespace Carawaymill

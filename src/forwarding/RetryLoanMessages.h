#pragma once

#include "forwarding/RoutingConfiguration.h"
#include "support/Codec.h"

#include <cstdint>
#include <variant>

namespace Carawaymill {

/// A host asks another one for a part of its retry budget. JSON: `["request", number, service, count]`.
struct RetryLoanRequest
{
    std::uint64_t number = 0;
    ServiceId service;
    std::uint32_t count = 0;

    friend bool operator==(const RetryLoanRequest &, const RetryLoanRequest &) = default;
};

/// The answer to the request with this number, with at least one retry. JSON: `["grant", number, service, count]`.
struct RetryLoanGrant
{
    std::uint64_t number = 0;
    ServiceId service;
    std::uint32_t count = 0;

    friend bool operator==(const RetryLoanGrant &, const RetryLoanGrant &) = default;
};

using RetryLoanMessage = std::variant<RetryLoanRequest, RetryLoanGrant>;

void to_json(nlohmann::json &json, const RetryLoanMessage &message);
void from_json(const nlohmann::json &json, RetryLoanMessage &message);

} // namespace Carawaymill

#pragma once

#include "http/HttpMessages.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Carawaymill {

/// Creates a request with `body` as its JSON body.
[[nodiscard]] inline HttpRequest
jsonRequest(const std::string &method, const std::string &target, const nlohmann::json &body)
{
    return {.method = method, .target = target, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

} // namespace Carawaymill

#pragma once

#include "support/Variant.h"

#include <string>
#include <utility>
#include <vector>

/// HTTP requests and responses as plain values, free of any library, so that decisions about them can be tested alone.
namespace Carawaymill {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest
{
    /// Upper case, for example `GET`.
    std::string method;
    /// Path and query, for example `/v1/completions`.
    std::string target;
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
};

/// The value of the first header of that name (case does not matter), or an empty text.
[[nodiscard]] std::string headerValue(const HttpHeaders &headers, const std::string &name);

/// No byte of the request was handed to the other end.
struct HttpNotSent
{
};

/// The request was handed over at least in part, but no whole response came back.
struct HttpNoAnswer
{
};

using HttpResult = Result<HttpResponse, HttpNotSent, HttpNoAnswer>;

} // namespace Carawaymill

#pragma once

#include "support/Variant.h"

#include <string>
#include <string_view>
#include <utility>
#include <variant>
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

/// Whether two header names are the same; case does not matter.
[[nodiscard]] bool sameHeaderName(std::string_view left, std::string_view right);

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

/// Status and headers of a response whose body follows in parts.
struct HttpResponseHead
{
    unsigned status = 200;
    HttpHeaders headers;
};

/// Some bytes of the body, without any framing.
struct HttpBodyPart
{
    std::string bytes;
};

/// The response is whole.
struct HttpResponseEnd
{
};

/// A response as it arrives: one head, any number of parts, and one end; or a failure at any point before the end.
using HttpStreamEvent = std::variant<HttpResponseHead, HttpBodyPart, HttpResponseEnd, HttpNotSent, HttpNoAnswer>;

} // namespace Carawaymill

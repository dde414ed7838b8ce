#pragma once

#include "support/Variant.h"

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// HTTP requests and responses as plain values without dependency on an HTTP library, so that code that decides about
/// them can be tested without a network.
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

/// Compares two header names, ignoring case.
[[nodiscard]] bool sameHeaderName(std::string_view left, std::string_view right);

/// The value of the first header with this name (ignoring case); empty if there is none.
[[nodiscard]] std::string headerValue(const HttpHeaders &headers, const std::string &name);

/// No byte of the request was sent.
struct HttpNotSent
{
};

/// The request may have been sent at least in part, but no complete response arrived.
struct HttpNoResponse
{
};

using HttpResult = Result<HttpResponse, HttpNotSent, HttpNoResponse>;

/// Status and headers of a response; its body follows in parts.
struct HttpResponseHead
{
    unsigned status = 200;
    HttpHeaders headers;
    /// Whether the connection was opened for this request.
    bool onNewConnection = false;
};

/// Bytes of the body without transfer encoding.
struct HttpBodyPart
{
    std::string bytes;
};

/// The response is complete.
struct HttpResponseEnd
{
};

/// Events of a response, in order: one head, any number of body parts and one end. A failure can take the place of any
/// of them and is the last event.
using HttpStreamEvent = std::variant<HttpResponseHead, HttpBodyPart, HttpResponseEnd, HttpNotSent, HttpNoResponse>;

} // namespace Carawaymill

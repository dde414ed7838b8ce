#pragma once

#include "http/HttpMessages.h"

#include <functional>
#include <string>

namespace Carawaymill {

/// Sends the response to one HTTP request, either complete or as a stream of chunks.
///
/// Destroying a responder before the response is complete closes the caller's connection.
class HttpResponder
{
public:
    HttpResponder() = default;
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;
    virtual ~HttpResponder() = default;

    /// Sends a complete response.
    virtual void send(const HttpResponse &response) = 0;
    /// Begins a chunked response with the status and headers of `head`; its body is ignored.
    virtual void startStream(const HttpResponse &head) = 0;
    virtual void writeChunk(const std::string &chunk) = 0;
    /// Completes a chunked response.
    virtual void finishStream() = 0;
    /// Runs `callback` at most once, when the caller's connection closes before the response is complete.
    virtual void onCallerDisconnected(std::function<void()> callback) = 0;
};

} // namespace Carawaymill

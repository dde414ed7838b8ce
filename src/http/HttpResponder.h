#pragma once

#include "http/HttpMessages.h"

#include <functional>
#include <string>

namespace Carawaymill {

/// Answers one HTTP request: either with one whole response, or with a stream of chunks.
///
/// Destroying a responder that has not answered closes the caller's connection.
class HttpResponder
{
public:
    HttpResponder() = default;
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;
    virtual ~HttpResponder() = default;

    /// Sends the whole response.
    virtual void send(const HttpResponse &response) = 0;
    /// Begins a chunked response; only the status and the headers are used.
    virtual void startStream(const HttpResponse &head) = 0;
    virtual void writeChunk(const std::string &chunk) = 0;
    /// Ends a chunked response in the regular way.
    virtual void finishStream() = 0;
    /// Calls back at most once, when the caller closes the connection before the answer is complete.
    virtual void onCallerGone(std::function<void()> callback) = 0;
};

} // namespace Carawaymill

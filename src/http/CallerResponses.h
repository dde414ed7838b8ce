#pragma once

#include "http/HttpMessages.h"
#include "support/Identifiers.h"

#include <string>

/// Actions that send an HTTP response to a caller or an operator, as one message or as a stream.
namespace Carawaymill {

/// Action: send a complete response.
struct Respond
{
    RequestId id;
    HttpResponse response;
};

/// Action: begin a streamed response; the body of `head` is ignored.
struct BeginStream
{
    RequestId id;
    HttpResponse head;
};

struct WriteStream
{
    RequestId id;
    std::string chunk;
};

struct EndStream
{
    RequestId id;
};

/// Action: close the caller's connection without ending the stream, so that the incomplete response cannot be taken for
/// a complete one.
struct AbortStream
{
    RequestId id;
};

} // namespace Carawaymill

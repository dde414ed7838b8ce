#pragma once

#include "http/HttpMessages.h"
#include "support/Identifiers.h"

#include <string>

/// What is sent to a caller or an operator, as actions of the decisions.
namespace Carawaymill {

/// Action: the whole answer.
struct Respond
{
    RequestId id;
    HttpResponse response;
};

/// Action: begin a stream; only status and headers are used.
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

/// Action: close the caller's connection, so that its unfinished answer does not look complete.
struct BreakStream
{
    RequestId id;
};

} // namespace Carawaymill

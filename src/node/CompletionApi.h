#pragma once

#include "catalogue/Records.h"
#include "http/HttpMessages.h"
#include "node/NodeMessages.h"
#include "node/Problem.h"
#include "pipeline/PipelineMessages.h"

#include <string>

/// Conversion of callers' completion requests and responses from and to JSON, for `/v1/completions` and
/// `/v1/chat/completions`.
namespace Carawaymill {

/// A request for a completion, as read from JSON.
struct CompletionRequest
{
    EntryId entry;
    std::string prompt;
    TokenCount maximumTokens;
    bool stream = false;
    bool chat = false;
};

/// Token limits of one request. `defaultTokens` applies when the caller gives no `max_tokens`.
struct CompletionLimits
{
    TokenCount maximumTokens = TokenCount(4096);
    TokenCount defaultTokens = TokenCount(128);
};

/// Parses a request body. A problem names the invalid field.
[[nodiscard]] Result<CompletionRequest, Problem>
parseCompletion(const std::string &body, bool chat, const CompletionLimits &limits);

/// Fields that full responses and stream chunks have in common.
struct CompletionMetadata
{
    JobId job;
    EntryId entry;
    bool chat = false;
    WallClockSeconds created;
};

/// The complete answer as a single response.
[[nodiscard]] HttpResponse
completionResponse(const CompletionMetadata &head, const JobCompleted &completed, bool reachedMaximum);

/// The start of a stream of server-sent events.
[[nodiscard]] HttpResponse completionStreamHead(const CompletionMetadata &head);
/// One token of a stream.
[[nodiscard]] std::string completionStreamToken(const CompletionMetadata &head, const std::string &text);
/// The last events of a completed stream, with its token counts. A stream without them was truncated.
[[nodiscard]] std::string
completionStreamEnd(const CompletionMetadata &head, const JobCompleted &completed, bool reachedMaximum);
/// The error event that ends a stream whose answer could not be completed.
[[nodiscard]] std::string completionStreamProblem(const Problem &problem);

} // namespace Carawaymill

#include "node/CompletionApi.h"

namespace Carawaymill {

static Problem invalidField(const std::string &field, const std::string &detail)
{
    return {.type = ProblemType::InvalidField, .ran = Ran::No, .detail = detail, .field = field};
}

/// Joins the messages of a chat into one prompt, with one `role: content` line for each message.
static Result<std::string, Problem> chatPrompt(const nlohmann::json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return invalidField("/messages", "A list of at least one message is needed.");
    }
    std::string prompt;
    for (std::size_t index = 0; index < messages->size(); ++index) {
        const nlohmann::json &message = (*messages)[index];
        const std::string pointer = "/messages/" + std::to_string(index);
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            return invalidField(pointer + "/role", "A text is needed.");
        }
        if (!message.contains("content") || !message["content"].is_string()) {
            return invalidField(pointer + "/content", "A text is needed.");
        }
        prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + "\n";
    }
    return prompt;
}

static Result<std::string, Problem> plainPrompt(const nlohmann::json &body)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
        return invalidField("/prompt", "A text is needed.");
    }
    return prompt->get<std::string>();
}

static Result<TokenCount, Problem> requestedTokens(const nlohmann::json &body, const CompletionLimits &limits)
{
    const auto maxTokens = body.find("max_tokens");
    if (maxTokens == body.end() || maxTokens->is_null()) {
        return limits.defaultTokens;
    }
    if (!maxTokens->is_number_unsigned() || *maxTokens == 0U) {
        return invalidField("/max_tokens", "A whole number above 0 is needed.");
    }
    const TokenCount tokens(maxTokens->get<std::uint64_t>());
    if (tokens > limits.maximumTokens) {
        return invalidField("/max_tokens",
                            "At most " + std::to_string(limits.maximumTokens.value()) + " tokens can be asked for.");
    }
    return tokens;
}

Result<CompletionRequest, Problem> parseCompletion(const std::string &text, bool chat, const CompletionLimits &limits)
{
    const auto parsed = parseJson(text);
    const auto *body = std::get_if<nlohmann::json>(&parsed);
    if (body == nullptr || !body->is_object()) {
        return Problem{.type = ProblemType::MalformedBody, .ran = Ran::No, .detail = "The body is not a JSON object."};
    }
    const auto entry = body->find("model");
    if (entry == body->end() || !entry->is_string()) {
        return invalidField("/model", "The name of a catalogue entry is needed.");
    }
    const auto stream = body->find("stream");
    if (stream != body->end() && !stream->is_boolean()) {
        return invalidField("/stream", "True or false is needed.");
    }
    if (body->contains("n") && body->at("n") != 1) {
        return invalidField("/n", "Only one answer can be given.");
    }
    auto prompt = chat ? chatPrompt(*body) : plainPrompt(*body);
    if (auto *problem = std::get_if<Problem>(&prompt)) {
        return std::move(*problem);
    }
    auto tokens = requestedTokens(*body, limits);
    if (auto *problem = std::get_if<Problem>(&tokens)) {
        return std::move(*problem);
    }
    return CompletionRequest{.entry = EntryId(entry->get<std::string>()),
                             .prompt = std::get<std::string>(std::move(prompt)),
                             .maximumTokens = std::get<TokenCount>(tokens),
                             .stream = stream != body->end() && stream->get<bool>(),
                             .chat = chat};
}

static nlohmann::json envelope(const CompletionMetadata &head, const char *object)
{
    return {{"id", head.job}, {"object", object}, {"created", head.created}, {"model", head.entry}};
}

static nlohmann::json usage(const JobCompleted &completed)
{
    return {{"prompt_tokens", completed.promptTokens},
            {"completion_tokens", completed.generatedTokens},
            {"total_tokens", completed.promptTokens + completed.generatedTokens}};
}

static HttpHeaders headers(const CompletionMetadata &head, const char *contentType)
{
    return {{"Content-Type", contentType}, {"X-Carawaymill-Job", head.job.value()}};
}

static const char *finishReason(bool reachedMaximum)
{
    return reachedMaximum ? "length" : "stop";
}

HttpResponse completionResponse(const CompletionMetadata &head, const JobCompleted &completed, bool reachedMaximum)
{
    nlohmann::json choice = {{"index", 0}, {"finish_reason", finishReason(reachedMaximum)}};
    if (head.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", completed.text}};
    } else {
        choice["text"] = completed.text;
    }
    nlohmann::json body = envelope(head, head.chat ? "chat.completion" : "text_completion");
    body["choices"] = {choice};
    body["usage"] = usage(completed);
    return {.status = 200, .headers = headers(head, "application/json"), .body = body.dump()};
}

HttpResponse completionStreamHead(const CompletionMetadata &head)
{
    return {.status = 200, .headers = headers(head, "text/event-stream"), .body = {}};
}

static std::string event(const nlohmann::json &data)
{
    return "data: " + data.dump() + "\n\n";
}

static nlohmann::json chunk(const CompletionMetadata &head, const nlohmann::json &choice)
{
    nlohmann::json data = envelope(head, head.chat ? "chat.completion.chunk" : "text_completion");
    data["choices"] = {choice};
    return data;
}

std::string completionStreamToken(const CompletionMetadata &head, const std::string &text)
{
    nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (head.chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    return event(chunk(head, choice));
}

std::string completionStreamEnd(const CompletionMetadata &head, const JobCompleted &completed, bool reachedMaximum)
{
    nlohmann::json choice = {{"index", 0}, {"finish_reason", finishReason(reachedMaximum)}};
    if (head.chat) {
        choice["delta"] = nlohmann::json::object();
    } else {
        choice["text"] = "";
    }
    nlohmann::json data = chunk(head, choice);
    data["usage"] = usage(completed);
    return event(data) + "data: [DONE]\n\n";
}

std::string completionStreamProblem(const Problem &problem)
{
    return "event: error\ndata: " + problemResponse(problem).body + "\n\n";
}

} // namespace Carawaymill

#include "pipeline/EngineMessages.h"

namespace Carawaymill {

NLOHMANN_JSON_SERIALIZE_ENUM(EngineRefusalKind,
                             {{EngineRefusalKind::Malformed, "malformed"},
                              {EngineRefusalKind::StreamUnknown, "stream-unknown"},
                              {EngineRefusalKind::PositionMismatch, "position-mismatch"},
                              {EngineRefusalKind::LayersNotHeld, "layers-not-held"},
                              {EngineRefusalKind::Overloaded, "overloaded"}})

static nlohmann::json rangeToJson(LayerRange range)
{
    return nlohmann::json::array({range.first, range.end});
}

static LayerRange rangeFromJson(const nlohmann::json &json)
{
    return {.first = json.at(0).get<LayerIndex>(), .end = json.at(1).get<LayerIndex>()};
}

void to_json(nlohmann::json &json, const StepRequest &request)
{
    json = {{"stream", request.stream},
            {"job", request.job},
            {"attempt", request.attempt},
            {"model", request.model},
            {"version", request.version},
            {"adapter", request.adapter},
            {"priority", static_cast<int>(request.priority)},
            {"layers", rangeToJson(request.layers)},
            {"first", request.first},
            {"tokens", request.tokens},
            {"activations", request.activations},
            {"sample", request.sample}};
    if (request.prompt) {
        json["prompt"] = *request.prompt;
    }
}

void from_json(const nlohmann::json &json, StepRequest &request)
{
    json.at("stream").get_to(request.stream);
    json.at("job").get_to(request.job);
    json.at("attempt").get_to(request.attempt);
    json.at("model").get_to(request.model);
    json.at("version").get_to(request.version);
    json.at("adapter").get_to(request.adapter);
    request.priority = static_cast<JobClass>(json.at("priority").get<int>());
    request.layers = rangeFromJson(json.at("layers"));
    json.at("first").get_to(request.first);
    json.at("tokens").get_to(request.tokens);
    json.at("activations").get_to(request.activations);
    json.at("sample").get_to(request.sample);
    if (json.contains("prompt")) {
        request.prompt = json.at("prompt").get<std::string>();
    }
}

void to_json(nlohmann::json &json, const StepReply &reply)
{
    json = {{"stream", reply.stream},
            {"job", reply.job},
            {"attempt", reply.attempt},
            {"layers", rangeToJson(reply.layers)},
            {"first", reply.first},
            {"positions", reply.positions},
            {"activations", reply.activations}};
    if (reply.sampled) {
        json["sampled"] = {
            {"token", reply.sampled->token}, {"text", reply.sampled->text}, {"finished", reply.sampled->finished}};
    }
}

void from_json(const nlohmann::json &json, StepReply &reply)
{
    json.at("stream").get_to(reply.stream);
    json.at("job").get_to(reply.job);
    json.at("attempt").get_to(reply.attempt);
    reply.layers = rangeFromJson(json.at("layers"));
    json.at("first").get_to(reply.first);
    json.at("positions").get_to(reply.positions);
    json.at("activations").get_to(reply.activations);
    if (json.contains("sampled")) {
        const nlohmann::json &sampled = json.at("sampled");
        reply.sampled = SampledToken{.token = sampled.at("token").get<TokenId>(),
                                     .text = sampled.at("text").get<std::string>(),
                                     .finished = sampled.at("finished").get<bool>()};
    }
}

void to_json(nlohmann::json &json, const StreamStatus &status)
{
    json = {{"stream", status.stream}, {"next", status.next}};
    if (status.lastReply) {
        json["lastReply"] = *status.lastReply;
    }
}

void from_json(const nlohmann::json &json, StreamStatus &status)
{
    json.at("stream").get_to(status.stream);
    json.at("next").get_to(status.next);
    if (json.contains("lastReply")) {
        status.lastReply = json.at("lastReply").get<StepReply>();
    }
}

void to_json(nlohmann::json &json, const EngineRefusal &refusal)
{
    json = {{"refusal", refusal.kind}};
}

void from_json(const nlohmann::json &json, EngineRefusal &refusal)
{
    json.at("refusal").get_to(refusal.kind);
}

} // namespace Carawaymill

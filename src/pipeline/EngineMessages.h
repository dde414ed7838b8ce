#pragma once

#include "catalogue/Records.h"
#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Units.h"
#include "support/Variant.h"

#include <optional>
#include <string>
#include <vector>

/// What the router and an engine say to each other about streams. The wire format is the engine adapter's affair.
namespace Carawaymill {

/// One job's use of one engine: its KV cache there. A new stream is opened for each attempt and each replacement.
using StreamId = StrongType<struct StreamIdTag, std::string>;
/// Index of a token in the model's vocabulary.
using TokenId = StrongType<struct TokenIdTag, std::uint32_t>;
/// What one layer hands to the next for one token. Opaque to the router.
using Activation = std::string;

/// Runs `layers` for the tokens from `first` on. Exactly one of the three inputs is used:
/// the first stage of a chain takes the prompt and tokens, every other stage takes activations.
struct StepRequest
{
    StreamId stream;
    JobId job;
    AttemptNumber attempt;
    ModelId model;
    std::string version;
    std::string adapter;
    JobClass priority = JobClass::Standard;
    LayerRange layers;
    TokenPosition first;
    /// Present only in the first step of a first stage's stream; `tokens` then follow the prompt.
    std::optional<std::string> prompt;
    std::vector<TokenId> tokens;
    std::vector<Activation> activations;
    /// The stage holds the model's last layer, so the engine samples the token that follows the last position.
    bool sample = false;

    friend bool operator==(const StepRequest &, const StepRequest &) = default;
};

/// The token that the model chose.
struct SampledToken
{
    TokenId token;
    std::string text;
    /// The model ends its answer with this token.
    bool finished = false;

    friend bool operator==(const SampledToken &, const SampledToken &) = default;
};

struct StepReply
{
    StreamId stream;
    JobId job;
    AttemptNumber attempt;
    LayerRange layers;
    TokenPosition first;
    /// Number of positions that were run.
    std::uint32_t positions = 0;
    /// One for each position; empty when `sampled` is present.
    std::vector<Activation> activations;
    std::optional<SampledToken> sampled;

    friend bool operator==(const StepReply &, const StepReply &) = default;
};

/// Where a stream stands: the answer to asking it after an uncertain step.
struct StreamStatus
{
    StreamId stream;
    /// The position that the stream expects next.
    TokenPosition next;
    /// The reply to the last step that the engine ran for the stream.
    std::optional<StepReply> lastReply;
};

/// No byte of the call reached the engine.
struct EngineNotSent
{
    friend bool operator==(EngineNotSent, EngineNotSent) = default;
};

/// The call was handed over, but no answer came back: it may have run.
struct EngineNoAnswer
{
    friend bool operator==(EngineNoAnswer, EngineNoAnswer) = default;
};

/// Why an engine did not run a step. The step did not run.
enum class EngineRefusalKind {
    /// The engine does not know the stream: it restarted, or evicted the stream's cache.
    StreamUnknown,
    /// The step does not continue the stream where it stands.
    PositionMismatch,
    /// The engine does not hold all the layers.
    LayersNotHeld,
    Overloaded,
    Malformed,
};

struct EngineRefusal
{
    EngineRefusalKind kind = EngineRefusalKind::Malformed;

    friend bool operator==(EngineRefusal, EngineRefusal) = default;
};

using StepResult = Result<StepReply, EngineNotSent, EngineNoAnswer, EngineRefusal>;
using StreamStatusResult = Result<StreamStatus, EngineNotSent, EngineNoAnswer, EngineRefusal>;

void to_json(nlohmann::json &json, const StepRequest &request);
void from_json(const nlohmann::json &json, StepRequest &request);
void to_json(nlohmann::json &json, const StepReply &reply);
void from_json(const nlohmann::json &json, StepReply &reply);
void to_json(nlohmann::json &json, const StreamStatus &status);
void from_json(const nlohmann::json &json, StreamStatus &status);
void to_json(nlohmann::json &json, const EngineRefusal &refusal);
void from_json(const nlohmann::json &json, EngineRefusal &refusal);

} // namespace Carawaymill

#include "enginestandin/StandInModel.h"

#include "support/Hash.h"

#include <array>
#include <sstream>

namespace Carawaymill {

static constexpr std::array<const char *, 32> vocabulary = {
    "launch",  "glider", "tow",    "release", "height",  "metres",  "pilot", "tuggie",  "winch", "circuit", "landing",
    "thermal", "ridge",  "lesson", "pupil",   "teacher", "school",  "notes", "subject", "cover", "morning", "first",
    "bell",    "kept",   "clear",  "safe",    "return",  "summary", "club",  "field",   "wind",  "west"};

/// One token in so many ends an answer.
static constexpr std::uint64_t endOfAnswerOdds = 61;

static std::uint64_t fold(std::uint64_t left, std::uint64_t right, std::uint64_t seed)
{
    const std::array<std::uint64_t, 2> pair = {left, right};
    return stableHash({reinterpret_cast<const char *>(pair.data()), sizeof(pair)}, seed);
}

std::vector<TokenId> StandInModel::tokenise(const std::string &prompt)
{
    std::vector<TokenId> tokens;
    std::istringstream words(prompt);
    for (std::string word; words >> word;) {
        tokens.emplace_back(static_cast<std::uint32_t>(stableHash(word)));
    }
    if (tokens.empty()) {
        tokens.emplace_back(0);
    }
    return tokens;
}

std::uint64_t StandInModel::embed(TokenId token, TokenPosition position)
{
    return fold(token.value(), position.value(), 0);
}

std::uint64_t
StandInModel::runLayer(LayerIndex layer, std::uint64_t &state, std::uint64_t activation, const std::string &weights)
{
    const std::uint64_t layerWeights = stableHash(weights, layer.value());
    state = fold(state, activation, layerWeights);
    return fold(activation, state, layerWeights);
}

SampledToken StandInModel::sample(std::uint64_t activation)
{
    const std::string word = vocabulary[activation % vocabulary.size()];
    return {.token = TokenId(static_cast<std::uint32_t>(activation)),
            .text = word + " ",
            .finished = activation / vocabulary.size() % endOfAnswerOdds == 0};
}

std::string
StandInModel::referenceAnswer(const std::string &prompt, TokenCount maximumTokens, const std::string &weights) const
{
    std::vector<std::uint64_t> states(m_layers, 0);
    std::vector<TokenId> tokens = tokenise(prompt);
    std::string text;
    std::uint64_t activation = 0;
    std::uint32_t position = 0;
    for (std::uint64_t generated = 0; generated < maximumTokens.value(); ++generated) {
        for (; position < tokens.size(); ++position) {
            activation = embed(tokens[position], TokenPosition(position));
            for (std::uint32_t layer = 0; layer < m_layers; ++layer) {
                activation = runLayer(LayerIndex(layer), states[layer], activation, weights);
            }
        }
        const SampledToken token = sample(activation);
        text += token.text;
        tokens.push_back(token.token);
        if (token.finished) {
            break;
        }
    }
    return text;
}

std::string weightsName(const ModelId &model, const std::string &version, const std::string &adapter)
{
    return model.value() + "/" + version + "/" + adapter;
}

} // namespace Carawaymill

#pragma once

#include "pipeline/EngineMessages.h"
#include "support/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Carawaymill {

/// A stand-in for a language model whose text gives away every mistake in the order of its layers.
///
/// Each layer keeps a state that folds in every activation it has seen, and folds its own index and that state into the
/// activation it hands on. A layer that is skipped, run twice, run out of order, or run on another request's state
/// changes every token that follows.
class StandInModel
{
public:
    explicit StandInModel(std::uint32_t layers)
        : m_layers(layers)
    {
    }

    [[nodiscard]] std::uint32_t layers() const { return m_layers; }

    /// Splits a prompt into tokens, one for each word; an empty prompt is one token.
    [[nodiscard]] static std::vector<TokenId> tokenise(const std::string &prompt);

    /// What the first layer is given for a token.
    [[nodiscard]] static std::uint64_t embed(TokenId token, TokenPosition position);

    /// Runs one layer: updates the layer's state and returns the activation for the next layer.
    [[nodiscard]] static std::uint64_t
    runLayer(LayerIndex layer, std::uint64_t &state, std::uint64_t activation, const std::string &weights);

    /// The token that the last layer's activation stands for.
    [[nodiscard]] static SampledToken sample(std::uint64_t activation);

    /// The whole answer, computed in one place without any engine. `weights` names model, version and adapter.
    [[nodiscard]] std::string
    referenceAnswer(const std::string &prompt, TokenCount maximumTokens, const std::string &weights) const;

private:
    std::uint32_t m_layers;
};

/// Names the weights of a model as the stand-ins fold them in.
[[nodiscard]] std::string weightsName(const ModelId &model, const std::string &version, const std::string &adapter);

} // namespace Carawaymill

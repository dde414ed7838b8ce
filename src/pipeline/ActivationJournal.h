#pragma once

#include "pipeline/EngineMessages.h"

#include <deque>
#include <vector>

namespace Carawaymill {

/// The activations that crossed one boundary between two stages, by position.
///
/// A stage that takes over a lost one's layers is fed from here, so that the stages before it need not run again.
class ActivationJournal
{
public:
    /// The position after the last one that crossed the boundary.
    [[nodiscard]] TokenPosition end() const;

    /// The first position that is still kept.
    [[nodiscard]] TokenPosition begin() const { return m_begin; }

    /// Size of everything that is kept.
    [[nodiscard]] ByteCount bytes() const { return m_bytes; }

    /// Takes in the activations of the positions from `first` on; those already known are passed over.
    /// There must be no gap between `end()` and `first`.
    void append(TokenPosition first, const std::vector<Activation> &activations);

    /// The activations from `first` to the end. `first` must still be kept.
    [[nodiscard]] std::vector<Activation> from(TokenPosition first) const;

    /// Drops everything before `position`.
    void forgetBefore(TokenPosition position);

private:
    TokenPosition m_begin;
    std::deque<Activation> m_activations;
    ByteCount m_bytes;
};

} // namespace Carawaymill

#pragma once

#include "support/StrongType.h"

#include <algorithm>
#include <cstdint>

namespace Carawaymill {

using TokenCount = StrongCount<struct TokenCountTag, std::uint64_t>;
using ByteCount = StrongCount<struct ByteCountTag, std::uint64_t>;
/// Position of a token in a stream, prompt included; the first is 0.
using TokenPosition = StrongCount<struct TokenPositionTag, std::uint32_t>;
/// Index of a layer of a model; the first is 0.
using LayerIndex = StrongCount<struct LayerIndexTag, std::uint32_t>;

/// A half-open range of layers: `first` is in it, `end` is not.
struct LayerRange
{
    LayerIndex first;
    LayerIndex end;

    /// Number of layers in the range.
    [[nodiscard]] constexpr std::uint32_t size() const { return end.value() - first.value(); }

    [[nodiscard]] constexpr bool empty() const { return end <= first; }

    /// Whether every layer of `other` is in this range.
    [[nodiscard]] constexpr bool contains(LayerRange other) const { return first <= other.first && other.end <= end; }

    [[nodiscard]] constexpr bool contains(LayerIndex layer) const { return first <= layer && layer < end; }

    friend constexpr auto operator<=>(const LayerRange &, const LayerRange &) = default;
};

} // namespace Carawaymill

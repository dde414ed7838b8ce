#pragma once

#include "support/Units.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Carawaymill {

/// Merges ranges that adjoin or overlap, so that layers loaded in several parts count as one range.
///
/// `Range` has a member `layers`. Only ranges with equal `keyOf` are merged; the keys must be ordered.
template<typename Range, typename KeyOf>
[[nodiscard]] std::vector<Range> mergeRanges(std::vector<Range> ranges, KeyOf keyOf)
{
    std::sort(ranges.begin(), ranges.end(), [&](const Range &left, const Range &right) {
        return std::pair(keyOf(left), left.layers) < std::pair(keyOf(right), right.layers);
    });
    std::vector<Range> merged;
    for (Range &range : ranges) {
        if (!merged.empty() && keyOf(merged.back()) == keyOf(range) && range.layers.first <= merged.back().layers.end) {
            merged.back().layers.end = std::max(merged.back().layers.end, range.layers.end);
        } else {
            merged.push_back(std::move(range));
        }
    }
    return merged;
}

/// Removes the layers of `removed` from all ranges with the same `keyOf`. A range can be split into two.
template<typename Range, typename KeyOf>
[[nodiscard]] std::vector<Range> subtractRange(const std::vector<Range> &ranges, const Range &removed, KeyOf keyOf)
{
    std::vector<Range> rest;
    for (const Range &range : ranges) {
        if (keyOf(range) != keyOf(removed)) {
            rest.push_back(range);
            continue;
        }
        for (const LayerRange part : {LayerRange{range.layers.first, std::min(range.layers.end, removed.layers.first)},
                                      LayerRange{std::max(range.layers.first, removed.layers.end), range.layers.end}}) {
            if (!part.empty()) {
                rest.push_back(range);
                rest.back().layers = part;
            }
        }
    }
    return rest;
}

} // namespace Carawaymill

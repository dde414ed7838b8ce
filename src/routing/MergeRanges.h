#pragma once

#include "support/Units.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Carawaymill {

/// Joins ranges that touch or overlap, so that what was loaded in pieces counts as one range.
///
/// `Range` has a member `layers`; `keyOf` gives what else two ranges must have in common, and must be ordered.
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

/// What is left of the ranges without the layers of `dropped`, as far as `keyOf` is the same for both.
template<typename Range, typename KeyOf>
[[nodiscard]] std::vector<Range> subtractRange(const std::vector<Range> &ranges, const Range &dropped, KeyOf keyOf)
{
    std::vector<Range> rest;
    for (const Range &range : ranges) {
        if (keyOf(range) != keyOf(dropped)) {
            rest.push_back(range);
            continue;
        }
        for (const LayerRange part : {LayerRange{range.layers.first, std::min(range.layers.end, dropped.layers.first)},
                                      LayerRange{std::max(range.layers.first, dropped.layers.end), range.layers.end}}) {
            if (!part.empty()) {
                rest.push_back(range);
                rest.back().layers = part;
            }
        }
    }
    return rest;
}

} // namespace Carawaymill

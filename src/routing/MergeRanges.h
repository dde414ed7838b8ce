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

} // namespace Carawaymill

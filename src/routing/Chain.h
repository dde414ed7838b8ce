#pragma once

#include "support/Identifiers.h"
#include "support/Units.h"

#include <vector>

namespace Carawaymill {

/// One target's part of a chain: it runs exactly `layers`, which may be fewer than it holds.
struct ChainStage
{
    TargetId target;
    LayerRange layers;

    friend bool operator==(const ChainStage &, const ChainStage &) = default;
};

/// The stages that run a job, in order. Together they cover every layer of the model exactly once.
struct Chain
{
    std::vector<ChainStage> stages;

    friend bool operator==(const Chain &, const Chain &) = default;
};

/// Whether the stages cover the layers 0 to `layers` - 1 exactly once and in order.
[[nodiscard]] constexpr bool covers(const Chain &chain, std::uint32_t layers)
{
    LayerIndex next(0);
    for (const ChainStage &stage : chain.stages) {
        if (stage.layers.first != next || stage.layers.empty()) {
            return false;
        }
        next = stage.layers.end;
    }
    return next.value() == layers;
}

} // namespace Carawaymill

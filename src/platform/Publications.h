#pragma once

#include "forwarding/PublicationFormat.h"

namespace Carawaymill {

/// How this platform's operators and workers write down what they publish in its store.
[[nodiscard]] PublicationFormat platformPublications();

/// The layers that a worker says it holds, in its record and in its reports alike.
[[nodiscard]] std::vector<ModelLayers> readHeldLayers(const nlohmann::json &worker);

/// When a worker's process started, in milliseconds since 1970; 0 where it does not say.
[[nodiscard]] IncarnationNumber readIncarnation(const nlohmann::json &worker);

} // namespace Carawaymill

#pragma once

#include "forwarding/PublicationFormat.h"

namespace Carawaymill {

/// Keys and decoders of the configuration and the worker records in the platform's metadata store.
[[nodiscard]] PublicationFormat platformPublicationFormat();

/// Reads the layers that a worker holds; its record and its reports have the same field for them.
[[nodiscard]] std::vector<ModelLayers> readHeldLayers(const nlohmann::json &worker);

/// Reads when a worker's process started, in milliseconds since 1970; 0 if the field is missing.
[[nodiscard]] IncarnationNumber readIncarnation(const nlohmann::json &worker);

} // namespace Carawaymill

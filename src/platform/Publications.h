#pragma once

#include "forwarding/PublicationFormat.h"

namespace Carawaymill {

/// Keys and decoders of the configuration and the worker records in the platform's metadata store.
[[nodiscard]] PublicationFormat platformPublicationFormat();

/// Reads the layers that a worker holds. Works for its record and its reports, which state them in the same field.
[[nodiscard]] std::vector<ModelLayers> readHeldLayers(const nlohmann::json &worker);

/// Reads a worker's incarnation: the start time of its process in milliseconds since 1970. 0 if the field is missing.
[[nodiscard]] IncarnationNumber readIncarnation(const nlohmann::json &worker);

} // namespace Carawaymill

#pragma once

#include "placement/EngineOrders.h"
#include "support/Codec.h"
#include "support/Identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// A worker's record may come from another writer, and a faulty worker may report anything. The functions below return
/// std::nullopt if a field is there and is not of its type, or is out of its range.

/// Reads a whole number from 0 to `highest`; `defaultValue` if the field is missing.
[[nodiscard]] std::optional<std::uint64_t>
readCount(const nlohmann::json &object, const char *name, std::uint64_t highest, std::uint64_t defaultValue);

/// Reads the layers that a worker holds. Works for its record and its reports, which state them in the same field.
[[nodiscard]] std::optional<std::vector<ModelLayers>> readHeldLayers(const nlohmann::json &worker);

/// Reads a worker's incarnation: the start time of its process in milliseconds since 1970. 0 if the field is missing.
[[nodiscard]] std::optional<IncarnationNumber> readIncarnation(const nlohmann::json &worker);

/// Whether the text is an IP address and a port from 1 to 65535.
[[nodiscard]] bool isWorkerAddress(const std::string &text);

/// Whether the text can be a worker's id: not empty, and without spaces and control characters, which would end the
/// header that names the worker.
[[nodiscard]] bool isWorkerId(const std::string &text);

} // namespace Carawaymill

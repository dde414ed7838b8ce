#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "support/Codec.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

/// Helpers for the JSON of the key-value service in requests and responses: bytes are encoded as base64, 64-bit
/// integers as strings, and fields with the value zero may be missing.
namespace Carawaymill {

/// Header of a watch request: the maximum time to wait for a change, in milliseconds.
inline constexpr const char *watchWaitHeader = "x-watch-wait-milliseconds";

/// Thrown if a field is missing or has the wrong type; does not leave the codecs.
struct KeyValueJsonError
{
    std::string field;
};

/// The first key after all keys that start with `prefix`: the exclusive end of a range in requests.
[[nodiscard]] std::string endOfPrefix(const std::string &prefix);

/// The integer in `field`, given as a string or as a number; 0 when it is missing.
[[nodiscard]] std::uint64_t integerAt(const nlohmann::json &json, const std::string &field);

/// The decoded bytes in `field`; empty when it is missing.
[[nodiscard]] std::string bytesAt(const nlohmann::json &json, const std::string &field);

/// The array in `field`; empty when it is missing.
[[nodiscard]] nlohmann::json arrayAt(const nlohmann::json &json, const std::string &field);

[[nodiscard]] nlohmann::json recordToJson(const KeyValueRecord &record);
[[nodiscard]] KeyValueRecord recordFromJson(const nlohmann::json &json);

/// `{"revision": ...}`, the `header` field of each response.
[[nodiscard]] nlohmann::json headerToJson(Revision revision);
[[nodiscard]] Revision revisionOfHeader(const nlohmann::json &response);

} // namespace Carawaymill

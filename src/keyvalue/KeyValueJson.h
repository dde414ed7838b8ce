#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "support/Codec.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

/// Parts of the service's JSON that requests and responses share: bytes are base64, 64-bit integers are strings, and
/// fields with the value zero may be left out.
namespace Carawaymill {

/// Header of a watch request by which the client says how long the call may wait, in milliseconds.
inline constexpr const char *watchWaitHeader = "x-watch-wait-milliseconds";

/// A field that is missing or of the wrong kind; only thrown inside the codecs.
struct KeyValueJsonError
{
    std::string field;
};

/// The first key after all that start with `prefix`, as the service wants it for a range.
[[nodiscard]] std::string endOfPrefix(const std::string &prefix);

/// The integer in `field`, given as a string or as a number; 0 when it is missing.
[[nodiscard]] std::uint64_t integerAt(const nlohmann::json &json, const std::string &field);

/// The decoded bytes in `field`; empty when it is missing.
[[nodiscard]] std::string bytesAt(const nlohmann::json &json, const std::string &field);

/// The array in `field`; empty when it is missing.
[[nodiscard]] nlohmann::json arrayAt(const nlohmann::json &json, const std::string &field);

[[nodiscard]] nlohmann::json recordToJson(const KeyValueRecord &record);
[[nodiscard]] KeyValueRecord recordFromJson(const nlohmann::json &json);

/// `{"revision": ...}`, as at the head of each response.
[[nodiscard]] nlohmann::json headerToJson(Revision revision);
[[nodiscard]] Revision revisionOfHeader(const nlohmann::json &response);

} // namespace Carawaymill

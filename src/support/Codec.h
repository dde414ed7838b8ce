#pragma once

#include "support/StrongType.h"
#include "support/Variant.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// A document that cannot be read: `field` is the JSON pointer of what is missing or of the wrong kind.
struct DecodeFailure
{
    std::string field;

    friend bool operator==(const DecodeFailure &, const DecodeFailure &) = default;
};

template<typename Tag, typename Value>
void to_json(nlohmann::json &json, const StrongType<Tag, Value> &strong)
{
    json = strong.value();
}

template<typename Tag, typename Value>
void from_json(const nlohmann::json &json, StrongType<Tag, Value> &strong)
{
    strong = StrongType<Tag, Value>(json.get<Value>());
}

template<typename Tag, typename Value>
void to_json(nlohmann::json &json, const StrongCount<Tag, Value> &strong)
{
    json = strong.value();
}

template<typename Tag, typename Value>
void from_json(const nlohmann::json &json, StrongCount<Tag, Value> &strong)
{
    strong = StrongCount<Tag, Value>(json.get<Value>());
}

/// Reads `T` by its `from_json`, turning the library's exceptions into a typed failure.
template<typename T>
[[nodiscard]] Result<T, DecodeFailure> decode(const nlohmann::json &json)
{
    try {
        return json.get<T>();
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = exception.what()};
    }
}

/// Parses JSON text; the failure names the place. Text that is nested more than 100 levels deep is not parsed.
[[nodiscard]] Result<nlohmann::json, DecodeFailure> parseJson(const std::string &text);

/// Packs a document as CBOR, for messages between our own processes.
[[nodiscard]] std::string packCbor(const nlohmann::json &json);

/// Unpacks CBOR made by `packCbor`.
[[nodiscard]] Result<nlohmann::json, DecodeFailure> unpackCbor(const std::string &bytes);

} // namespace Carawaymill

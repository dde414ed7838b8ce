#include "support/Codec.h"

namespace Carawaymill {

Result<nlohmann::json, DecodeFailure> parseJson(const std::string &text)
{
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = exception.what()};
    }
}

std::string packCbor(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

Result<nlohmann::json, DecodeFailure> unpackCbor(const std::string &bytes)
{
    try {
        return nlohmann::json::from_cbor(bytes);
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = exception.what()};
    }
}

} // namespace Carawaymill

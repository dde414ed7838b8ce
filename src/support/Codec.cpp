#include "support/Codec.h"

namespace Carawaymill {

/// No document that is read here is nested deeper. Each level costs about 100 bytes of memory for one byte of text.
static constexpr std::size_t deepestNesting = 100;
/// The library's messages quote the last token, which may be as long as the document.
static constexpr std::size_t longestReason = 200;

/// Whether arrays and objects are nested deeper than `deepestNesting`, whatever else is wrong with the text.
static bool isNestedTooDeep(const std::string &text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (inString) {
            position += character == '\\' ? 1 : 0;
            inString = character != '"';
        } else if (character == '"') {
            inString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > deepestNesting) {
                return true;
            }
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

Result<nlohmann::json, DecodeFailure> parseJson(const std::string &text)
{
    if (isNestedTooDeep(text)) {
        return DecodeFailure{.field = "nested more than " + std::to_string(deepestNesting) + " levels deep"};
    }
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = std::string(exception.what()).substr(0, longestReason)};
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

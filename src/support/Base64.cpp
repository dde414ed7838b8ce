#include "support/Base64.h"

#include <openssl/evp.h>

namespace Carawaymill {

static constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(std::string_view bytes)
{
    // The library ends the text with a zero byte.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

Result<std::string, DecodeFailure> decodeBase64(const std::string &text)
{
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    // The library would accept white space and padding in more places.
    if (text.size() % 4 != 0
        || std::string_view(text).substr(0, text.size() - padding).find_first_not_of(alphabet)
               != std::string_view::npos) {
        return DecodeFailure{.field = "base64"};
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0) {
        return DecodeFailure{.field = "base64"};
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace Carawaymill

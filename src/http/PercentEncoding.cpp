#include "http/PercentEncoding.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Carawaymill {

std::string percentEncoded(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || std::string_view("-._~/").find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            encoded += {'%', digits[byte >> 4U], digits[byte & 0xFU]};
        }
    }
    return encoded;
}

std::optional<std::string> percentDecoded(std::string_view text)
{
    static constexpr std::size_t escapeLength = 3;
    static constexpr int hexadecimal = 16;
    std::string decoded;
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded += text.front();
            text.remove_prefix(1);
            continue;
        }
        unsigned byte = 0;
        const char *end = text.data() + std::min(text.size(), escapeLength);
        const auto parsed = std::from_chars(text.data() + 1, end, byte, hexadecimal);
        if (text.size() < escapeLength || parsed.ec != std::errc() || parsed.ptr != end) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        text.remove_prefix(escapeLength);
    }
    return decoded;
}

} // namespace Carawaymill

#include "support/Hash.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace Carawaymill {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xFU]);
    }
    return text;
}

} // namespace Carawaymill

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Carawaymill {

/// A 64-bit hash that is the same on every host and in every release. Not fit for secrets.
[[nodiscard]] std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// SHA-256 in lower-case hexadecimal, for tokens and request bodies.
[[nodiscard]] std::string sha256Hex(std::string_view bytes);

} // namespace Carawaymill

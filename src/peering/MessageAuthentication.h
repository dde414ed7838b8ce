#pragma once

#include <cstddef>
#include <string>

namespace Carawaymill {

inline constexpr std::size_t hmacBytes = 16;

/// The first 16 bytes of the HMAC-SHA-256 of `body` with `key`.
[[nodiscard]] std::string truncatedHmac(const std::string &body, const std::string &key);

} // namespace Carawaymill

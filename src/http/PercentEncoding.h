#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Carawaymill {

/// The text as part of a URL's path or query. Slashes stay as they are.
[[nodiscard]] std::string percentEncoded(std::string_view text);

/// std::nullopt if an escape is incomplete or not hexadecimal. The result may be any bytes.
[[nodiscard]] std::optional<std::string> percentDecoded(std::string_view text);

} // namespace Carawaymill

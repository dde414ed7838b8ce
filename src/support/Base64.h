#pragma once

#include "support/Codec.h"

#include <string>
#include <string_view>

namespace Carawaymill {

/// Standard base64 with padding.
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

/// Fails unless the text is whole base64 with padding.
[[nodiscard]] Result<std::string, DecodeFailure> decodeBase64(const std::string &text);

} // namespace Carawaymill

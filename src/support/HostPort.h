#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Carawaymill {

/// The two parts of an address like `10.0.0.1:8080`. Neither is checked any further.
struct HostPort
{
    std::string host;
    std::uint16_t port = 0;
};

/// Splits at the last colon; nothing when no number of a port follows it.
[[nodiscard]] std::optional<HostPort> splitHostPort(const std::string &text);

} // namespace Carawaymill

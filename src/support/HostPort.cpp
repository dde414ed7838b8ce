#include "support/HostPort.h"

#include <charconv>

namespace Carawaymill {

std::optional<HostPort> splitHostPort(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    HostPort split{.host = text.substr(0, colon)};
    const char *const end = text.data() + text.size();
    const auto [stopped, failure] = std::from_chars(text.data() + colon + 1, end, split.port);
    return failure == std::errc() && stopped == end ? std::optional(std::move(split)) : std::nullopt;
}

} // namespace Carawaymill

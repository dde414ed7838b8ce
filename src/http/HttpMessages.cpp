#include "http/HttpMessages.h"

#include <algorithm>
#include <cctype>

namespace Carawaymill {

bool sameHeaderName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::string headerValue(const HttpHeaders &headers, const std::string &name)
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [&](const auto &header) { return sameHeaderName(header.first, name); });
    return found == headers.end() ? std::string() : found->second;
}

} // namespace Carawaymill

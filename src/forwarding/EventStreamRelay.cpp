#include "forwarding/EventStreamRelay.h"

#include <algorithm>
#include <charconv>

namespace Carawaymill {

/// End of the first event that ends in `bytes` behind `begin`, after its empty line; npos if none does. Reads each byte
/// about once: a target in trouble may send events of two bytes without end.
static std::size_t findEventEnd(std::string_view bytes, std::size_t begin)
{
    for (std::size_t lineEnd = bytes.find('\n', begin); lineEnd != std::string_view::npos;
         lineEnd = bytes.find('\n', lineEnd + 1)) {
        const std::string_view next = bytes.substr(lineEnd + 1, 2);
        if (next.starts_with('\n')) {
            return lineEnd + 2;
        }
        if (next == "\r\n") {
            return lineEnd + 3;
        }
    }
    return std::string_view::npos;
}

/// The number in the event's `id:` line; std::nullopt if there is none.
static std::optional<StreamPosition> positionOf(std::string_view event)
{
    static constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const std::size_t lineEnd = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, lineEnd);
        event.remove_prefix(std::min(lineEnd + 1, event.size()));
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t number = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), number).ec == std::errc()) {
            return StreamPosition(number);
        }
    }
    return std::nullopt;
}

bool EventStreamRelay::accept(std::string_view event)
{
    const auto position = positionOf(event);
    if (!position) {
        return true;
    }
    if (m_last && *position <= *m_last) {
        return false;
    }
    m_last = position;
    return true;
}

std::string EventStreamRelay::append(std::string_view bytes)
{
    m_partial.append(bytes);
    const std::string_view all = m_partial;
    std::string relayed;
    std::size_t begin = 0;
    for (std::size_t end = findEventEnd(all, m_scanned); end != std::string_view::npos; end = findEventEnd(all, end)) {
        if (const std::string_view event = all.substr(begin, end - begin); accept(event)) {
            relayed.append(event);
        }
        begin = end;
    }
    m_partial.erase(0, begin);
    // The empty line may have begun with the last two bytes.
    m_scanned = m_partial.size() - std::min<std::size_t>(m_partial.size(), 2);
    return relayed;
}

} // namespace Carawaymill

#include "forwarding/EventStreamRelay.h"

#include <charconv>

namespace Carawaymill {

/// Length of the first event in `bytes` including the empty line that ends it; 0 if the event is incomplete.
static std::size_t firstEventSize(std::string_view bytes)
{
    static constexpr std::string_view lineFeeds = "\n\n";
    static constexpr std::string_view carriageReturns = "\n\r\n";
    const std::size_t lineFeedEnd = bytes.find(lineFeeds);
    const std::size_t carriageReturnEnd = bytes.find(carriageReturns);
    if (lineFeedEnd == std::string_view::npos && carriageReturnEnd == std::string_view::npos) {
        return 0;
    }
    return lineFeedEnd < carriageReturnEnd ? lineFeedEnd + lineFeeds.size()
                                           : carriageReturnEnd + carriageReturns.size();
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
    std::string relayed;
    std::string_view rest = m_partial;
    while (const std::size_t size = firstEventSize(rest)) {
        if (const std::string_view event = rest.substr(0, size); accept(event)) {
            relayed.append(event);
        }
        rest.remove_prefix(size);
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return relayed;
}

} // namespace Carawaymill

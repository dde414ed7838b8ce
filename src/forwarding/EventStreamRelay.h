#pragma once

#include "forwarding/ForwardMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace Carawaymill {

/// Cuts the bytes of an event stream into whole events, and lets each position through once.
///
/// A target may stop in the middle of an event, and another one goes on from the last whole event.
class EventStreamRelay
{
public:
    EventStreamRelay() = default;

    /// `resumeAfter`: the caller has the events up to this one.
    explicit EventStreamRelay(std::optional<StreamPosition> resumeAfter)
        : m_last(resumeAfter)
    {
    }

    /// The whole events that `bytes` completes and that the caller does not have yet.
    [[nodiscard]] std::string take(std::string_view bytes);

    /// Forgets the part of an event that an earlier target left behind.
    void restart() { m_partial.clear(); }

    /// The last event that was let through, or that the caller had before.
    [[nodiscard]] std::optional<StreamPosition> last() const { return m_last; }

    /// Whether a part of an event is waiting for its rest.
    [[nodiscard]] bool hasPartialEvent() const { return !m_partial.empty(); }

private:
    [[nodiscard]] bool accept(std::string_view event);

    std::optional<StreamPosition> m_last;
    std::string m_partial;
};

} // namespace Carawaymill

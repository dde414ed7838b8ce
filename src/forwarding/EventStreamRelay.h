#pragma once

#include "forwarding/ForwardMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace Carawaymill {

/// Splits the bytes of an event stream into complete events and drops events whose id was already relayed.
///
/// If a target fails in the middle of an event, another target resumes after the last complete event.
class EventStreamRelay
{
public:
    EventStreamRelay() = default;

    /// `resumeAfter`: id of the last event that the caller already has.
    explicit EventStreamRelay(std::optional<StreamPosition> resumeAfter)
        : m_last(resumeAfter)
    {
    }

    /// Appends `bytes` and returns the events that are now complete and that the caller does not have yet.
    [[nodiscard]] std::string append(std::string_view bytes);

    /// Discards an incomplete event of an earlier target.
    void restart()
    {
        std::string().swap(m_partial);
        m_scanned = 0;
    }

    /// Id of the last event that was relayed or that the caller had before.
    [[nodiscard]] std::optional<StreamPosition> last() const { return m_last; }

    /// Whether an incomplete event is buffered.
    [[nodiscard]] bool hasPartialEvent() const { return !m_partial.empty(); }

    /// Bytes of the incomplete event that is buffered.
    [[nodiscard]] std::size_t heldBytes() const { return m_partial.size(); }

    /// Whether the incomplete event is longer than any event: its target is in trouble and may never end it.
    [[nodiscard]] bool isOverlong() const { return m_partial.size() > maximumEventSize; }

private:
    static constexpr std::size_t maximumEventSize = 256U << 10U;

    [[nodiscard]] bool accept(std::string_view event);

    std::optional<StreamPosition> m_last;
    std::string m_partial;
    /// Bytes of `m_partial` in which no event ends.
    std::size_t m_scanned = 0;
};

} // namespace Carawaymill

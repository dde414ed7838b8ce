#pragma once

#include "support/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Carawaymill {

struct LogLimiterOptions
{
    /// Lines in each second; about a hundred requests end on a host in a second, with a line each.
    std::uint32_t linesPerSecond = 300;
    /// Of these, lines that only tell of a request's success.
    std::uint32_t successesPerSecond = 150;
};

/// Bounds the volume of the log: under load, lines that tell of successes give way to those that explain failures.
class LogLimiter
{
public:
    explicit LogLimiter(LogLimiterOptions options)
        : m_options(options)
    {
    }

    /// Whether the line is to be written.
    [[nodiscard]] bool admits(std::string_view line, TimePoint now);

    /// Lines that were left out in the second before; nothing when there were none, or while it lasts.
    [[nodiscard]] std::optional<std::uint64_t> takeDropped(TimePoint now);

private:
    void beginSecond(TimePoint now);

    LogLimiterOptions m_options;
    TimePoint m_second{};
    std::uint32_t m_lines = 0;
    std::uint32_t m_successes = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedBefore = 0;
};

} // namespace Carawaymill

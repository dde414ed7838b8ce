#pragma once

#include "support/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Carawaymill {

/// What the forwarding of this process has done since its start, for its operators.
class ForwardMetrics
{
public:
    ForwardMetrics();
    ForwardMetrics(const ForwardMetrics &) = delete;
    ForwardMetrics &operator=(const ForwardMetrics &) = delete;
    ~ForwardMetrics();

    /// A request has ended so long after it came, for example with the outcome `streamed`.
    void requestEnded(const std::string &outcome, Duration took);

    /// For example `dispatches`.
    void count(const std::string &event) { m_counters[event] += 1; }

    /// Lines of the usual text exposition format, for example `carawaymill_requests_total{outcome="streamed"} 7`.
    [[nodiscard]] std::string text() const;

private:
    class Latencies;

    std::map<std::string, std::uint64_t> m_outcomes;
    std::map<std::string, std::uint64_t> m_counters;
    std::unique_ptr<Latencies> m_latencies;
};

} // namespace Carawaymill

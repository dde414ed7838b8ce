#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "support/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace Carawaymill {

/// Counters and latencies of the forwarding since the start of the process.
class ForwardMetrics
{
public:
    ForwardMetrics();
    ForwardMetrics(const ForwardMetrics &) = delete;
    ForwardMetrics &operator=(const ForwardMetrics &) = delete;
    ~ForwardMetrics();

    /// Records a finished request. `outcome`: for example `streamed`; `took`: time since the request was received.
    void requestEnded(const std::string &outcome, Duration took);

    /// Increments a counter, for example `dispatches`.
    void count(const std::string &event) { m_counters[event] += 1; }

    /// Records a call to the key-value service. `range`: for example `directory`.
    void serviceCall(const std::string &range, const KeyValueRequest &request);

    /// Lines in the Prometheus text exposition format, for example `carawaymill_requests_total{outcome="streamed"} 7`.
    [[nodiscard]] std::string text() const;

private:
    class Latencies;

    std::map<std::string, std::uint64_t> m_outcomes;
    std::map<std::string, std::uint64_t> m_counters;
    /// By range and kind of the call.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_serviceCalls;
    std::unique_ptr<Latencies> m_latencies;
};

} // namespace Carawaymill

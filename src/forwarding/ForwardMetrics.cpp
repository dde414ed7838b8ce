#include "forwarding/ForwardMetrics.h"

#include <boost/histogram.hpp>

#include <array>

namespace Carawaymill {

/// Upper bounds of the latency buckets in seconds, closest together around the objectives of 150 and 500 ms.
static constexpr std::array latencyBounds = {0.0, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 20.0};

class ForwardMetrics::Latencies
{
public:
    void add(Duration took)
    {
        const double seconds = std::chrono::duration<double>(took).count();
        m_histogram(seconds);
        m_sum += seconds;
    }

    void write(std::string &text) const
    {
        const std::string name = "carawaymill_request_seconds";
        double total = 0;
        for (const auto &bin : boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
            total += *bin;
            const bool isLast = bin.index() >= static_cast<int>(latencyBounds.size()) - 1;
            if (bin.index() >= 0) {
                text.append(name).append("_bucket{le=\"");
                text.append(isLast ? "+Inf" : std::to_string(bin.bin().upper()));
                text.append("\"} ").append(std::to_string(static_cast<std::uint64_t>(total))).append("\n");
            }
        }
        text.append(name).append("_sum ").append(std::to_string(m_sum)).append("\n");
    }

private:
    using Axis = boost::histogram::axis::variable<double>;

    decltype(boost::histogram::make_histogram(Axis(latencyBounds))) m_histogram =
        boost::histogram::make_histogram(Axis(latencyBounds));
    double m_sum = 0;
};

ForwardMetrics::ForwardMetrics()
    : m_latencies(std::make_unique<Latencies>())
{
}

ForwardMetrics::~ForwardMetrics() = default;

void ForwardMetrics::requestEnded(const std::string &outcome, Duration took)
{
    m_outcomes[outcome] += 1;
    m_latencies->add(took);
}

static const char *kindOf(const KeyValueRequest &request)
{
    if (std::holds_alternative<ReadRange>(request)) {
        return "read";
    }
    if (std::holds_alternative<WatchRange>(request)) {
        return "watch";
    }
    return std::holds_alternative<Commit>(request) ? "commit" : "lease";
}

void ForwardMetrics::serviceCall(const std::string &range, const KeyValueRequest &request)
{
    m_serviceCalls[{range, kindOf(request)}] += 1;
}

std::string ForwardMetrics::text() const
{
    std::string text;
    for (const auto &[outcome, count] : m_outcomes) {
        text.append("carawaymill_requests_total{outcome=\"").append(outcome).append("\"} ");
        text.append(std::to_string(count)).append("\n");
    }
    for (const auto &[event, count] : m_counters) {
        text.append("carawaymill_").append(event).append("_total ").append(std::to_string(count)).append("\n");
    }
    for (const auto &[call, count] : m_serviceCalls) {
        text.append("carawaymill_service_calls_total{range=\"").append(call.first);
        text.append("\",kind=\"").append(call.second).append("\"} ").append(std::to_string(count)).append("\n");
    }
    m_latencies->write(text);
    return text;
}

} // namespace Carawaymill

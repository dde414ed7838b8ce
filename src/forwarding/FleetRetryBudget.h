#pragma once

#include "forwarding/RoutingConfiguration.h"
#include "support/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace Carawaymill {

struct FleetRetryBudgetOptions
{
    /// The retry limit holds over all hosts together in any window of this length.
    Duration window = 10s;
    /// Retries allowed per caller request.
    double ratio = 0.2;
    /// Additional retries allowed per window, over all hosts together.
    double burst = 0;
};

/// This host's share of the retries that all hosts may send to a service.
///
/// The limit holds over all hosts without messages between them: each host stays within the ratio to its own requests
/// plus an equal share of the burst, none of it before it knows the number of hosts. Half of the burst is reserved for
/// hosts that are not known yet and for restarted hosts, whose counts are lost.
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryBudgetOptions options);

    /// Sets the number of known hosts. A lower number counts only after a whole window: hosts whose records are gone
    /// may still send retries.
    void setHosts(std::size_t hosts, TimePoint now);

    void recordRequest(const ServiceId &service, TimePoint now);

    /// Consumes one retry from the budget; returns false if none is left.
    [[nodiscard]] bool tryRetry(const ServiceId &service, TimePoint now);

    /// Number of hosts that share the burst; 0 while it is not known.
    [[nodiscard]] std::size_t hosts() const { return m_hosts; }

    /// Number of retries that were granted and refused since the start of the process.
    [[nodiscard]] std::uint64_t granted() const { return m_granted; }

    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    /// Counts of one fraction of the window.
    struct Slot
    {
        TimePoint begin;
        double requests = 0;
        double retries = 0;
    };

    [[nodiscard]] Slot &slot(const ServiceId &service, TimePoint now);
    void updateHosts(TimePoint now);
    /// This host's share of the burst.
    [[nodiscard]] double burstShare() const;

    FleetRetryBudgetOptions m_options;
    std::size_t m_hosts = 0;
    std::size_t m_reportedHosts = 0;
    /// Since when fewer hosts than `m_hosts` have been reported.
    std::optional<TimePoint> m_fewerSince;
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
    std::map<ServiceId, std::deque<Slot>> m_slots;
};

} // namespace Carawaymill

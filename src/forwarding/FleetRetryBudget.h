#pragma once

#include "forwarding/RoutingConfiguration.h"
#include "support/Time.h"

#include <deque>
#include <map>

namespace Carawaymill {

struct FleetRetryBudgetOptions
{
    /// Bound over all hosts together, in any window of this length.
    Duration window = 10s;
    /// Further dispatches for each request of a caller.
    double ratio = 0.2;
    /// Further dispatches that are allowed besides, over all hosts together.
    double burst = 0;
};

/// This host's part of what a service may be sent beyond the first dispatch of each request.
///
/// The bound holds over all hosts without any message between them: each stays within the ratio to its own requests and
/// an equal part of the burst. Half of the burst is left to hosts that are not known yet, and to those that forgot what
/// they spent when they were restarted.
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryBudgetOptions options);

    void setHosts(std::size_t hosts) { m_hosts = hosts; }

    void recordRequest(const ServiceId &service, TimePoint now);

    /// Takes one further dispatch out of the budget; false when there is none left.
    [[nodiscard]] bool tryRetry(const ServiceId &service, TimePoint now);

private:
    /// Counts of a short time.
    struct Slot
    {
        TimePoint begin;
        double requests = 0;
        double retries = 0;
    };

    [[nodiscard]] Slot &slot(const ServiceId &service, TimePoint now);

    FleetRetryBudgetOptions m_options;
    std::size_t m_hosts = 1;
    std::map<ServiceId, std::deque<Slot>> m_slots;
};

} // namespace Carawaymill

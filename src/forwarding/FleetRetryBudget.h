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
    /// A loan of another host has to be used within this time.
    Duration loanValidity = 1s;
};

/// This host's share of the retries that all hosts may send to a service.
///
/// The limit holds over all hosts without messages between them: each host stays within the ratio to its own requests
/// plus an equal share of the burst. A process takes its share only when it has known other hosts for a whole window:
/// an earlier process of the host may have used the share, and hosts that start together are not all known at once.
/// Half of the burst is reserved for retries that arrive late, so that they fall into one window with later ones.
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryBudgetOptions options);

    /// Sets the number of known hosts. A lower number counts only after a whole window: hosts whose records are gone
    /// may still send retries.
    void setHosts(std::size_t hosts, TimePoint now);

    void recordRequest(const ServiceId &service, TimePoint now);

    /// Consumes one retry from the budget, or from a loan; returns false if none is left.
    [[nodiscard]] bool tryRetry(const ServiceId &service, TimePoint now);

    /// Number of retries that are left of the budget and of the valid loans.
    [[nodiscard]] double remaining(const ServiceId &service, TimePoint now);

    /// Charges this host with retries that another host may send instead. Returns their number: at most `wanted` and
    /// half of what is left of the own budget. A process without a share of the burst lends none.
    [[nodiscard]] std::uint32_t lend(const ServiceId &service, std::uint32_t wanted, TimePoint now);

    /// Adds retries that another host has lent since `lentAt`.
    void addLoan(const ServiceId &service, std::uint32_t count, TimePoint lentAt);

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

    /// Retries that count, or are available, until a time.
    struct Loan
    {
        TimePoint until;
        double count = 0;
    };

    [[nodiscard]] Slot &slot(const ServiceId &service, TimePoint now);
    /// What is left of this host's own budget. May be negative, since the budget shrinks with the recent requests.
    [[nodiscard]] double ownRemaining(const ServiceId &service, TimePoint now);
    /// The sum of the loans after those that have expired are dropped.
    [[nodiscard]] static double sumOf(std::deque<Loan> &loans, TimePoint now);
    /// Whether this process has known the hosts for a whole window.
    [[nodiscard]] bool isSettled(TimePoint now) const;
    void updateHosts(TimePoint now);
    /// This host's share of the burst.
    [[nodiscard]] double burstShare(TimePoint now) const;

    FleetRetryBudgetOptions m_options;
    std::size_t m_hosts = 0;
    std::size_t m_reportedHosts = 0;
    /// Since when the number of hosts is known.
    std::optional<TimePoint> m_knownSince;
    /// Since when fewer hosts than `m_hosts` have been reported.
    std::optional<TimePoint> m_fewerSince;
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
    std::map<ServiceId, std::deque<Slot>> m_slots;
    /// Lent to other hosts, and borrowed from them.
    std::map<ServiceId, std::deque<Loan>> m_lent;
    std::map<ServiceId, std::deque<Loan>> m_borrowed;
};

} // namespace Carawaymill

#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace Carawaymill {

/// The waiting jobs of one class, fair between organisations.
///
/// The next job is that of the organisation which has been served the least so far (start-time fair queueing); within
/// an organisation the oldest goes first.
class ClassQueue
{
public:
    void add(const OrganisationId &organisation, const JobId &job);
    void remove(const OrganisationId &organisation, const JobId &job);

    /// The organisation whose turn it is, passing over those that are held back; empty if there is none.
    [[nodiscard]] std::optional<OrganisationId> next(TimePoint now) const;
    /// The organisation's oldest job.
    [[nodiscard]] const JobId &oldest(const OrganisationId &organisation) const;
    /// Takes the oldest job out and counts its cost as served.
    void serve(const OrganisationId &organisation, double cost);
    /// Passes the organisation over until then.
    void holdBack(const OrganisationId &organisation, TimePoint until);

    /// Whether the organisation was held back since it was last served.
    [[nodiscard]] bool isHeldBack(const OrganisationId &organisation) const;

    [[nodiscard]] std::size_t size() const { return m_size; }

    /// Number of jobs that go before a new job of the organisation. Jobs that are held back are not counted.
    [[nodiscard]] std::size_t aheadOf(const OrganisationId &organisation, TimePoint now) const;
    /// Number of jobs that are not held back.
    [[nodiscard]] std::size_t ready(TimePoint now) const;
    /// Number of the organisation's jobs.
    [[nodiscard]] std::size_t size(const OrganisationId &organisation) const;
    /// The newest job of the organisation that has the most jobs. The queue must not be empty.
    [[nodiscard]] const JobId &newestOfLongest() const;
    /// The most jobs that any organisation has.
    [[nodiscard]] std::size_t longest() const;

private:
    struct Flow
    {
        std::deque<JobId> jobs;
        /// Cost served so far, raised to that of the others when the organisation comes back.
        double served = 0;
        TimePoint heldBackUntil{};
        bool heldBack = false;
    };

    [[nodiscard]] std::map<OrganisationId, Flow>::const_iterator longestFlow() const;

    std::map<OrganisationId, Flow> m_flows;
    double m_servedNow = 0;
    std::size_t m_size = 0;
};

} // namespace Carawaymill

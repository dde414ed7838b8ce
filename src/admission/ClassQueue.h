#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace Carawaymill {

/// Queue of the waiting jobs of one class, fair between organisations.
///
/// The next job belongs to the organisation with the least cost served so far (start-time fair queueing); within
/// an organisation the oldest goes first.
class ClassQueue
{
public:
    void add(const OrganisationId &organisation, const JobId &job);
    void remove(const OrganisationId &organisation, const JobId &job);

    /// The organisation with the least served cost among those that have jobs and are not deferred; empty if none.
    [[nodiscard]] std::optional<OrganisationId> next(TimePoint now) const;
    /// The organisation's oldest job.
    [[nodiscard]] const JobId &oldest(const OrganisationId &organisation) const;
    /// Removes the organisation's oldest job and adds `cost` to its served cost.
    void serve(const OrganisationId &organisation, double cost);
    /// Excludes the organisation from `next` until the given time.
    void defer(const OrganisationId &organisation, TimePoint until);

    /// Whether the organisation has been deferred since its last job was served.
    [[nodiscard]] bool isDeferred(const OrganisationId &organisation) const;

    [[nodiscard]] std::size_t size() const { return m_size; }

    /// Estimated number of jobs that start before a new job of the organisation, without jobs of other organisations
    /// that are deferred.
    [[nodiscard]] std::size_t countAhead(const OrganisationId &organisation, TimePoint now) const;
    /// Number of jobs of organisations that are not deferred.
    [[nodiscard]] std::size_t ready(TimePoint now) const;
    /// Number of the organisation's jobs.
    [[nodiscard]] std::size_t size(const OrganisationId &organisation) const;
    /// The newest job of the organisation with the most jobs. The queue must not be empty.
    [[nodiscard]] const JobId &newestOfLongestFlow() const;
    /// Number of jobs of the organisation with the most jobs; 0 if the queue is empty.
    [[nodiscard]] std::size_t longestFlowSize() const;

private:
    struct Flow
    {
        std::deque<JobId> jobs;
        /// Cost served so far; starts at the virtual time when the organisation is added.
        double servedCost = 0;
        TimePoint deferredUntil{};
        bool deferred = false;
    };

    [[nodiscard]] std::map<OrganisationId, Flow>::const_iterator longestFlow() const;

    std::map<OrganisationId, Flow> m_flows;
    /// Highest served cost, before the job's own cost, of any job served so far.
    double m_virtualTime = 0;
    std::size_t m_size = 0;
};

} // namespace Carawaymill

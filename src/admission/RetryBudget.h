#pragma once

#include "support/Identifiers.h"
#include "support/Variant.h"

#include <unordered_map>

namespace Carawaymill {

struct RetryBudgetOptions
{
    /// Retries that each request pays for.
    double retriesPerRequest = 0.1;
    /// Retries that an organisation can save up; a new one starts with these.
    double mostSavedPerOrganisation = 5;
    /// Retries that all organisations together can save up; the budget starts with these.
    double mostSavedOverall = 50;
};

/// The organisation's retries are used up.
struct OrganisationRetriesUsedUp
{
};

/// The retries of all organisations together are used up.
struct OverallRetriesUsedUp
{
};

/// Bounds retries to a fraction of the requests, so that a failure does not multiply the load.
///
/// Over any time, retries are at most `retriesPerRequest` times the requests, plus what was saved up before.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options);

    /// Counts a request's first attempt.
    void recordRequest(const OrganisationId &organisation);

    /// Takes one retry out of the organisation's and of the overall budget, or none.
    [[nodiscard]] Result<Done, OrganisationRetriesUsedUp, OverallRetriesUsedUp>
    tryRetry(const OrganisationId &organisation);

private:
    double &saved(const OrganisationId &organisation);

    RetryBudgetOptions m_options;
    std::unordered_map<OrganisationId, double> m_saved;
    double m_overall = 0;
};

} // namespace Carawaymill

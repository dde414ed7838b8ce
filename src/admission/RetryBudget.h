#pragma once

#include "support/Identifiers.h"
#include "support/Variant.h"

#include <unordered_map>

namespace Carawaymill {

struct RetryBudgetOptions
{
    /// Retries added to the budgets by each request.
    double retriesPerRequest = 0.1;
    /// Maximum of unused retries of one organisation, and the initial value of a new organisation.
    double burstPerOrganisation = 5;
    /// Maximum of unused retries over all organisations together, and the initial value.
    double overallBurst = 50;
};

/// The organisation has less than one retry left.
struct OrganisationBudgetExhausted
{
};

/// All organisations together have less than one retry left.
struct OverallBudgetExhausted
{
};

/// Bounds retries to a fraction of the requests, so that a failure does not multiply the load.
///
/// In any interval, retries are at most `retriesPerRequest` times the requests plus the retries unused at its start.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options);

    /// Counts the first attempt of a request.
    void recordRequest(const OrganisationId &organisation);

    /// Takes one retry from both the organisation's and the overall budget, or from neither.
    [[nodiscard]] Result<Done, OrganisationBudgetExhausted, OverallBudgetExhausted>
    tryRetry(const OrganisationId &organisation);

private:
    double &organisationTokens(const OrganisationId &organisation);

    RetryBudgetOptions m_options;
    std::unordered_map<OrganisationId, double> m_organisationTokens;
    double m_overallTokens = 0;
};

} // namespace Carawaymill

#include "admission/RetryBudget.h"

#include <algorithm>

namespace Carawaymill {

/// Slightly below 1, so that rounding errors of ten additions of 0.1 do not cost a retry.
static constexpr double tokensPerRetry = 1.0 - 1e-9;

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_overallTokens(options.overallBurst)
{
}

double &RetryBudget::organisationTokens(const OrganisationId &organisation)
{
    return m_organisationTokens.try_emplace(organisation, m_options.burstPerOrganisation).first->second;
}

void RetryBudget::recordRequest(const OrganisationId &organisation)
{
    double &own = organisationTokens(organisation);
    own = std::min(own + m_options.retriesPerRequest, m_options.burstPerOrganisation);
    m_overallTokens = std::min(m_overallTokens + m_options.retriesPerRequest, m_options.overallBurst);
}

Result<Done, OrganisationBudgetExhausted, OverallBudgetExhausted>
RetryBudget::tryRetry(const OrganisationId &organisation)
{
    double &own = organisationTokens(organisation);
    if (own < tokensPerRetry) {
        return OrganisationBudgetExhausted{};
    }
    if (m_overallTokens < tokensPerRetry) {
        return OverallBudgetExhausted{};
    }
    own -= 1;
    m_overallTokens -= 1;
    return Done{};
}

} // namespace Carawaymill

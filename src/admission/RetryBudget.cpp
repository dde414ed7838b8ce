#include "admission/RetryBudget.h"

#include <algorithm>

namespace Carawaymill {

/// Ten tenths of a retry are one retry in spite of rounding.
static constexpr double oneRetry = 1.0 - 1e-9;

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_overall(options.mostSavedOverall)
{
}

double &RetryBudget::saved(const OrganisationId &organisation)
{
    return m_saved.try_emplace(organisation, m_options.mostSavedPerOrganisation).first->second;
}

void RetryBudget::recordRequest(const OrganisationId &organisation)
{
    double &own = saved(organisation);
    own = std::min(own + m_options.retriesPerRequest, m_options.mostSavedPerOrganisation);
    m_overall = std::min(m_overall + m_options.retriesPerRequest, m_options.mostSavedOverall);
}

Result<Done, OrganisationRetriesUsedUp, OverallRetriesUsedUp> RetryBudget::tryRetry(const OrganisationId &organisation)
{
    double &own = saved(organisation);
    if (own < oneRetry) {
        return OrganisationRetriesUsedUp{};
    }
    if (m_overall < oneRetry) {
        return OverallRetriesUsedUp{};
    }
    own -= 1;
    m_overall -= 1;
    return Done{};
}

} // namespace Carawaymill

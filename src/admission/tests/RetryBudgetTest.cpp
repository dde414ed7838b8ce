#include "admission/RetryBudget.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const OrganisationId large("large");

TEST_CASE("retries are limited to the configured fraction of the requests when every attempt fails")
{
    RetryBudget budget({.retriesPerRequest = 0.1, .burstPerOrganisation = 5, .overallBurst = 50});
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.recordRequest(large);
        while (std::holds_alternative<Done>(budget.tryRetry(large))) {
            ++retries;
        }
    }
    CHECK(retries <= 100 + 5);
    CHECK(retries >= 100);
}

TEST_CASE("an organisation without retries leaves other organisations their retries up to the overall budget")
{
    RetryBudget budget({.retriesPerRequest = 0.1, .burstPerOrganisation = 2, .overallBurst = 3});
    CHECK(std::holds_alternative<Done>(budget.tryRetry(large)));
    CHECK(std::holds_alternative<Done>(budget.tryRetry(large)));
    CHECK(std::holds_alternative<OrganisationBudgetExhausted>(budget.tryRetry(large)));
    CHECK(std::holds_alternative<Done>(budget.tryRetry(OrganisationId("small"))));
    CHECK(std::holds_alternative<OverallBudgetExhausted>(budget.tryRetry(OrganisationId("small"))));
}

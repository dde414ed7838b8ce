#include "admission/RetryBudget.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const OrganisationId large("large");

TEST_CASE("when everything fails, retries add no more than their fraction to the load")
{
    RetryBudget budget({.retriesPerRequest = 0.1, .mostSavedPerOrganisation = 5, .mostSavedOverall = 50});
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

TEST_CASE("one organisation's failures leave the others their retries, within what all have together")
{
    RetryBudget budget({.retriesPerRequest = 0.1, .mostSavedPerOrganisation = 2, .mostSavedOverall = 3});
    CHECK(std::holds_alternative<Done>(budget.tryRetry(large)));
    CHECK(std::holds_alternative<Done>(budget.tryRetry(large)));
    CHECK(std::holds_alternative<OrganisationRetriesUsedUp>(budget.tryRetry(large)));
    CHECK(std::holds_alternative<Done>(budget.tryRetry(OrganisationId("small"))));
    CHECK(std::holds_alternative<OverallRetriesUsedUp>(budget.tryRetry(OrganisationId("small"))));
}

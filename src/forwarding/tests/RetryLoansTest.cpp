#include "forwarding/RetryLoans.h"
#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <deque>
#include <string>

using namespace Carawaymill;

static const ServiceId service("scribe");
static const TimePoint start{1h};
static constexpr FleetRetryBudgetOptions budgetOptions{.window = 10s, .ratio = 0.2, .burst = 160};

/// Hosts whose messages arrive at once unless they are lost.
class LendingFleet
{
public:
    explicit LendingFleet(std::size_t hosts)
    {
        std::vector<HostId> all;
        for (std::size_t number = 0; number < hosts; ++number) {
            all.emplace_back("host-" + std::to_string(number));
        }
        for (std::size_t number = 0; number < hosts; ++number) {
            Host &host = m_hosts.emplace_back(
                Host{.budget = FleetRetryBudget(budgetOptions), .loans = RetryLoans({.seed = number + 1})});
            host.budget.setHosts(hosts, start - 10s);
            std::vector<HostId> others = all;
            std::erase(others, all[number]);
            host.loans.setHosts(std::move(others));
        }
    }

    /// Tries one retry at the host, and delivers the messages of `deliveredCopies` of each loan.
    bool tryRetry(std::size_t host, TimePoint now, std::size_t deliveredCopies = 1)
    {
        const bool granted = m_hosts[host].budget.tryRetry(service, now);
        for (const auto &request : m_hosts[host].loans.replenish(service, m_hosts[host].budget, now)) {
            const std::size_t lender = numberOf(request.to);
            for (const auto &grant : receive(lender, host, request.message, now)) {
                for (std::size_t copy = 0; copy < deliveredCopies; ++copy) {
                    (void)receive(host, lender, grant.message, now);
                }
            }
        }
        return granted;
    }

    std::vector<SendRetryLoanMessage>
    receive(std::size_t to, std::size_t from, const RetryLoanMessage &message, TimePoint now)
    {
        return m_hosts[to].loans.handle(
            {.from = HostId("host-" + std::to_string(from)), .message = message}, m_hosts[to].budget, now);
    }

private:
    struct Host
    {
        FleetRetryBudget budget;
        RetryLoans loans;
    };

    static std::size_t numberOf(const HostId &host) { return std::stoul(host.value().substr(5)); }

    std::vector<Host> m_hosts;
};

/// Retries that host 0 gets in two seconds while no other host retries.
static std::size_t retriesOfOneHost(LendingFleet &fleet, std::size_t deliveredCopies)
{
    std::size_t granted = 0;
    for (TimePoint now = start; now < start + 2s; now += 20ms) {
        granted += fleet.tryRetry(0, now, deliveredCopies) ? 1 : 0;
    }
    return granted;
}

// With equal shares a host whose streams used a lost target refused requests while the fleet had most of its budget.
TEST_CASE("a host that needs many retries at once gets most of the budget that the others leave unused")
{
    LendingFleet fleet(16);
    // The share of one host is 160 / 2 / 16.
    CHECK(retriesOfOneHost(fleet, 1) >= 30);
}

TEST_CASE("all hosts together stay within the bound while every host retries and loans are doubled or lost")
{
    static constexpr std::size_t hosts = 16;
    for (const std::size_t copies : {0U, 1U, 2U}) {
        LendingFleet fleet(hosts);
        std::deque<TimePoint> retries;
        for (TimePoint now = start; now < start + 40s; now += 20ms) {
            for (std::size_t host = 0; host < hosts; ++host) {
                if (fleet.tryRetry(host, now, copies)) {
                    retries.push_back(now);
                }
            }
            while (!retries.empty() && now - retries.front() > budgetOptions.window) {
                retries.pop_front();
            }
            REQUIRE(static_cast<double>(retries.size()) <= budgetOptions.burst);
        }
    }
}

TEST_CASE("a grant counts only for the open request and only while the loan is valid")
{
    FleetRetryBudget budget(budgetOptions);
    RetryLoans loans({.seed = 1});
    loans.setHosts({HostId("a")});
    const auto asked = loans.replenish(service, budget, start);
    REQUIRE(asked.size() == 1);
    const auto number = std::get<RetryLoanRequest>(asked.front().message).number;
    const auto grant = [&](const char *from, std::uint64_t answered) {
        (void)loans.handle(
            {.from = HostId(from), .message = RetryLoanGrant{.number = answered, .service = service, .count = 2}},
            budget,
            start);
    };
    grant("b", number);
    grant("a", number + 1);
    CHECK(!budget.tryRetry(service, start));
    grant("a", number);
    grant("a", number);
    CHECK(budget.remaining(service, start) == 2);
    CHECK(budget.tryRetry(service, start));
    CHECK(!budget.tryRetry(service, start + budgetOptions.loanValidity));
}

TEST_CASE("a host that has just started lends nothing")
{
    FleetRetryBudget budget(budgetOptions);
    budget.setHosts(4, start);
    for (int request = 0; request < 100; ++request) {
        budget.recordRequest(service, start);
    }
    CHECK(budget.lend(service, 4, start + 1s) == 0);
    CHECK(budget.lend(service, 4, start + 10s) == 4);
}

TEST_CASE("loan messages are unchanged after encoding and decoding and an unknown kind is rejected")
{
    for (const RetryLoanMessage &message :
         {RetryLoanMessage(RetryLoanRequest{.number = 7, .service = service, .count = 4}),
          RetryLoanMessage(RetryLoanGrant{.number = 7, .service = service, .count = 1})}) {
        const auto read = decode<RetryLoanMessage>(nlohmann::json(message));
        REQUIRE(std::holds_alternative<RetryLoanMessage>(read));
        CHECK(std::get<RetryLoanMessage>(read) == message);
    }
    CHECK(std::holds_alternative<DecodeFailure>(decode<RetryLoanMessage>(nlohmann::json{"other", 1, "x", 1})));
}

// Streams were broken off at the first lost target of a host without budget.
TEST_CASE("a stream without retry budget goes on with a loan and is broken off if none comes in time")
{
    for (const bool isGranted : {true, false}) {
        ForwarderFixture fixture;
        // Leaves this host a share of the burst below one retry.
        fixture.forwarder.setHosts(1000, fixture.now);
        fixture.forwarder.setLenders({HostId("other")});
        const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/stream/x")));
        (void)fixture.handle(ForwarderFixture::started(dispatch));
        (void)fixture.handle(ForwarderFixture::event(dispatch, 1));
        const auto lost = fixture.handle(ForwarderFixture::failed(dispatch));
        CHECK(!has<AbortStream>(lost));
        const auto asked = std::get<RetryLoanRequest>(only<SendRetryLoanMessage>(lost).message);
        if (isGranted) {
            const auto resumed = fixture.handle(RetryLoanMessageReceived{
                .from = HostId("other"),
                .message = RetryLoanGrant{.number = asked.number, .service = asked.service, .count = 1}});
            CHECK(only<ForwardToTarget>(resumed).resumeAfter == StreamPosition(1));
        } else {
            CHECK(!has<AbortStream>(fixture.advance(180ms)));
            CHECK(has<AbortStream>(fixture.advance(40ms)));
        }
    }
}

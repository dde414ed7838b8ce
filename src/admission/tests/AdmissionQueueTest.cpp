#include "admission/AdmissionQueue.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace Carawaymill;

static const EntryId entry("flight-summary");

/// Runs one queue in virtual time, with the limits of a deployment of one host.
struct QueueRun
{
    explicit QueueRun(AdmissionQueueOptions options = {}, Limits limits = {1e6, 1e9, 1'000'000})
        : queue(options)
    {
        std::vector<NamedLimits> all{{limitName(entry), {1e6, 1e9, 1'000'000}}};
        for (const char *organisation : {"large", "small"}) {
            all.push_back({limitName(OrganisationId(organisation)), limits});
        }
        (void)shared.handle(LimitsRead{all}, now);
        pass(3s);
    }

    void pass(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end; now += 10ms) {
            (void)shared.handle(Tick{}, now);
            apply(Tick{});
        }
    }

    void apply(const AdmissionEvent &event)
    {
        for (const AdmissionAction &action : queue.handle(event, shared, now)) {
            std::visit(Overloaded{[&](const StartJob &start) { started.push_back(start.job); },
                                  [&](const RefuseJob &refusal) { refused.emplace(refusal.job, refusal); }},
                       action);
        }
    }

    void offer(const std::string &job,
               const char *organisation = "large",
               JobClass jobClass = JobClass::Standard,
               Duration timeout = 60s)
    {
        apply(JobOffered{.job = JobId(job),
                         .organisation = OrganisationId(organisation),
                         .entry = entry,
                         .jobClass = jobClass,
                         .tokens = TokenCount(100),
                         .deadline = now + timeout,
                         .serviceTime = 1s});
    }

    TimePoint now{};
    SharedLimits shared = std::get<SharedLimits>(
        SharedLimits::create({.self = HostId("host-0"), .firstStartOfDeployment = true}, TimePoint{}));
    AdmissionQueue queue;
    std::vector<JobId> started;
    std::map<JobId, RefuseJob> refused;
};

TEST_CASE("jobs of a higher class start first and jobs of a lower class are refused first")
{
    QueueRun run({.mostWaiting = 2});
    run.offer("batch", "large", JobClass::Batch);
    run.offer("standard");
    run.offer("critical", "small", JobClass::Critical);
    REQUIRE(run.refused.contains(JobId("batch")));
    CHECK(run.refused.at(JobId("batch")).reason == RefusalReason::Displaced);
    run.offer("batch-again", "large", JobClass::Batch);
    CHECK(run.refused.at(JobId("batch-again")).reason == RefusalReason::QueueFull);
    run.apply(CapacityChanged{.jobs = 10});
    CHECK(run.started == std::vector{JobId("critical"), JobId("standard")});
}

TEST_CASE("an organisation with many waiting jobs does not delay or displace one with few")
{
    QueueRun run({.mostWaiting = 100});
    for (int job = 0; job < 100; ++job) {
        run.offer("large-" + std::to_string(job));
    }
    run.offer("small-1", "small");
    run.offer("small-2", "small");
    CHECK(run.refused.size() == 2);
    CHECK_FALSE(run.refused.contains(JobId("small-1")));
    run.apply(CapacityChanged{.jobs = 4});
    const std::set<JobId> started(run.started.begin(), run.started.end());
    CHECK(started.contains(JobId("small-1")));
    CHECK(started.contains(JobId("small-2")));
}

TEST_CASE("jobs of an organisation over its limit are refused and do not delay another organisation")
{
    QueueRun run({}, {.requestsPerSecond = 1, .tokensPerSecond = 1e6, .jobsInProgress = 1000});
    run.apply(CapacityChanged{.jobs = 1000});
    for (int job = 0; job < 20; ++job) {
        run.offer("large-" + std::to_string(job), "large", JobClass::Standard, 3s);
    }
    run.offer("small", "small", JobClass::Standard, 3s);
    run.pass(1500ms);
    const std::set<JobId> started(run.started.begin(), run.started.end());
    CHECK(started.contains(JobId("small")));
    run.pass(1s);
    REQUIRE(run.refused.contains(JobId("large-19")));
    CHECK(run.refused.at(JobId("large-19")).reason == RefusalReason::LimitReached);
    CHECK(run.started.size() + run.refused.size() == 21);
}

TEST_CASE("a job whose deadline cannot be met is refused before the deadline")
{
    QueueRun run;
    run.offer("hopeless", "large", JobClass::Standard, 500ms);
    CHECK(run.refused.at(JobId("hopeless")).reason == RefusalReason::DeadlineUnreachable);
    run.offer("waits", "large", JobClass::Standard, 3s);
    run.pass(1900ms);
    CHECK(run.refused.size() == 1);
    run.pass(200ms);
    CHECK(run.refused.at(JobId("waits")).reason == RefusalReason::DeadlineUnreachable);
}

TEST_CASE("jobs that cannot start before their deadline under overload are refused on arrival")
{
    QueueRun run;
    int next = 0;
    run.apply(CapacityChanged{.jobs = 10});
    for (int second = 0; second < 20; ++second) {
        for (int job = 0; job < 30; ++job) {
            run.offer("job-" + std::to_string(next++), "large", JobClass::Standard, 4s);
        }
        const std::vector<JobId> running(run.started.end() - static_cast<std::ptrdiff_t>(run.queue.running()),
                                         run.started.end());
        run.pass(1s);
        for (const JobId &job : running) {
            run.apply(JobEnded{.job = job, .used = TokenCount(100)});
        }
    }
    // Ten jobs start per second and each can wait three seconds: at most about 30 jobs wait.
    CHECK(run.queue.waiting() <= 40);
    CHECK(run.started.size() >= 150);
}

TEST_CASE("callers that are refused together get different retry times")
{
    QueueRun run({.mostWaiting = 1});
    run.offer("waits");
    std::set<Duration> times;
    for (int job = 0; job < 100; ++job) {
        run.offer("job-" + std::to_string(job));
        const Duration time = run.refused.at(JobId("job-" + std::to_string(job))).retryAfter;
        CHECK(time >= 1s);
        CHECK(time <= 2s);
        times.insert(time);
    }
    CHECK(times.size() > 90);
}

TEST_CASE("a job that is offered repeatedly starts once and an abandoned job never starts")
{
    QueueRun run;
    run.offer("gone");
    run.apply(JobAbandoned{.job = JobId("gone")});
    run.offer("job");
    run.offer("job");
    run.apply(CapacityChanged{.jobs = 10});
    run.offer("job");
    CHECK(run.started == std::vector{JobId("job")});
    run.apply(JobEnded{.job = JobId("job"), .used = TokenCount(1)});
    run.apply(JobEnded{.job = JobId("job"), .used = TokenCount(1)});
    CHECK(run.queue.running() == 0);
    CHECK(run.refused.empty());
}

TEST_CASE("a job of an organisation that is not in the catalogue is refused as not allowed")
{
    QueueRun run;
    run.apply(CapacityChanged{.jobs = 10});
    run.offer("job", "nobody");
    CHECK(run.refused.at(JobId("job")).reason == RefusalReason::NotAllowed);
    CHECK(describe(run.refused.at(JobId("job"))).starts_with("Admission: "));
}

TEST_CASE("a job that exceeds the capacity of the complete limit before its deadline is refused on arrival")
{
    QueueRun run({}, {.requestsPerSecond = 10, .tokensPerSecond = 1, .jobsInProgress = 10});
    run.apply(CapacityChanged{10});
    run.offer("too-much");
    REQUIRE(run.refused.contains(JobId("too-much")));
    CHECK(run.refused.at(JobId("too-much")).reason == RefusalReason::LimitReached);
}

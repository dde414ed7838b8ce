#include "routing/TargetMonitor.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Carawaymill;

static const TargetId engine("engine-1");

static TargetMonitor monitorWithLiveTarget()
{
    TargetMonitor monitor;
    (void)monitor.handle(TargetsDeclared{{engine}}, TimePoint{});
    (void)monitor.handle(Tick{}, TimePoint{});
    (void)monitor.handle(TargetPolled{.target = engine, .outcome = PollOutcome::Answered}, TimePoint(1ms));
    return monitor;
}

TEST_CASE("a target counts as dead until its first response")
{
    TargetMonitor monitor;
    (void)monitor.handle(TargetsDeclared{{engine}}, TimePoint{});
    CHECK(monitor.availability(engine) == TargetAvailability::Dead);
    CHECK(monitorWithLiveTarget().availability(engine) == TargetAvailability::Available);
}

TEST_CASE("a refused connection makes a target dead and a missed poll makes it suspect first")
{
    TargetMonitor monitor = monitorWithLiveTarget();
    (void)monitor.handle(TargetPolled{.target = engine, .outcome = PollOutcome::ConnectionFailed}, TimePoint(1s));
    CHECK(monitor.availability(engine) == TargetAvailability::Dead);

    monitor = monitorWithLiveTarget();
    (void)monitor.handle(TargetPolled{.target = engine, .outcome = PollOutcome::NoResponse}, TimePoint(1s));
    CHECK(monitor.availability(engine) == TargetAvailability::Suspect);
    (void)monitor.handle(TargetPolled{.target = engine, .outcome = PollOutcome::NoResponse}, TimePoint(2s));
    CHECK(monitor.availability(engine) == TargetAvailability::Dead);
    (void)monitor.handle(TargetPolled{.target = engine, .outcome = PollOutcome::Answered}, TimePoint(3s));
    CHECK(monitor.availability(engine) == TargetAvailability::Available);
}

TEST_CASE("a target that the host list reports as leaving stays leaving although it responds to polls")
{
    TargetMonitor monitor = monitorWithLiveTarget();
    (void)monitor.handle(HostListRead{.hosts = {}, .targets = {{engine, HostListState::Leaving}}}, TimePoint(1s));
    CHECK(monitor.availability(engine) == TargetAvailability::Leaving);
    (void)monitor.handle(TargetPolled{.target = engine, .outcome = PollOutcome::Answered}, TimePoint(2s));
    CHECK(monitor.availability(engine) == TargetAvailability::Leaving);
}

TEST_CASE("a poll whose result is never delivered does not stop polling")
{
    TargetMonitor monitor = monitorWithLiveTarget();
    std::size_t polls = 0;
    for (TimePoint now(10ms); now < TimePoint(60s); now += 10ms) {
        const auto actions = monitor.handle(Tick{}, now);
        polls += static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const auto &action) {
            return std::holds_alternative<PollTarget>(action);
        }));
    }
    CHECK(polls > 10);
    CHECK(monitor.availability(engine) == TargetAvailability::Dead);
}

TEST_CASE("a target suspected by a job is polled at once unless a poll is pending")
{
    TargetMonitor monitor = monitorWithLiveTarget();
    CHECK(monitor.handle(TargetSuspected{engine}, TimePoint(2ms)).size() == 1);
    CHECK(monitor.handle(TargetSuspected{engine}, TimePoint(3ms)).empty());
}

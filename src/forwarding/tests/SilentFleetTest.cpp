#include "forwarding/tests/PausedEngines.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Carawaymill;

/// A sound engine may be silent for so long.
static constexpr Duration soundSilence = 1300ms;
/// The platform allows that the time left which a repeat states ends this much after the caller's deadline.
static constexpr Duration deadlineSlack = 500ms;

static std::size_t beyondSlack(const PausedEngines &fleet)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        fleet.repeats(), [](const PausedEngines::Repeat &repeat) { return repeat.beyondDeadline > deadlineSlack; }));
}

/// Guards against repeats that wait at an engine as silent as the first one, and state a time left that is gone.
TEST_CASE("streams are not repeated at engines that are silent too while all engines are")
{
    for (const std::size_t hosts : {4U, 24U, 118U, 369U}) {
        CAPTURE(hosts);
        PausedEngines fleet({.hosts = hosts});
        fleet.start(2s);
        fleet.pause("ab", soundSilence);
        fleet.runFor(soundSilence + 5s);
        CHECK(beyondSlack(fleet) == 0);
        CHECK(fleet.repeats().size() * 20 <= hosts * 8);
        CHECK(fleet.failed() == 0);
        CHECK(fleet.whole() == hosts * 8);
    }
}

/// Guards against streams that stay with a silent engine although others work.
TEST_CASE("streams of a silent failure domain go on at engines that work before the silence ends")
{
    for (const std::size_t hosts : {4U, 24U, 118U, 369U}) {
        CAPTURE(hosts);
        PausedEngines fleet({.hosts = hosts});
        fleet.start(2s);
        fleet.pause("a", 20s);
        fleet.runFor(10s);
        CHECK(fleet.failed() == 0);
        CHECK(fleet.whole() == hosts * 8);
        CHECK(beyondSlack(fleet) == 0);
        CHECK(fleet.longestGap() < 1200ms);
    }
}

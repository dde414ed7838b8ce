#include "forwarding/TargetLiveness.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static constexpr TimePoint start{1h};

static std::vector<PathStage> pathOf(const std::vector<std::string> &targets)
{
    std::vector<PathStage> path;
    path.reserve(targets.size());
    for (const std::string &target : targets) {
        path.push_back({.target = TargetId(target), .address = target + ":1", .layers = {}});
    }
    return path;
}

TEST_CASE("a target works for as long as its last sign is recent")
{
    TargetLiveness liveness({.signLifetime = 150ms});
    liveness.listed(TargetId("a"));
    liveness.listed(TargetId("b"));
    CHECK(liveness.withoutRecentSign(pathOf({"a", "b"}), start).size() == 2);
    liveness.recordSigns(pathOf({"a", "b"}), start);
    liveness.recordSign(TargetId("b"), start + 100ms);
    CHECK(liveness.withoutRecentSign(pathOf({"a", "b"}), start + 140ms).empty());
    CHECK(liveness.withoutRecentSign(pathOf({"a", "b"}), start + 160ms) == std::vector{TargetId("a")});
    CHECK(liveness.longestSilence(pathOf({"a", "b"}), start + 160ms) == 160ms);
}

TEST_CASE("a target that has not replied to a query is left out until it shows a sign or for a while")
{
    TargetLiveness liveness({.unansweredPeriod = 500ms});
    liveness.listed(TargetId("a"));
    CHECK(liveness.beginQuery(TargetId("a")));
    CHECK(!liveness.beginQuery(TargetId("a")));
    liveness.endQuery(TargetId("a"), false, start);
    CHECK(liveness.unanswered(start + 400ms).contains(TargetId("a")));
    CHECK(liveness.unanswered(start + 500ms).empty());
    CHECK(liveness.beginQuery(TargetId("a")));
    liveness.endQuery(TargetId("a"), false, start + 600ms);
    liveness.recordSign(TargetId("a"), start + 700ms);
    CHECK(liveness.unanswered(start + 700ms).empty());
}

/// Guards against entries that stay for targets that were replaced while their streams went on.
TEST_CASE("targets that are no longer listed leave no entries")
{
    TargetLiveness liveness;
    for (int number = 0; number < 100000; ++number) {
        const TargetId target(std::to_string(number));
        liveness.listed(target);
        (void)liveness.beginQuery(target);
        liveness.unlisted(target);
        liveness.recordSign(target, start);
        liveness.endQuery(target, false, start);
        CHECK(!liveness.beginQuery(target));
    }
    CHECK(liveness.size() == 0);
}

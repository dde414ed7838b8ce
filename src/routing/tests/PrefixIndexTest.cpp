#include "routing/PrefixIndex.h"

#include <doctest/doctest.h>

#include <optional>

using namespace Carawaymill;

static const TargetId engine("e1");

static CacheChange stored(std::uint64_t fingerprint, std::uint64_t tokens = 16)
{
    return PrefixStored{{.fingerprint = PrefixFingerprint(fingerprint), .tokens = TokenCount(tokens)}};
}

static CacheChange evicted(std::uint64_t fingerprint)
{
    return PrefixEvicted{PrefixFingerprint(fingerprint)};
}

static CacheChanged changes(std::uint64_t first, std::vector<CacheChange> list, std::uint64_t incarnation = 1)
{
    return {.target = engine,
            .incarnation = IncarnationNumber(incarnation),
            .first = CacheSequence(first),
            .changes = std::move(list)};
}

static CacheSnapshot snapshot(std::uint64_t last, const std::vector<std::uint64_t> &fingerprints)
{
    CacheSnapshot taken{.target = engine, .incarnation = IncarnationNumber(1), .last = CacheSequence(last)};
    for (const std::uint64_t fingerprint : fingerprints) {
        taken.prefixes.push_back({.fingerprint = PrefixFingerprint(fingerprint), .tokens = TokenCount(16)});
    }
    return taken;
}

static std::uint64_t cachedTokens(const PrefixIndex &index, std::uint64_t fingerprint, Duration at = 0us)
{
    const auto hits = index.find({PrefixFingerprint(fingerprint)}, TimePoint(at));
    return hits.empty() ? 0 : hits.front().tokens.value();
}

TEST_CASE("the longest prefix in a target's cache is reported")
{
    PrefixIndex index({});
    CHECK(index.handle(changes(1, {stored(1, 16), stored(2, 32)}), TimePoint()).empty());
    const auto hits = index.find({PrefixFingerprint(1), PrefixFingerprint(2), PrefixFingerprint(3)}, TimePoint());
    REQUIRE(hits.size() == 1);
    CHECK(hits.front().tokens == TokenCount(32));
}

TEST_CASE("reordered and duplicated changes give the engine's cache state")
{
    PrefixIndex index({});
    CHECK(index.handle(changes(2, {evicted(1)}), TimePoint()).empty());
    CHECK(index.handle(changes(1, {stored(1)}), TimePoint()).empty());
    CHECK(cachedTokens(index, 1) == 0);
    CHECK(index.handle(changes(1, {stored(1)}), TimePoint()).empty());
    CHECK(cachedTokens(index, 1) == 0);
}

TEST_CASE("a lost eviction is corrected by a snapshot that is requested at most once per interval")
{
    PrefixIndex index({});
    CHECK(index.handle(changes(1, {stored(1), stored(2)}), TimePoint()).empty());
    CHECK(index.handle(changes(4, {stored(4)}), TimePoint(10ms)).empty());
    CHECK(index.handle(Tick(), TimePoint(400ms)).size() == 1);
    CHECK(index.handle(Tick(), TimePoint(500ms)).empty());
    CHECK(cachedTokens(index, 1) == 8);
    CHECK(cachedTokens(index, 4) == 8);
    CHECK(index.handle(Tick(), TimePoint(2500ms)).size() == 1);
    CHECK(index.handle(snapshot(4, {2, 4}), TimePoint(2600ms)).empty());
    CHECK(cachedTokens(index, 1) == 0);
    CHECK(cachedTokens(index, 2) == 16);
    CHECK(index.handle(Tick(), TimePoint(9s)).empty());
}

TEST_CASE("changes made after a snapshot was taken are still applied")
{
    PrefixIndex index({});
    CHECK(index.handle(changes(2, {stored(2)}), TimePoint()).empty());
    CHECK(index.handle(Tick(), TimePoint(400ms)).size() == 1);
    CHECK(index.handle(changes(3, {evicted(2), stored(3)}), TimePoint(450ms)).empty());
    CHECK(index.handle(snapshot(2, {1, 2}), TimePoint(500ms)).empty());
    CHECK(cachedTokens(index, 1) == 16);
    CHECK(cachedTokens(index, 2) == 0);
    CHECK(cachedTokens(index, 3) == 16);
}

TEST_CASE("a restarted engine has an empty cache and changes of its former incarnation are ignored")
{
    PrefixIndex index({});
    CHECK(index.handle(changes(1, {stored(1)}), TimePoint()).empty());
    CHECK(index.handle(changes(1, {stored(5)}, 2), TimePoint()).empty());
    CHECK(index.handle(changes(2, {stored(6)}), TimePoint()).empty());
    CHECK(cachedTokens(index, 1) == 0);
    CHECK(cachedTokens(index, 5) == 16);
    CHECK(cachedTokens(index, 6) == 0);
}

TEST_CASE("a full prefix table removes the oldest entry")
{
    PrefixIndex index({.maximumEntries = 100});
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        CHECK(index.handle(changes(i, {stored(i)}), TimePoint()).empty());
    }
    CHECK(index.size() == 100);
    CHECK(cachedTokens(index, 900) == 0);
    CHECK(cachedTokens(index, 901) == 16);
}

TEST_CASE("an assumed prefix expires unless the engine confirms it")
{
    PrefixIndex index({});
    index.assumeCached(engine, {{PrefixFingerprint(1), TokenCount(16)}, {PrefixFingerprint(2), TokenCount(16)}}, {});
    CHECK(cachedTokens(index, 1, 1s) == 16);
    CHECK(index.handle(changes(1, {stored(2)}), TimePoint(1s)).empty());
    index.assumeCached(engine, {{PrefixFingerprint(2), TokenCount(16)}}, {});
    CHECK(cachedTokens(index, 1, 6s) == 0);
    CHECK(cachedTokens(index, 2, 6s) == 16);
}

TEST_CASE("cache messages survive a JSON round trip")
{
    const nlohmann::json json = changes(3, {stored(1), evicted(2)});
    CHECK(nlohmann::json(json.get<CacheChanged>()) == json);
    const nlohmann::json taken = snapshot(3, {1, 2});
    CHECK(nlohmann::json(taken.get<CacheSnapshot>()) == taken);
}

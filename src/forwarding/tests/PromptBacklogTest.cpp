#include "forwarding/PromptBacklog.h"
#include "forwarding/LoadDigest.h"
#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>

using namespace Carawaymill;

/// The engines of the fixture read 100,000 prompt tokens a second through all 8 layers; a target holds half of them.
static constexpr std::uint64_t shortPrompt = 100;
/// 200 ms on a target, where a quarter of the objective is 125 ms.
static constexpr std::uint64_t longPrompt = 40'000;

static ForwardRequested promptRequest(std::uint64_t id, std::uint64_t tokens)
{
    ForwardRequested request = ForwarderFixture::request(id, "/stream/x");
    request.request.promptTokens = TokenCount(tokens);
    request.request.expectedTokens = TokenCount(10);
    return request;
}

/// Engines whose KV cache holds several long prompts.
static ForwarderFixture largeEngines(const std::vector<std::string> &ids)
{
    ForwarderFixture fixture({}, false);
    fixture.loadState(800'000);
    for (const std::string id : {"a1", "a2", "b1", "b2"}) {
        fixture.forwarder.targetUnlisted(TargetId(id), fixture.router);
    }
    for (const std::string &id : ids) {
        fixture.forwarder.targetListed(ForwarderFixture::engine(id, {LayerIndex(0), LayerIndex(8)}), fixture.router);
    }
    return fixture;
}

TEST_CASE("short prompts go to targets that have no long prompt to read")
{
    // Without counting unread prompts, short requests would wait for the long prompt on the target that has fewer
    // streams.
    ForwarderFixture fixture = largeEngines({"a1", "a3"});
    const TargetId busy = only<ForwardToTarget>(fixture.handle(promptRequest(1, longPrompt))).target;
    for (std::uint64_t id = 2; id < 8; ++id) {
        CHECK(only<ForwardToTarget>(fixture.handle(promptRequest(id, shortPrompt))).target != busy);
    }
}

TEST_CASE("a second long prompt goes to another target, and a third one waits for a quarter of its objective at most")
{
    ForwarderFixture fixture = largeEngines({"a1", "a3"});
    const auto first = only<ForwardToTarget>(fixture.handle(promptRequest(1, longPrompt)));
    const auto second = only<ForwardToTarget>(fixture.handle(promptRequest(2, longPrompt)));
    CHECK(second.target != first.target);
    const auto third = fixture.handle(promptRequest(3, longPrompt));
    CHECK(!has<ForwardToTarget>(third));
    CHECK(!has<RefuseCaller>(third));
    // A short one does not wait behind it.
    CHECK(has<ForwardToTarget>(fixture.handle(promptRequest(4, shortPrompt))));
    CHECK(!has<ForwardToTarget>(fixture.advance(100ms)));
    CHECK(only<ForwardToTarget>(fixture.advance(40ms)).id == RequestId(3));
}

TEST_CASE("a long prompt that waits is sent as soon as a target has read its prompts")
{
    ForwarderFixture fixture = largeEngines({"a1"});
    const auto first = only<ForwardToTarget>(fixture.handle(promptRequest(1, longPrompt)));
    CHECK(!has<ForwardToTarget>(fixture.handle(promptRequest(2, longPrompt))));
    fixture.handle(ForwarderFixture::started(first));
    fixture.handle(ForwarderFixture::event(first, 1));
    CHECK(only<ForwardToTarget>(fixture.advance(20ms)).id == RequestId(2));
}

/// A request that uses most of the KV cache of a target of largeEngines().
static ForwardRequested cacheFiller(std::uint64_t id)
{
    ForwardRequested request = promptRequest(id, shortPrompt);
    request.request.expectedTokens = TokenCount(650'000);
    return request;
}

TEST_CASE("a long prompt that waits for others and then for capacity is sent once")
{
    // A request that waited in both places was queued again in each tick, and sent as often.
    ForwarderFixture fixture = largeEngines({"a1"});
    fixture.handle(promptRequest(1, longPrompt));
    CHECK(!has<ForwardToTarget>(fixture.handle(promptRequest(2, longPrompt))));
    CHECK(fixture.forwarder.prompts().size() == 1);
    const auto filler = only<ForwardToTarget>(fixture.handle(cacheFiller(3)));
    CHECK(!has<ForwardToTarget>(fixture.advance(200ms)));
    CHECK(fixture.forwarder.queue().size() == 1);
    CHECK(fixture.forwarder.prompts().size() == 0);
    fixture.handle(ForwarderFixture::failed(filler));
    const auto actions = fixture.advance(400ms);
    CHECK(std::ranges::count_if(
              actions, [](const ForwarderAction &action) { return std::holds_alternative<ForwardToTarget>(action); })
          == 1);
    CHECK(only<ForwardToTarget>(actions).id == RequestId(2));
}

TEST_CASE("a long prompt that waited for capacity also waits for the prompts that targets have to read")
{
    ForwarderFixture fixture = largeEngines({"a1"});
    fixture.handle(promptRequest(1, longPrompt));
    const auto filler = only<ForwardToTarget>(fixture.handle(cacheFiller(2)));
    fixture.handle(promptRequest(3, longPrompt));
    CHECK(fixture.forwarder.queue().size() == 1);
    fixture.handle(ForwarderFixture::failed(filler));
    CHECK(!has<ForwardToTarget>(fixture.advance(100ms)));
    CHECK(only<ForwardToTarget>(fixture.advance(40ms)).id == RequestId(3));
}

TEST_CASE("a long prompt does not wait for a few short ones")
{
    // On busy targets some short prompt is always unread.
    ForwarderFixture fixture = largeEngines({"a1"});
    fixture.handle(promptRequest(1, shortPrompt));
    CHECK(only<ForwardToTarget>(fixture.handle(promptRequest(2, longPrompt))).id == RequestId(2));
}

TEST_CASE("a fleet of one target serves long and short prompts, also with token counts that are wrong")
{
    ForwarderFixture fixture = largeEngines({"a1"});
    std::uint64_t id = 0;
    for (const std::uint64_t tokens : {std::uint64_t{0},
                                       shortPrompt,
                                       longPrompt,
                                       std::uint64_t{1'000'000},
                                       std::numeric_limits<std::uint64_t>::max()}) {
        CAPTURE(tokens);
        auto actions = fixture.handle(promptRequest(++id, tokens));
        if (!has<ForwardToTarget>(actions)) {
            actions = fixture.advance(200ms);
        }
        const auto sent = only<ForwardToTarget>(actions);
        CHECK(sent.id == RequestId(id));
        fixture.handle(ForwarderFixture::started(sent));
        fixture.handle(ForwarderFixture::event(sent, 1));
        fixture.handle(ForwarderFixture::ended(sent));
    }
    // Nothing is left of the prompts that were counted.
    CHECK(fixture.router.ownLoads().empty());
}

TEST_CASE("unread prompts are told in load digests, and digests of earlier builds have none")
{
    const LoadDigest digest{{TargetId("t"), {.openLayers = 8, .cacheLayerTokens = 100, .unreadLayerTokens = 40}}};
    const auto read = std::get<LoadDigest>(readLoadDigest(toJson(digest)));
    CHECK(read.at(TargetId("t")).unreadLayerTokens == 40);
    const auto earlier = std::get<LoadDigest>(readLoadDigest(nlohmann::json::parse(R"([["t", 8, 100]])")));
    CHECK(earlier.at(TargetId("t")).unreadLayerTokens == 0);
    CHECK(earlier.at(TargetId("t")).openLayers == 8);
}

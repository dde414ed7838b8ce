#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>

using namespace Carawaymill;

static constexpr std::size_t requestCount = 400;
static constexpr std::size_t partSize = 64U << 10U;
static constexpr std::size_t memoryLimit = 8U << 20U;

/// Bytes that a forwarder holds of responses that go on and on, at most; `part` is received again and again for each
/// request to `path`.
static std::size_t mostBytesHeld(ForwarderFixture &fixture, const std::string &path, const std::string &part)
{
    std::map<std::pair<RequestId, AttemptNumber>, std::size_t> held;
    const std::function<void(std::vector<ForwarderAction>)> apply = [&](const std::vector<ForwarderAction> &actions) {
        for (const ForwarderAction &action : actions) {
            if (const auto *dispatch = std::get_if<ForwardToTarget>(&action)) {
                held[{dispatch->id, dispatch->attempt}] = 0;
                apply(fixture.handle(ForwarderFixture::started(*dispatch)));
            } else if (const auto *abandoned = std::get_if<AbandonAttempt>(&action)) {
                held.erase({abandoned->id, abandoned->attempt});
            }
        }
    };
    for (std::uint64_t id = 1; id <= requestCount; ++id) {
        apply(fixture.handle(ForwarderFixture::request(id, path)));
    }
    std::size_t most = 0;
    for (std::size_t round = 0; round < 30; ++round) {
        const auto before = held;
        for (const auto &[attempt, bytes] : before) {
            if (const auto open = held.find(attempt); open != held.end()) {
                open->second += part.size();
                apply(
                    fixture.handle(TargetResponseData{.id = attempt.first, .attempt = attempt.second, .bytes = part}));
            }
            std::size_t sum = 0;
            for (const auto &[other, otherBytes] : held) {
                sum += otherBytes;
            }
            most = std::max(most, sum);
        }
    }
    return most;
}

TEST_CASE("many bodies without end at once fill no more memory than a host allots to them")
{
    ForwarderFixture fixture({.buffers = {.limit = ByteCount(memoryLimit)}});
    CHECK(mostBytesHeld(fixture, "/read/x", std::string(partSize, 'a')) <= memoryLimit);
    // The requests that are left are answered by targets that work.
    const auto actions = fixture.handle(ForwarderFixture::request(requestCount + 1, "/read/x"));
    REQUIRE(has<ForwardToTarget>(actions));
    const auto &dispatch = only<ForwardToTarget>(actions);
    fixture.handle(ForwarderFixture::started(dispatch));
    fixture.handle(TargetResponseData{.id = dispatch.id, .attempt = dispatch.attempt, .bytes = "sound"});
    CHECK(only<Respond>(fixture.handle(ForwarderFixture::ended(dispatch))).response.body == "sound");
}

TEST_CASE("many events without end at once fill no more memory than a host allots to them")
{
    ForwarderFixture fixture({.buffers = {.limit = ByteCount(memoryLimit)}});
    CHECK(mostBytesHeld(fixture, "/stream/x", std::string(partSize, 'a')) <= memoryLimit);
}

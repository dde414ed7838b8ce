#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

/// Time in which a host has to notice that it reaches no target; the platform allows 3 s.
static constexpr Duration noticeTime = 2s;

/// Whether the request goes from this host to its target.
static bool isDirect(const ForwardToTarget & /*dispatch*/)
{
    return true;
}

/// Answers dispatches of the fixture's host, to which new connections to all targets are refused, until there are no
/// more. Returns the number of refusals.
static std::size_t answer(ForwarderFixture &fixture, std::vector<ForwarderAction> actions)
{
    std::size_t refusals = 0;
    while (!actions.empty()) {
        std::vector<ForwarderAction> next;
        const auto deliver = [&](const ForwarderEvent &event) {
            for (ForwarderAction &action : fixture.handle(event)) {
                next.push_back(std::move(action));
            }
        };
        for (const ForwarderAction &action : actions) {
            refusals += std::holds_alternative<RefuseCaller>(action) ? 1 : 0;
            const auto *dispatch = std::get_if<ForwardToTarget>(&action);
            if (dispatch == nullptr) {
                continue;
            }
            if (isDirect(*dispatch)) {
                deliver(ForwarderFixture::failed(*dispatch, false));
            } else {
                deliver(ForwarderFixture::started(*dispatch));
                deliver(ForwarderFixture::ended(*dispatch));
            }
        }
        actions = std::move(next);
    }
    return refusals;
}

/// Guards against a host that takes its own lost links for dead targets and refuses what others could carry.
TEST_CASE("a host that reaches no target refuses no request while another host reaches them")
{
    for (const std::string path : {"/read/x", "/post/x", "/stream/x"}) {
        CAPTURE(path);
        ForwarderFixture fixture;
        fixture.forwarder.setHosts(2, fixture.now);
        const TimePoint cutAt = fixture.now;
        std::size_t refusals = 0;
        for (std::uint64_t id = 1; id <= 200; ++id) {
            const std::size_t refused = answer(fixture, fixture.handle(ForwarderFixture::request(id, path)))
                                        + answer(fixture, fixture.advance(40ms));
            refusals += fixture.now >= cutAt + noticeTime ? refused : 0;
        }
        CHECK(refusals == 0);
    }
}

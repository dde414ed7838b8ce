#include "CatalogueWorld.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

/// Shares of the whole node's and the service's budgets that the catalogue may take while nothing changes.
static constexpr double maxBytesPerHostAndSecond = 1024;
static constexpr double maxCallsPerSecond = 200;

namespace {

struct Fleet
{
    std::size_t hosts = 0;
    std::size_t failureDomains = 0;
};

} // namespace

TEST_CASE("the catalogue's load per host stays small as the fleet grows, and a change still reaches all in time")
{
    for (const Fleet fleet : {Fleet{4, 3}, Fleet{37, 6}, Fleet{370, 24}}) {
        const std::size_t hosts = fleet.hosts;
        CAPTURE(hosts);
        CatalogueWorld world(hosts, 1, fleet.failureDomains);
        world.run(5s);
        (void)world.edit(0, modelEdit("e0", "first", 5, 0));
        world.run(5s);
        const std::size_t bytesBefore = world.peerBytes;
        const std::size_t callsBefore = world.calls;
        static constexpr double seconds = 10;
        world.run(10s);
        const double bytes = static_cast<double>(world.peerBytes - bytesBefore) / seconds / static_cast<double>(hosts);
        const double calls = static_cast<double>(world.calls - callsBefore) / seconds;
        CHECK(bytes < maxBytesPerHostAndSecond);
        CHECK(calls < maxCallsPerSecond);

        const EditOutcome outcome = world.edit(0, modelEdit("e1", "m", 5, 0));
        REQUIRE(std::holds_alternative<EditAccepted>(outcome));
        const Revision revision = std::get<EditAccepted>(outcome).revision;
        const Duration known = world.runUntilInForce(revision, 4s);
        CHECK(known < 4s);
        Duration confirmed{};
        while (confirmed < 4s && world.host(0).replica.inForceOn(revision)->confirmed < hosts) {
            (void)world.host(0).replica.handle(InForceAsked{.revision = revision}, world.now());
            world.run(10ms);
            confirmed += 10ms;
        }
        CHECK(world.host(0).replica.inForceOn(revision) == InForceCount{.confirmed = hosts, .hosts = hosts});
        MESSAGE(hosts,
                " hosts: ",
                bytes,
                " B/s sent per host, ",
                calls,
                " calls/s to the service, in force after ",
                known.count() / 1000,
                " ms, confirmed ",
                confirmed.count() / 1000,
                " ms later");
    }
}

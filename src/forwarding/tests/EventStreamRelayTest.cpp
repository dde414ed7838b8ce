#include "forwarding/EventStreamRelay.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace Carawaymill;

TEST_CASE("events of two bytes without end do not hold up the other requests of a host")
{
    // Targets send such bytes as fast as they are read, which is in parts of this size.
    static constexpr std::size_t readSize = 4096;
    EventStreamRelay relay{std::nullopt};
    const std::string part(readSize, '\n');
    const auto begin = std::chrono::steady_clock::now();
    std::size_t relayed = 0;
    for (std::size_t bytes = 0; bytes < (2U << 20U); bytes += readSize) {
        relayed += relay.append(part).size();
    }
    CHECK(relayed == 2U << 20U);
    CHECK(std::chrono::steady_clock::now() - begin < 1s);
}

TEST_CASE("an event that grows byte by byte is found at its end")
{
    for (const std::string end : {"\n\n", "\n\r\n"}) {
        EventStreamRelay relay{std::nullopt};
        const std::string event = "id: 1\ndata: a" + end;
        std::string relayed;
        for (const char byte : event + event) {
            relayed += relay.append(std::string(1, byte));
        }
        CHECK(relayed == event);
        CHECK(!relay.hasPartialEvent());
    }
}

#include "http/HttpClient.h"
#include "platform/TargetClient.h"
#include "platformstandin/EndlessTargetStandIn.h"
#include "support/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <chrono>

using namespace Carawaymill;

TEST_CASE("reports and probes and progress queries whose answer never ends are given up long before other responses")
{
    // Buffers of the operating system are among these bytes.
    static constexpr std::size_t mostBytes = 8U << 20U;
    const std::string chunk = "400\r\n" + std::string(1024, ' ') + "\r\n";
    boost::asio::io_context context;
    const EndlessTargetStandIn target(context, {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk});
    HttpClient client(context);
    std::size_t results = 0;
    TargetClient targets(client, "key", [&](const NodeEvent &) { ++results; });
    targets.requestReport({.target = TargetId("e1"), .address = target.address(), .timeout = 60s});
    targets.probe({.target = TargetId("e1"), .address = target.address(), .timeout = 60s});
    targets.queryProgress({.address = target.address(), .timeout = 60s, .target = TargetId("e1")});
    const TimePoint end = readBootClock() + 10s;
    while ((results < 3 || target.closed() < 3) && readBootClock() < end) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    CHECK(results == 3);
    CHECK(target.closed() == 3);
    CHECK(target.mostWritten().value() < mostBytes);
}

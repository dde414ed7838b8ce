#include "http/HttpClient.h"
#include "platformstandin/EndlessTargetStandIn.h"
#include "support/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace Carawaymill;

/// A client has to give up a response long before this many bytes; buffers of the operating system are among them.
static constexpr std::size_t mostBytes = 12U << 20U;
static constexpr Duration limit = 5s;
static constexpr ByteCount bodyLimit(2U << 20U);

struct EndlessCase
{
    const char *name;
    EndlessResponse response;
};

static std::vector<EndlessCase> endlessCases()
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n";
    const std::string filler(1024, 'a');
    return {
        {"bytes that are no response", {"", filler}},
        {"header fields", {head, "X-Filler: a\r\n"}},
        {"one header field", {head + "X-Filler: ", filler}},
        {"interim responses", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
        {"responses to another request", {"", "HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\nContent-Length: 3\r\n\r\nabc"}},
        {"a body of another response", {"HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\n\r\n", filler}},
        {"a body without length", {head + "\r\n", filler}},
        {"a chunked body", {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + filler + "\r\n"}},
        {"one chunk extension", {head + "Transfer-Encoding: chunked\r\n\r\n1;", filler}},
        {"trailers", {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: a\r\n"}}};
}

/// Guards against responses that fill the memory, or keep a request, until their target ends them.
TEST_CASE("a response that never ends is given up and its connection closed")
{
    for (const EndlessCase &endless : endlessCases()) {
        CAPTURE(std::string(endless.name));
        boost::asio::io_context context;
        const EndlessTargetStandIn target(context, endless.response);
        HttpClient client(context);
        bool failed = false;
        bool completed = false;
        const auto exchange = client.open(
            target.address(),
            {.method = "GET", .target = "/", .headers = {}, .body = {}},
            {.timeout = 60s, .bodyLimit = bodyLimit, .echo = HttpEcho{.name = "X-Attempt-Id", .value = "1"}},
            [&](const HttpStreamEvent &event) {
                failed = failed || std::holds_alternative<HttpNoResponse>(event);
                completed = completed || std::holds_alternative<HttpResponseEnd>(event);
            });
        const TimePoint end = readBootClock() + limit;
        while ((!failed || target.closed() == 0) && readBootClock() < end) {
            context.run_one_for(std::chrono::milliseconds(20));
        }
        CHECK(failed);
        CHECK(!completed);
        CHECK(target.closed() == 1);
        CHECK(target.mostWritten().value() < mostBytes);
    }
}

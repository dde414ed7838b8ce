#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <doctest/doctest.h>

#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

using namespace Carawaymill;

/// Runs one server and one client in one context.
class HttpFixture
{
public:
    explicit HttpFixture(HttpHandler handler, HttpServerOptions options = {})
        : m_client(m_context)
        , m_server(std::get<0>(HttpServer::create(m_context, std::move(options), std::move(handler))))
    {
    }

    [[nodiscard]] HttpResult exchange(HttpRequest request, HttpSendOptions options = {})
    {
        std::optional<HttpResult> result;
        m_client.send("127.0.0.1:" + std::to_string(m_server->port()),
                      std::move(request),
                      options,
                      [&](HttpResult got) { result = std::move(got); });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            m_context.run_one();
        }
    }

    [[nodiscard]] HttpServer &server() { return *m_server; }

    [[nodiscard]] HttpClient &client() { return m_client; }

private:
    boost::asio::io_context m_context;
    HttpClient m_client;
    std::unique_ptr<HttpServer> m_server;
};

static void echo(HttpRequest request, std::unique_ptr<HttpResponder> responder)
{
    responder->send({.status = 200, .headers = {{"X-Target", request.target}}, .body = request.body});
}

TEST_CASE("a request is answered, twice over one kept connection")
{
    HttpFixture fixture(echo);
    for (int round = 0; round < 2; ++round) {
        const HttpResult result = fixture.exchange({.method = "POST", .target = "/a", .headers = {}, .body = "tow"});
        REQUIRE(std::holds_alternative<HttpResponse>(result));
        CHECK(std::get<HttpResponse>(result).body == "tow");
        CHECK(headerValue(std::get<HttpResponse>(result).headers, "x-target") == "/a");
    }
}

TEST_CASE("a body over the limit is refused with a typed problem")
{
    HttpFixture fixture(echo, {.limits = {.bodyBytes = ByteCount(10)}});
    const HttpResult result =
        fixture.exchange({.method = "POST", .target = "/", .headers = {}, .body = std::string(11, 'x')});
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).status == 413);
}

TEST_CASE("a stream of chunks arrives whole")
{
    HttpFixture fixture([](const HttpRequest &, std::unique_ptr<HttpResponder> responder) {
        responder->startStream({});
        responder->writeChunk("one ");
        responder->writeChunk("two");
        responder->finishStream();
    });
    const HttpResult result = fixture.exchange({.method = "GET", .target = "/", .headers = {}, .body = ""});
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).body == "one two");
}

TEST_CASE("a stream that is cut is no answer")
{
    HttpFixture fixture([](const HttpRequest &, std::unique_ptr<HttpResponder> responder) {
        responder->startStream({});
        responder->writeChunk("one ");
    });
    const HttpResult result = fixture.exchange({.method = "GET", .target = "/", .headers = {}, .body = ""});
    CHECK(std::holds_alternative<HttpNoAnswer>(result));
}

TEST_CASE("a request that no one listens for was not sent")
{
    std::uint16_t unused = 0;
    {
        HttpFixture gone(echo);
        unused = gone.server().port();
    }
    boost::asio::io_context context;
    HttpClient client(context);
    std::optional<HttpResult> result;
    client.send("127.0.0.1:" + std::to_string(unused),
                {.method = "GET", .target = "/", .headers = {}, .body = ""},
                {},
                [&](HttpResult got) { result = std::move(got); });
    context.run();
    REQUIRE(result.has_value());
    CHECK(std::holds_alternative<HttpNotSent>(*result));
}

TEST_CASE("a server that never answers times out as no answer")
{
    std::unique_ptr<HttpResponder> kept;
    HttpFixture fixture(
        [&](const HttpRequest &, std::unique_ptr<HttpResponder> responder) { kept = std::move(responder); });
    const HttpResult result =
        fixture.exchange({.method = "GET", .target = "/", .headers = {}, .body = ""}, {.timeout = 20ms});
    CHECK(std::holds_alternative<HttpNoAnswer>(result));
}

TEST_CASE("the handler learns that its caller has gone")
{
    std::unique_ptr<HttpResponder> kept;
    bool gone = false;
    HttpFixture fixture([&](const HttpRequest &, std::unique_ptr<HttpResponder> responder) {
        responder->onCallerGone([&] { gone = true; });
        kept = std::move(responder);
    });
    CHECK(std::holds_alternative<HttpNoAnswer>(
        fixture.exchange({.method = "GET", .target = "/", .headers = {}, .body = ""}, {.timeout = 20ms})));
    fixture.runUntil([&] { return gone; });
    CHECK(fixture.server().requestsInProgress() == 0);
}

#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

using namespace Carawaymill;

/// Runs a server and a client in one io_context.
class HttpFixture
{
public:
    explicit HttpFixture(HttpHandler handler, HttpServerOptions options = {})
        : m_client(m_context)
        , m_server(std::get<0>(HttpServer::create(m_context, std::move(options), std::move(handler))))
    {
    }

    [[nodiscard]] HttpResult exchange(const HttpRequest &request, HttpSendOptions options = {})
    {
        std::optional<HttpResult> result;
        m_client.send("127.0.0.1:" + std::to_string(m_server->port()),
                      request,
                      std::move(options),
                      [&](HttpResult arrived) { result = std::move(arrived); });
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

    [[nodiscard]] boost::asio::io_context &context() { return m_context; }

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

TEST_CASE("two requests on one keep-alive connection are both answered")
{
    HttpFixture fixture(echo);
    for (int round = 0; round < 2; ++round) {
        const HttpResult result = fixture.exchange({.method = "POST", .target = "/a", .headers = {}, .body = "tow"});
        REQUIRE(std::holds_alternative<HttpResponse>(result));
        CHECK(std::get<HttpResponse>(result).body == "tow");
        CHECK(headerValue(std::get<HttpResponse>(result).headers, "x-target") == "/a");
    }
}

TEST_CASE("a request body over the limit is rejected with status 413")
{
    HttpFixture fixture(echo, {.limits = {.bodyBytes = ByteCount(10)}});
    const HttpResult result =
        fixture.exchange({.method = "POST", .target = "/", .headers = {}, .body = std::string(11, 'x')});
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).status == 413);
}

TEST_CASE("a chunked response arrives completely")
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

TEST_CASE("an incomplete chunked response is reported as no response")
{
    HttpFixture fixture([](const HttpRequest &, std::unique_ptr<HttpResponder> responder) {
        responder->startStream({});
        responder->writeChunk("one ");
    });
    const HttpResult result = fixture.exchange({.method = "GET", .target = "/", .headers = {}, .body = ""});
    CHECK(std::holds_alternative<HttpNoResponse>(result));
}

TEST_CASE("a request to a port without listener is reported as not sent")
{
    std::uint16_t unused = 0;
    {
        HttpFixture closedServer(echo);
        unused = closedServer.server().port();
    }
    boost::asio::io_context context;
    HttpClient client(context);
    std::optional<HttpResult> result;
    client.send("127.0.0.1:" + std::to_string(unused),
                {.method = "GET", .target = "/", .headers = {}, .body = ""},
                {},
                [&](HttpResult arrived) { result = std::move(arrived); });
    context.run();
    REQUIRE(result.has_value());
    CHECK(std::holds_alternative<HttpNotSent>(*result));
}

TEST_CASE("a request without a response is reported as no response after its timeout")
{
    std::unique_ptr<HttpResponder> keptResponder;
    HttpFixture fixture(
        [&](const HttpRequest &, std::unique_ptr<HttpResponder> responder) { keptResponder = std::move(responder); });
    const HttpResult result =
        fixture.exchange({.method = "GET", .target = "/", .headers = {}, .body = ""}, {.timeout = 20ms});
    CHECK(std::holds_alternative<HttpNoResponse>(result));
}

TEST_CASE("the disconnect callback runs when the caller closes the connection")
{
    std::unique_ptr<HttpResponder> keptResponder;
    bool disconnected = false;
    HttpFixture fixture([&](const HttpRequest &, std::unique_ptr<HttpResponder> responder) {
        responder->onCallerDisconnected([&] { disconnected = true; });
        keptResponder = std::move(responder);
    });
    CHECK(std::holds_alternative<HttpNoResponse>(
        fixture.exchange({.method = "GET", .target = "/", .headers = {}, .body = ""}, {.timeout = 20ms})));
    fixture.runUntil([&] { return disconnected; });
    CHECK(fixture.server().requestsInProgress() == 0);
}

TEST_CASE("the disconnect callback runs when a caller closes its connection after it has sent bytes ahead")
{
    bool disconnected = false;
    std::unique_ptr<HttpResponder> held;
    HttpFixture fixture([&](const HttpRequest &, std::unique_ptr<HttpResponder> responder) {
        responder->onCallerDisconnected([&] { disconnected = true; });
        held = std::move(responder);
    });
    boost::asio::ip::tcp::socket caller(fixture.context());
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.server().port()});
    boost::asio::write(caller, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    fixture.runUntil([&] { return held != nullptr; });
    boost::asio::write(caller, boost::asio::buffer(std::string("\r\n")));
    fixture.context().run_for(std::chrono::milliseconds(50));
    caller.close();
    fixture.context().restart();
    fixture.context().run_for(std::chrono::seconds(2));
    CHECK(disconnected);
}

TEST_CASE("a request that was sent ahead is answered after the one before it")
{
    std::vector<std::unique_ptr<HttpResponder>> held;
    HttpFixture fixture(
        [&](const HttpRequest &, std::unique_ptr<HttpResponder> responder) { held.push_back(std::move(responder)); });
    boost::asio::ip::tcp::socket caller(fixture.context());
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.server().port()});
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    fixture.runUntil([&] { return held.size() == 1; });
    boost::asio::write(caller, boost::asio::buffer(request));
    fixture.context().run_for(std::chrono::milliseconds(50));
    fixture.context().restart();
    CHECK(held.size() == 1);
    held.front()->send({.status = 200, .headers = {}, .body = "first"});
    fixture.runUntil([&] { return held.size() == 2; });
    held.back()->send({.status = 200, .headers = {}, .body = "second"});
    std::string received;
    const auto receive = [&] {
        std::array<char, 4096> bytes{};
        received.append(bytes.data(), caller.read_some(boost::asio::buffer(bytes)));
    };
    fixture.context().run_for(std::chrono::milliseconds(50));
    while (received.find("second") == std::string::npos) {
        receive();
    }
    CHECK(received.find("first") < received.find("second"));
}

TEST_CASE("the disconnect callback does not run when the handler destroys its responder")
{
    bool disconnected = false;
    HttpFixture fixture([&](const HttpRequest &, std::unique_ptr<HttpResponder> responder) {
        responder->onCallerDisconnected([&] { disconnected = true; });
        responder.reset();
    });
    CHECK(std::holds_alternative<HttpNoResponse>(
        fixture.exchange({.method = "GET", .target = "/", .headers = {}, .body = ""}, {.timeout = 1s})));
    CHECK(!disconnected);
    CHECK(fixture.server().requestsInProgress() == 0);
}

using boost::asio::ip::tcp;

/// How a scripted server ends its connection.
enum class ConnectionEnd {
    Closed,
    Reset,
};

/// Accepts one connection, sends one of the given responses for each read, and closes or resets it after the last.
class ScriptedServer
{
public:
    ScriptedServer(boost::asio::io_context &context, std::vector<std::string> responses, ConnectionEnd end)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_socket(context)
        , m_resetTimer(context)
        , m_responses(std::move(responses))
        , m_end(end)
    {
        m_acceptor.async_accept(m_socket, [this](const boost::system::error_code &error) {
            if (!error) {
                respond();
            }
        });
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void respond()
    {
        m_socket.async_read_some(boost::asio::buffer(m_received),
                                 [this](const boost::system::error_code &error, std::size_t) {
                                     if (error || m_next == m_responses.size()) {
                                         return;
                                     }
                                     boost::asio::write(m_socket, boost::asio::buffer(m_responses[m_next++]));
                                     if (m_next == m_responses.size()) {
                                         endConnection();
                                     }
                                     respond();
                                 });
    }

    void endConnection()
    {
        if (m_end == ConnectionEnd::Closed) {
            m_socket.shutdown(tcp::socket::shutdown_both);
            return;
        }
        // A reset discards what the client has not read yet, so that the client gets time to read the response.
        m_resetTimer.expires_after(std::chrono::milliseconds(50));
        m_resetTimer.async_wait([this](const boost::system::error_code &) {
            m_socket.set_option(boost::asio::socket_base::linger(true, 0));
            m_socket.close();
        });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    boost::asio::steady_timer m_resetTimer;
    std::vector<std::string> m_responses;
    ConnectionEnd m_end;
    std::size_t m_next = 0;
    std::array<char, 4096> m_received{};
};

/// What the client's callback received for one request.
struct ObservedResponse
{
    unsigned status = 0;
    std::string body;
    bool complete = false;
    bool failed = false;
};

/// Sends `requests` requests, one after the other, to a server with these responses. Returns what was received for the
/// last request.
static ObservedResponse observeResponse(const std::vector<std::string> &responses,
                                        std::size_t requests = 1,
                                        ConnectionEnd end = ConnectionEnd::Closed)
{
    boost::asio::io_context context;
    ScriptedServer server(context, responses, end);
    HttpClient client(context);
    ObservedResponse observed;
    for (std::size_t request = 0; request < requests; ++request) {
        observed = {};
        const auto exchange =
            client.open(server.address(),
                        {.method = "GET", .target = "/", .headers = {{"X-Id", std::to_string(request)}}, .body = {}},
                        {.echo = HttpEcho{.name = "X-Id", .value = std::to_string(request)}},
                        [&](HttpStreamEvent event) {
                            std::visit(Overloaded{[&](const HttpResponseHead &head) { observed.status = head.status; },
                                                  [&](const HttpBodyPart &part) { observed.body += part.bytes; },
                                                  [&](HttpResponseEnd) { observed.complete = true; },
                                                  [&](const auto &) { observed.failed = true; }},
                                       event);
                        });
        while (!observed.complete && !observed.failed) {
            context.run_one();
        }
    }
    return observed;
}

TEST_CASE("a response is complete only at the end of its framing")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 0\r\n";
    CHECK(observeResponse({head + "Content-Length: 3\r\n\r\nabc"}).complete);
    CHECK(observeResponse({head + "Content-Length: 4\r\n\r\nabc"}).failed);
    CHECK(observeResponse({head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}).body == "abc");
    CHECK(observeResponse({head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}).failed);
    CHECK(observeResponse({head + "\r\nabc"}).complete);
    CHECK(observeResponse({"no response at all\r\n\r\n"}).failed);
}

/// Guards against a success with an empty or short body for a target that stopped while it wrote its head.
TEST_CASE("a response whose connection ends within its head is no response")
{
    for (const std::string framing : {"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 0\r\n" + framing + "X-Server-Seal: 3e1b.07\r\n\r\n";
        for (std::size_t length = 1; length < head.size(); ++length) {
            CAPTURE(head.substr(0, length));
            const ObservedResponse observed = observeResponse({head.substr(0, length)});
            CHECK(observed.failed);
            CHECK(!observed.complete);
            CHECK(observed.status == 0);
            CHECK(observed.body.empty());
        }
    }
}

TEST_CASE("a response without length is complete if its connection is closed and not if it is reset")
{
    const std::string response = "HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\nid: 1\ndata: a\n\n";
    const ObservedResponse closed = observeResponse({response});
    CHECK(closed.complete);
    CHECK(closed.body == "id: 1\ndata: a\n\n");
    const ObservedResponse reset = observeResponse({response}, 1, ConnectionEnd::Reset);
    CHECK(reset.failed);
    CHECK(reset.body == "id: 1\ndata: a\n\n");
}

TEST_CASE("interim responses and responses to earlier requests on the connection are skipped")
{
    const auto responseText = [](const std::string &id, const std::string &body) {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
               + body;
    };
    CHECK(observeResponse({"HTTP/1.1 103 Early Hints\r\n\r\n" + responseText("0", "abc")}).body == "abc");
    const ObservedResponse observed =
        observeResponse({responseText("0", "first"), responseText("0", "again") + responseText("1", "second")}, 2);
    CHECK(observed.body == "second");
    CHECK(observed.complete);
}

/// A repeated refusal of the same attempt is not told from its answer; the forwarder sends such a request on a new
/// connection.
TEST_CASE("a refusal that is written once more on a kept connection is not the response to the next request")
{
    const auto refusal = [](const std::string &id) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id
               + "\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy";
    };
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nran";
    const ObservedResponse observed = observeResponse({refusal("0"), refusal("0") + answer}, 2);
    CHECK(observed.status == 200);
    CHECK(observed.body == "ran");
    // Without the answer, nothing states that the request did not run.
    const ObservedResponse lost = observeResponse({refusal("0"), refusal("0")}, 2);
    CHECK(lost.failed);
    CHECK(lost.status == 0);
}

TEST_CASE("a response without the echo header fails the request on a reused connection")
{
    const std::string first = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 1\r\n\r\na";
    CHECK(observeResponse({first, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"}, 2).failed);
}

TEST_CASE("a request that arrives while connections are being closed is either answered or does not reach the handler")
{
    for (int steps = 0; steps < 12; ++steps) {
        bool handlerCalled = false;
        HttpFixture fixture([&](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
            handlerCalled = true;
            echo(std::move(request), std::move(responder));
        });
        tcp::socket socket(fixture.context());
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.server().port()});
        fixture.context().poll();
        const std::string request = "GET /late HTTP/1.1\r\nHost: a\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(request));
        for (int step = 0; step < steps; ++step) {
            // The posted empty handler stands for handlers of other connections that run in between.
            boost::asio::post(fixture.context(), [] {});
            fixture.context().poll_one();
        }
        fixture.server().closeConnections();
        std::string received;
        bool ended = false;
        std::array<char, 512> buffer{};
        while (!ended) {
            std::optional<std::size_t> count;
            socket.async_read_some(boost::asio::buffer(buffer),
                                   [&](const boost::system::error_code &error, std::size_t arrived) {
                                       ended = static_cast<bool>(error);
                                       count = arrived;
                                   });
            fixture.runUntil([&] { return count.has_value(); });
            received.append(buffer.data(), *count);
        }
        CAPTURE(steps);
        CHECK(handlerCalled == received.starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("a connection between two requests is closed at once however far its session has come")
{
    for (int steps = 0; steps < 12; ++steps) {
        HttpFixture fixture(echo, {.limits = {.idleTimeout = 1h}});
        tcp::socket socket(fixture.context());
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.server().port()});
        boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        for (int step = 0; step < steps; ++step) {
            fixture.context().poll_one();
        }
        fixture.server().closeConnections();
        bool closed = false;
        std::string received;
        boost::asio::async_read(socket,
                                boost::asio::dynamic_buffer(received),
                                [&](const boost::system::error_code &, std::size_t) { closed = true; });
        fixture.context().restart();
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        while (!closed && std::chrono::steady_clock::now() < end) {
            fixture.context().run_one_for(std::chrono::milliseconds(20));
        }
        CAPTURE(steps);
        CHECK(closed);
    }
}

/// Sends a request without a body on the connection.
static void writeRequest(tcp::socket &socket)
{
    boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
}

/// Everything that arrives on the connection until it is closed, or until a quiet period.
static std::string readAll(HttpFixture &fixture, tcp::socket &socket)
{
    std::string received;
    bool ended = false;
    boost::asio::async_read(socket,
                            boost::asio::dynamic_buffer(received),
                            [&](const boost::system::error_code &, std::size_t) { ended = true; });
    fixture.context().restart();
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
    while (!ended && std::chrono::steady_clock::now() < end) {
        fixture.context().run_one_for(std::chrono::milliseconds(20));
    }
    socket.close();
    fixture.context().poll();
    return received;
}

TEST_CASE("a new connection is not closed in a drain before its first request has arrived")
{
    HttpFixture fixture(echo);
    tcp::socket socket(fixture.context());
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.server().port()});
    fixture.context().poll();
    fixture.server().closeConnections();
    fixture.context().poll();
    writeRequest(socket);
    const std::string received = readAll(fixture, socket);
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.find("Connection: close") != std::string::npos);
}

TEST_CASE("a connection whose response has not announced its close takes one more request in a drain")
{
    std::unique_ptr<HttpResponder> stream;
    HttpFixture fixture([&](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
        if (stream == nullptr) {
            stream = std::move(responder);
            stream->startStream({});
        } else {
            echo(std::move(request), std::move(responder));
        }
    });
    tcp::socket socket(fixture.context());
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.server().port()});
    writeRequest(socket);
    fixture.runUntil([&] { return stream != nullptr; });
    fixture.server().announceClose();
    stream->finishStream();
    fixture.context().poll();
    writeRequest(socket);
    const std::string received = readAll(fixture, socket);
    CHECK(received.find("0\r\n\r\nHTTP/1.1 200 OK") != std::string::npos);
    CHECK(received.find("Connection: close") != std::string::npos);
}

TEST_CASE("a request whose bytes have arrived unread is answered when idle connections are closed")
{
    HttpFixture fixture(echo);
    tcp::socket socket(fixture.context());
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.server().port()});
    writeRequest(socket);
    std::array<char, 512> buffer{};
    bool answered = false;
    socket.async_read_some(boost::asio::buffer(buffer),
                           [&](const boost::system::error_code &, std::size_t) { answered = true; });
    fixture.runUntil([&] { return answered; });
    fixture.context().poll();
    writeRequest(socket);
    fixture.server().closeConnections();
    CHECK(readAll(fixture, socket).starts_with("HTTP/1.1 200"));
}

TEST_CASE("callers that do not receive their responses fill no more memory than a server allots to all of them")
{
    static constexpr std::size_t callers = 40;
    static constexpr std::size_t chunkSize = 64U << 10U;
    static constexpr std::size_t chunksPerCaller = 400;
    static constexpr std::size_t unsentLimit = 8U << 20U;
    std::vector<std::unique_ptr<HttpResponder>> streams;
    std::size_t closed = 0;
    HttpFixture fixture(
        [&](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
            if (request.target == "/echo") {
                echo(std::move(request), std::move(responder));
                return;
            }
            responder->startStream({});
            responder->onCallerDisconnected([&closed] { ++closed; });
            streams.push_back(std::move(responder));
        },
        {.unsentLimit = ByteCount(unsentLimit)});
    std::vector<tcp::socket> sockets;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        tcp::socket &socket = sockets.emplace_back(fixture.context());
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.server().port()});
        writeRequest(socket);
    }
    fixture.runUntil([&] { return streams.size() == callers; });
    std::size_t most = 0;
    for (std::size_t round = 0; round < chunksPerCaller; ++round) {
        for (const auto &stream : streams) {
            stream->writeChunk(std::string(chunkSize, 'a'));
        }
        most = std::max(most, fixture.server().unsentBytes().value());
        fixture.context().poll();
    }
    CHECK(most <= unsentLimit);
    CHECK(closed > 0);
    const HttpResult result = fixture.exchange({.method = "GET", .target = "/echo", .headers = {}, .body = ""});
    CHECK(std::holds_alternative<HttpResponse>(result));
}

TEST_CASE("a chunk size line or a trailer that is longer than any sound one is given up long before the body limit")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(24U << 10U, 'a');
    CHECK(observeResponse({head + "1;" + filler + "\r\nb\r\n0\r\n\r\n"}).failed);
    CHECK(observeResponse({head + "0\r\nX-Filler: " + filler + "\r\n\r\n"}).failed);
    CHECK(observeResponse({head + "1;name=value\r\nb\r\n0\r\nX-Trailer: a\r\n\r\n"}).body == "b");
}

#pragma once

#include "http/CallerConnections.h"
#include "http/CallerLimits.h"
#include "http/HttpMessages.h"
#include "http/HttpResponder.h"
#include "support/Variant.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Carawaymill {

struct HttpServerOptions
{
    /// IP number to listen on.
    std::string address = "127.0.0.1";
    /// 0 selects a free port; `HttpServer::port` returns it.
    std::uint16_t port = 0;
    CallerLimits limits;
    /// Further connections are closed as soon as they are accepted.
    std::size_t connectionLimit = 4096;
    /// Bytes of responses that callers have not received yet, over all connections. Beyond it, the connection with most
    /// of them is closed.
    ByteCount unsentLimit = ByteCount(32U << 20U);
    /// Shared by all listeners of a host, so that the requests of all of them stay within one limit. A listener without
    /// it has a limit of its own.
    std::shared_ptr<CallerConnections> connections = nullptr;
};

/// The server cannot listen on its address and port.
struct ListenFailure
{
    std::string reason;
};

/// Handles one request. The handler may keep the responder and send the response later.
using HttpHandler = std::function<void(HttpRequest request, std::unique_ptr<HttpResponder> responder)>;

/// HTTP/1.1 server on Asio and Beast. Runs in the thread that runs the `io_context`.
///
/// Oversized or malformed requests do not reach the handler. They are rejected with a 4xx response whose body is a
/// problem document in JSON. So are, with 503, requests that are evicted since the host holds too many bytes of
/// requests; see `CallerConnectionTable`.
class HttpServer
{
public:
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>, ListenFailure>
    create(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler);

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    [[nodiscard]] std::uint16_t port() const;
    /// Number of requests whose response is not complete yet, including those that the server itself rejects.
    [[nodiscard]] std::size_t requestsInProgress() const;
    /// Bytes of responses that are queued for callers, see `HttpServerOptions::unsentLimit`.
    [[nodiscard]] ByteCount unsentBytes() const;
    /// Takes effect with the next request on each connection.
    void setLimits(const CallerLimits &limits);
    /// From now on, each response announces that its connection is closed. Connections whose last response has not
    /// announced it stay open for one more request: it may be on its way.
    void announceClose();
    /// Closes connections that are idle after a response, and the others after their next response. New connections are
    /// still accepted, but they too are closed after their first response.
    void closeConnections();

private:
    class Implementation;
    explicit HttpServer(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill

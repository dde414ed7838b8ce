#pragma once

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
    /// 0 takes a free port; `HttpServer::port` tells which.
    std::uint16_t port = 0;
    CallerLimits limits;
    std::size_t connectionLimit = 4096;
};

/// The address cannot be listened on.
struct ListenFailure
{
    std::string reason;
};

/// Handles one request; the responder may be kept and answered later.
using HttpHandler = std::function<void(HttpRequest request, std::unique_ptr<HttpResponder> responder)>;

/// A thin HTTP/1.1 server over Asio and Beast. Runs in the thread that runs the context.
///
/// Oversized or malformed requests are answered with a 4xx problem before they reach the handler.
class HttpServer
{
public:
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>, ListenFailure>
    create(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler);

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    [[nodiscard]] std::uint16_t port() const;
    /// Requests that were handed to the handler and are not answered yet.
    [[nodiscard]] std::size_t requestsInProgress() const;
    /// Takes effect with the next request of each connection.
    void setLimits(const CallerLimits &limits);
    /// Closes idle connections, and every other one after its next answer; new ones are still accepted.
    void closeConnections();
    /// Closes the listener and idle connections; requests in progress are answered and their connections closed then.
    void drain();

private:
    class Implementation;
    explicit HttpServer(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill

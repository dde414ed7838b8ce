#pragma once

#include "http/HttpMessages.h"
#include "support/Time.h"
#include "support/Units.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Carawaymill {

struct HttpClientOptions
{
    /// A connection that has been idle longer than this is not reused: a device between client and server may have
    /// dropped its state.
    Duration idleTimeout = 5s;
    Duration connectTimeout = 1s;
    /// Maximum size of a response body.
    ByteCount bodyLimit = ByteCount(8U << 20U);
    /// Beyond this number, the longest idle connection of the address is closed.
    std::size_t idleConnectionsPerAddress = 64;
};

/// A request header that the server repeats in its response.
struct HttpEcho
{
    std::string name;
    std::string value;
};

struct HttpSendOptions
{
    /// Maximum time from the start of sending until the response is complete.
    Duration timeout = 5s;
    /// Maximum time for opening a connection, if it differs from that of the client.
    std::optional<Duration> connectTimeout = std::nullopt;
    /// Opens a new connection instead of reusing an idle one. The server may close an idle connection while the request
    /// is sent, which is reported as `HttpNoResponse`; a failure to open a new one is reported as `HttpNotSent`.
    bool freshConnection = false;
    /// Maximum size of the response body, if it differs from that of the client.
    std::optional<ByteCount> bodyLimit = std::nullopt;
    /// A response with another value of this header belongs to an earlier request on the connection and is skipped.
    std::optional<HttpEcho> echo = std::nullopt;
};

using HttpCallback = std::function<void(HttpResult result)>;
using HttpStreamCallback = std::function<void(HttpStreamEvent event)>;

/// A request in progress. Destroying it stops the callbacks and closes the connection unless the response was complete.
class HttpExchange
{
public:
    HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
    virtual ~HttpExchange() = default;
};

/// HTTP/1.1 client on Asio and Beast with a connection pool for each address.
///
/// A request is written at most once; this class never retries.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context, HttpClientOptions options = {});
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /// Sends to `address` (IP number and port, for example `127.0.0.1:8080`) and runs `callback` exactly once,
    /// never inside this call.
    void send(const std::string &address, const HttpRequest &request, HttpSendOptions options, HttpCallback callback);

    /// Sends and runs `callback` for each part of the response when it arrives, never inside this call.
    [[nodiscard]] std::unique_ptr<HttpExchange>
    open(const std::string &address, const HttpRequest &request, HttpSendOptions options, HttpStreamCallback callback);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill

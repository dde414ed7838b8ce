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
    /// An idle connection older than this is closed rather than used: something between the ends may have forgotten it.
    Duration idleLimit = 5s;
    Duration connectTimeout = 1s;
    ByteCount bodyLimit = ByteCount(8U << 20U);
    std::size_t idleConnectionsPerAddress = 64;
};

/// A header that a response repeats from its request.
struct HttpEcho
{
    std::string name;
    std::string value;
};

/// How one request is sent.
struct HttpSendOptions
{
    /// From the first byte sent until the whole answer is there.
    Duration timeout = 5s;
    /// Never uses a connection that was used before, so that a failure to connect is surely `HttpNotSent`.
    bool freshConnection = false;
    /// A response that repeats another value answers an earlier request of the connection and is skipped.
    std::optional<HttpEcho> echo = std::nullopt;
};

using HttpCallback = std::function<void(HttpResult result)>;
using HttpStreamCallback = std::function<void(HttpStreamEvent event)>;

/// A request under way. Destroying it closes its connection, unless the response was whole, and ends the callbacks.
class HttpExchange
{
public:
    HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
    virtual ~HttpExchange() = default;
};

/// A thin HTTP/1.1 client over Asio and Beast with one pool of connections for each address.
///
/// A request is written at most once: nothing is ever sent again by this class.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context, HttpClientOptions options = {});
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /// Sends to `address` (IP number and port, for example `127.0.0.1:8080`) and calls back exactly once.
    void send(const std::string &address, const HttpRequest &request, HttpSendOptions options, HttpCallback callback);

    /// Sends and calls back for each part of the response as it arrives, never inside this call.
    [[nodiscard]] std::unique_ptr<HttpExchange>
    open(const std::string &address, const HttpRequest &request, HttpSendOptions options, HttpStreamCallback callback);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill

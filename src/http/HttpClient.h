#pragma once

#include "http/HttpMessages.h"
#include "support/Time.h"
#include "support/Units.h"

#include <cstddef>
#include <functional>
#include <memory>
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

/// How one request is sent.
struct HttpSendOptions
{
    /// From the first byte sent until the whole answer is there.
    Duration timeout = 5s;
    /// Never uses a connection that was used before, so that a failure to connect is surely `HttpNotSent`.
    bool freshConnection = false;
};

using HttpCallback = std::function<void(HttpResult result)>;

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
    void send(const std::string &address, HttpRequest request, HttpSendOptions options, HttpCallback callback);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill

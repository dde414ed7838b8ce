#pragma once

#include "http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Carawaymill {

/// The idle connections of one client, by address.
class HttpConnectionPool
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    HttpConnectionPool(boost::asio::io_context &context, HttpClientOptions options);

    [[nodiscard]] boost::asio::io_context &context() { return m_context; }

    [[nodiscard]] const HttpClientOptions &options() const { return m_options; }

    /// Removes and returns a usable idle connection; std::nullopt if there is none.
    [[nodiscard]] std::optional<Socket> take(const std::string &address);

    /// Stores an idle connection for reuse, for at most `idleTimeout` and for less than `keepAlive`, the idle timeout
    /// that the server announced.
    void put(const std::string &address, Socket socket, std::optional<std::chrono::seconds> keepAlive);

private:
    struct IdleConnection
    {
        Socket socket;
        std::chrono::steady_clock::time_point expiresAt;
    };

    boost::asio::io_context &m_context;
    HttpClientOptions m_options;
    std::map<std::string, std::deque<IdleConnection>> m_idleConnections;
};

} // namespace Carawaymill

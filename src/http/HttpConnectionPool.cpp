#include "http/HttpConnectionPool.h"

namespace Carawaymill {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// A connection is reused only within this fraction of the server's idle timeout, so that the server does not close it
/// while a request is on the way.
static constexpr double usableKeepAliveFraction = 0.6;

HttpConnectionPool::HttpConnectionPool(boost::asio::io_context &context, HttpClientOptions options)
    : m_context(context)
    , m_options(options)
{
}

/// Whether the server has neither closed the connection nor sent unrequested bytes.
static bool isUsable(tcp::socket &socket)
{
    error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

std::optional<HttpConnectionPool::Socket> HttpConnectionPool::take(const std::string &address)
{
    auto &pool = m_idleConnections[address];
    while (!pool.empty()) {
        IdleConnection connection = std::move(pool.back());
        pool.pop_back();
        if (std::chrono::steady_clock::now() < connection.expiresAt && isUsable(connection.socket)) {
            return std::move(connection.socket);
        }
    }
    return std::nullopt;
}

void HttpConnectionPool::put(const std::string &address, Socket socket, std::optional<std::chrono::seconds> keepAlive)
{
    auto &pool = m_idleConnections[address];
    const auto now = std::chrono::steady_clock::now();
    while (!pool.empty() && (pool.front().expiresAt <= now || pool.size() >= m_options.idleConnectionsPerAddress)) {
        pool.pop_front();
    }
    Duration timeout = m_options.idleTimeout;
    if (keepAlive) {
        timeout = std::min(timeout, std::chrono::duration_cast<Duration>(*keepAlive * usableKeepAliveFraction));
    }
    pool.push_back({.socket = std::move(socket), .expiresAt = now + timeout});
}

} // namespace Carawaymill

#include "http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace Carawaymill {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// A connection that waits to be used again.
struct IdleConnection
{
    std::unique_ptr<boost::beast::tcp_stream> stream;
    std::chrono::steady_clock::time_point since;
};

/// The pools of idle connections and what all exchanges share.
class HttpClient::Implementation
{
public:
    Implementation(boost::asio::io_context &context, HttpClientOptions options)
        : m_context(context)
        , m_options(options)
    {
    }

    [[nodiscard]] boost::asio::io_context &context() { return m_context; }

    [[nodiscard]] const HttpClientOptions &options() const { return m_options; }

    /// A usable idle connection, or null.
    [[nodiscard]] std::unique_ptr<boost::beast::tcp_stream> takeIdle(const std::string &address)
    {
        auto &pool = m_idle[address];
        while (!pool.empty()) {
            IdleConnection connection = std::move(pool.back());
            pool.pop_back();
            const bool fresh = std::chrono::steady_clock::now() - connection.since < m_options.idleLimit;
            if (fresh && isQuiet(*connection.stream)) {
                return std::move(connection.stream);
            }
        }
        return nullptr;
    }

    void putIdle(const std::string &address, std::unique_ptr<boost::beast::tcp_stream> stream)
    {
        auto &pool = m_idle[address];
        if (pool.size() >= m_options.idleConnectionsPerAddress) {
            pool.pop_front();
        }
        stream->expires_never();
        pool.push_back({.stream = std::move(stream), .since = std::chrono::steady_clock::now()});
    }

private:
    /// Whether the other end has neither closed the connection nor sent what nobody asked for.
    [[nodiscard]] static bool isQuiet(boost::beast::tcp_stream &stream)
    {
        error_code error;
        char byte = 0;
        stream.socket().non_blocking(true, error);
        stream.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == boost::asio::error::would_block;
    }

    boost::asio::io_context &m_context;
    HttpClientOptions m_options;
    std::map<std::string, std::deque<IdleConnection>> m_idle;
};

namespace {

/// Splits `IP:port`.
std::optional<tcp::endpoint> parseEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    const unsigned long port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
    constexpr unsigned long largestPort = 65535;
    if (error || port == 0 || port > largestPort) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

HttpResponse toResponse(http::response<http::string_body> message)
{
    HttpResponse response{.status = message.result_int(), .headers = {}, .body = std::move(message.body())};
    for (const auto &field : message) {
        response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return response;
}

/// One request and its answer.
template<typename Pools>
class Exchange : public std::enable_shared_from_this<Exchange<Pools>>
{
public:
    Exchange(std::shared_ptr<Pools> pools,
             std::string address,
             HttpRequest request,
             HttpSendOptions options,
             HttpCallback callback)
        : m_pools(std::move(pools))
        , m_address(std::move(address))
        , m_options(options)
        , m_callback(std::move(callback))
        , m_message(http::string_to_verb(request.method), request.target, 11)
    {
        m_message.set(http::field::host, m_address);
        for (const auto &[name, value] : request.headers) {
            m_message.set(name, value);
        }
        m_message.body() = std::move(request.body);
        m_message.prepare_payload();
        m_parser.body_limit(m_pools->options().bodyLimit.value());
        if (m_message.method() == http::verb::head) {
            m_parser.skip(true);
        }
    }

    void start()
    {
        if (!m_options.freshConnection) {
            m_stream = m_pools->takeIdle(m_address);
        }
        if (m_stream) {
            write();
        } else {
            connect();
        }
    }

private:
    void connect()
    {
        const auto endpoint = parseEndpoint(m_address);
        m_stream = std::make_unique<boost::beast::tcp_stream>(m_pools->context());
        if (!endpoint) {
            // The callback must never run inside the call that sends.
            boost::asio::post(m_pools->context(), [self = this->shared_from_this()] { self->finish(HttpNotSent{}); });
            return;
        }
        m_stream->expires_after(m_pools->options().connectTimeout);
        m_stream->async_connect(*endpoint, [self = this->shared_from_this()](error_code error) {
            if (error) {
                self->finish(HttpNotSent{});
                return;
            }
            error_code ignored;
            self->m_stream->socket().set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        m_stream->expires_after(m_options.timeout);
        http::async_write(
            *m_stream, m_message, [self = this->shared_from_this()](error_code error, std::size_t written) {
                if (error) {
                    self->finish(written == 0 && self->m_options.freshConnection ? HttpResult(HttpNotSent{})
                                                                                 : HttpResult(HttpNoAnswer{}));
                    return;
                }
                self->read();
            });
    }

    void read()
    {
        http::async_read(
            *m_stream, m_buffer, m_parser, [self = this->shared_from_this()](error_code error, std::size_t) {
                if (error) {
                    self->finish(HttpNoAnswer{});
                    return;
                }
                if (self->m_parser.get().keep_alive()) {
                    self->m_pools->putIdle(self->m_address, std::move(self->m_stream));
                }
                self->finish(toResponse(self->m_parser.release()));
            });
    }

    void finish(HttpResult result)
    {
        m_stream.reset();
        m_callback(std::move(result));
    }

    std::shared_ptr<Pools> m_pools;
    std::string m_address;
    HttpSendOptions m_options;
    HttpCallback m_callback;
    http::request<http::string_body> m_message;
    http::response_parser<http::string_body> m_parser;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
};

} // namespace

HttpClient::HttpClient(boost::asio::io_context &context, HttpClientOptions options)
    : m_implementation(std::make_shared<Implementation>(context, options))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const std::string &address, HttpRequest request, HttpSendOptions options, HttpCallback callback)
{
    std::make_shared<Exchange<Implementation>>(
        m_implementation, address, std::move(request), options, std::move(callback))
        ->start();
}

} // namespace Carawaymill

#include "http/HttpClient.h"

#include "http/HttpConnectionPool.h"
#include "http/HttpResponseParser.h"
#include "support/HostPort.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <charconv>

namespace Carawaymill {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

static constexpr std::size_t readSize = 4096;
/// Bytes that may be received of heads, chunk framing and skipped responses. A server in trouble may send them without
/// end.
static constexpr std::size_t framingLimit = 256U << 10U;
/// Bytes that may wait for the rest of a head, a chunk's size line or a trailer.
static constexpr std::size_t unparsedLimit = 16U << 10U;
/// The framing of a body in small chunks is longer than the body.
static constexpr std::size_t framingPerBodyByte = 8;
/// Responses with a lower status are interim responses.
static constexpr unsigned firstFinalStatus = 200;

class HttpClient::Implementation : public HttpConnectionPool
{
public:
    using HttpConnectionPool::HttpConnectionPool;
};

namespace {

/// Reads `IP:port`.
std::optional<tcp::endpoint> parseEndpoint(const std::string &address)
{
    const auto split = splitHostPort(address);
    if (!split || split->port == 0) {
        return std::nullopt;
    }
    error_code error;
    const auto ip = boost::asio::ip::make_address(split->host, error);
    return error ? std::nullopt : std::optional(tcp::endpoint(ip, split->port));
}

std::string serialise(const HttpRequest &request, const std::string &address)
{
    std::string text = request.method;
    text.append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (headerValue(request.headers, "Host").empty()) {
        text.append("Host: ").append(address).append("\r\n");
    }
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    return text.append("\r\n").append(request.body);
}

/// The idle timeout that the server announces in `Keep-Alive: timeout=N`.
std::optional<std::chrono::seconds> announcedKeepAlive(const HttpHeaders &headers)
{
    static constexpr std::string_view parameter = "timeout=";
    const std::string value = headerValue(headers, "Keep-Alive");
    const auto found = value.find(parameter);
    if (found == std::string::npos) {
        return std::nullopt;
    }
    unsigned timeout = 0;
    (void)std::from_chars(value.data() + found + parameter.size(), value.data() + value.size(), timeout);
    return std::chrono::seconds(timeout);
}

/// One request and its response.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<HttpConnectionPool> pool,
             std::string address,
             const HttpRequest &request,
             HttpSendOptions options,
             HttpStreamCallback callback)
        : m_pool(std::move(pool))
        , m_address(std::move(address))
        , m_options(std::move(options))
        , m_callback(std::move(callback))
        , m_request(serialise(request, m_address))
        , m_headOnly(request.method == "HEAD")
        , m_socket(m_pool->context())
        , m_timer(m_pool->context())
    {
    }

    void start()
    {
        if (!m_options.freshConnection) {
            if (auto idle = m_pool->take(m_address)) {
                m_socket = std::move(*idle);
                m_reused = true;
                write();
                return;
            }
        }
        connect();
    }

    /// Ends the exchange without another callback.
    void cancel()
    {
        m_callback = nullptr;
        close();
    }

private:
    /// Restarts the timer. The exchange fails when the timer expires.
    void restartTimer(Duration timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->fail();
            }
        });
    }

    void connect()
    {
        const auto endpoint = parseEndpoint(m_address);
        if (!endpoint) {
            // The callback must not run inside the call to `send` or `open`.
            boost::asio::post(m_pool->context(), [self = shared_from_this()] { self->fail(); });
            return;
        }
        restartTimer(m_options.connectTimeout.value_or(m_pool->options().connectTimeout));
        m_socket.async_connect(*endpoint, [self = shared_from_this()](error_code error) {
            if (error || self->m_ended) {
                self->fail();
                return;
            }
            error_code ignored;
            self->m_socket.set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        restartTimer(m_options.timeout);
        m_parser.emplace();
        prepareParser();
        m_writeStarted = true;
        boost::asio::async_write(m_socket,
                                 boost::asio::buffer(m_request),
                                 [self = shared_from_this()](error_code error, std::size_t written) {
                                     self->m_requestWritten = !error;
                                     if (error && written == 0 && !self->m_reused) {
                                         self->m_writeStarted = false;
                                     }
                                     if (error) {
                                         self->fail();
                                     }
                                 });
        read();
    }

    void prepareParser()
    {
        m_parser->body_limit(m_options.bodyLimit.value_or(m_pool->options().bodyLimit).value());
        m_parser->skip(m_headOnly);
        m_headHandled = false;
    }

    void read()
    {
        m_socket.async_read_some(m_buffer.prepare(readSize),
                                 [self = shared_from_this()](error_code error, std::size_t received) {
                                     if (self->m_ended) {
                                         return;
                                     }
                                     self->m_buffer.commit(received);
                                     self->m_received += received;
                                     if (!error) {
                                         self->parse();
                                     } else if (error == boost::asio::error::eof) {
                                         self->connectionEnded();
                                     } else {
                                         self->fail();
                                     }
                                 });
    }

    void connectionEnded()
    {
        error_code error;
        if (m_parser->got_some()) {
            m_parser->put_eof(error);
        }
        if (m_parser->is_done() && !error && m_headHandled) {
            m_reusable = false;
            finish();
        } else {
            fail();
        }
    }

    void parse()
    {
        while (m_buffer.size() > 0 && !m_ended) {
            error_code error;
            m_buffer.consume(m_parser->put(m_buffer.data(), error));
            if (error && error != http::error::need_more) {
                fail();
                return;
            }
            if (m_parser->is_header_done() && !m_headHandled && !deliverHead()) {
                return;
            }
            if (m_parser->is_done()) {
                if (!m_skipping) {
                    deliverBody();
                    finish();
                    return;
                }
                beginNextResponse();
            } else if (error == http::error::need_more) {
                break;
            }
        }
        if (!m_ended) {
            deliverBody();
        }
        if (!m_ended
            && (m_buffer.size() > unparsedLimit
                || m_received - m_delivered > framingLimit + framingPerBodyByte * m_delivered)) {
            fail();
        }
        if (!m_ended) {
            read();
        }
    }

    /// Prepares for the next response after an interim response or one to an earlier request has ended.
    void beginNextResponse()
    {
        m_skipping = false;
        m_parser.emplace();
        prepareParser();
    }

    /// Returns false if the exchange has ended.
    bool deliverHead()
    {
        m_headHandled = true;
        HttpResponseHead &head = m_parser->head();
        m_skipping = head.status < firstFinalStatus;
        if (m_options.echo && !m_skipping) {
            const std::string value = headerValue(head.headers, m_options.echo->name);
            m_skipping = !value.empty() && value != m_options.echo->value;
            if (value.empty() && m_reused) {
                // Without the header, the response may belong to an earlier request on this connection.
                fail();
                return false;
            }
        }
        if (!m_skipping) {
            m_reusable = m_parser->keep_alive();
            m_keepAlive = announcedKeepAlive(head.headers);
            head.onNewConnection = !m_reused;
            notify(std::move(head));
        }
        return !m_ended;
    }

    void deliverBody()
    {
        if (!m_parser->hasBody()) {
            return;
        }
        std::string bytes = m_parser->takeBody();
        if (!m_skipping) {
            m_delivered += bytes.size();
            notify(HttpBodyPart{std::move(bytes)});
        }
    }

    void finish()
    {
        if (m_ended) {
            return;
        }
        m_ended = true;
        m_timer.cancel();
        if (m_reusable && m_requestWritten && m_buffer.size() == 0) {
            m_pool->put(m_address, std::move(m_socket), m_keepAlive);
        } else {
            error_code ignored;
            m_socket.close(ignored);
        }
        notify(HttpResponseEnd{});
    }

    void fail()
    {
        if (m_ended) {
            return;
        }
        close();
        if (m_writeStarted) {
            notify(HttpNoResponse{});
        } else {
            notify(HttpNotSent{});
        }
    }

    void close()
    {
        m_ended = true;
        m_timer.cancel();
        error_code ignored;
        m_socket.close(ignored);
    }

    void notify(HttpStreamEvent event)
    {
        if (!m_callback) {
            return;
        }
        // The callback may cancel the exchange, which clears m_callback; it must not be destroyed while it runs.
        HttpStreamCallback callback = std::exchange(m_callback, nullptr);
        callback(std::move(event));
        if (!m_ended) {
            m_callback = std::move(callback);
        }
    }

    std::shared_ptr<HttpConnectionPool> m_pool;
    std::string m_address;
    HttpSendOptions m_options;
    HttpStreamCallback m_callback;
    std::string m_request;
    bool m_headOnly = false;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<HttpResponseParser> m_parser;
    /// The idle timeout that the server announced.
    std::optional<std::chrono::seconds> m_keepAlive;
    /// Bytes that were received, and bytes of the body that were delivered.
    std::size_t m_received = 0;
    std::size_t m_delivered = 0;
    bool m_reused = false;
    bool m_writeStarted = false;
    bool m_requestWritten = false;
    bool m_headHandled = false;
    /// The current response is an interim response or belongs to an earlier request.
    bool m_skipping = false;
    /// The server keeps the connection open after the response.
    bool m_reusable = false;
    bool m_ended = false;
};

/// Cancels the exchange on destruction.
class ExchangeHandle final : public HttpExchange
{
public:
    explicit ExchangeHandle(std::shared_ptr<Exchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    ExchangeHandle(const ExchangeHandle &) = delete;
    ExchangeHandle &operator=(const ExchangeHandle &) = delete;

    ~ExchangeHandle() override { m_exchange->cancel(); }

private:
    std::shared_ptr<Exchange> m_exchange;
};

/// Collects the parts of a response and passes the complete response to the callback.
class ResponseCollector
{
public:
    explicit ResponseCollector(HttpCallback callback)
        : m_callback(std::move(callback))
    {
    }

    void handleEvent(HttpStreamEvent event)
    {
        std::visit(Overloaded{[this](HttpResponseHead &head) {
                                  m_response.status = head.status;
                                  m_response.headers = std::move(head.headers);
                              },
                              [this](const HttpBodyPart &part) { m_response.body += part.bytes; },
                              [this](HttpResponseEnd) { m_callback(std::move(m_response)); },
                              [this](HttpNotSent notSent) { m_callback(notSent); },
                              [this](HttpNoResponse noResponse) { m_callback(noResponse); }},
                   event);
    }

private:
    HttpCallback m_callback;
    HttpResponse m_response;
};

} // namespace

HttpClient::HttpClient(boost::asio::io_context &context, HttpClientOptions options)
    : m_implementation(std::make_shared<Implementation>(context, options))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const std::string &address,
                      const HttpRequest &request,
                      HttpSendOptions options,
                      HttpCallback callback)
{
    auto collector = std::make_shared<ResponseCollector>(std::move(callback));
    std::make_shared<Exchange>(m_implementation,
                               address,
                               request,
                               std::move(options),
                               [collector](HttpStreamEvent event) { collector->handleEvent(std::move(event)); })
        ->start();
}

std::unique_ptr<HttpExchange> HttpClient::open(const std::string &address,
                                               const HttpRequest &request,
                                               HttpSendOptions options,
                                               HttpStreamCallback callback)
{
    auto exchange =
        std::make_shared<Exchange>(m_implementation, address, request, std::move(options), std::move(callback));
    exchange->start();
    return std::make_unique<ExchangeHandle>(std::move(exchange));
}

} // namespace Carawaymill

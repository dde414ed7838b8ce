#include "http/HttpServer.h"

#include "http/HttpSession.h"
#include "support/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Carawaymill {

using boost::asio::ip::tcp;

/// Bytes of requests that a listener holds which shares no limit with others.
static constexpr ByteCount ownRequestLimit(32U << 20U);
/// Time until the next connection is accepted after a failure, for example for lack of descriptors.
static constexpr std::chrono::milliseconds acceptRetryDelay(100);

/// Accepts connections and owns the state that the sessions share.
class HttpServer::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler)
        : m_acceptor(context)
        , m_acceptRetry(context)
        , m_state(std::make_shared<HttpServerState>())
    {
        m_state->options = std::move(options);
        m_state->handler = std::move(handler);
        m_state->connections = m_state->options.connections;
        if (!m_state->connections) {
            m_state->connections =
                std::make_shared<CallerConnections>(CallerConnectionTableOptions{.memoryLimit = ownRequestLimit});
        }
        m_state->listener = m_state->connections->table.addListener();
    }

    [[nodiscard]] boost::system::error_code listen()
    {
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(m_state->options.address, error);
        if (error) {
            return error;
        }
        const tcp::endpoint endpoint(address, m_state->options.port);
        if (m_acceptor.open(endpoint.protocol(), error)) {
            return error;
        }
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        if (m_acceptor.bind(endpoint, error)) {
            return error;
        }
        m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
        return error;
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                self->acceptLater();
                return;
            }
            if (self->makeRoom()) {
                boost::system::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                HttpSession::start(std::move(socket), self->m_state);
            } else {
                ++self->m_state->connections->counts.turnedAway;
            }
            self->accept();
        });
    }

    void stop()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_acceptRetry.cancel();
        closeConnections();
        forEachSession([](HttpSession &session) { session.closeUnlessBusy(); });
    }

    void announceClose() { m_state->announcesClose = true; }

    void setLimits(const CallerLimits &limits) { m_state->options.limits = limits; }

    void closeConnections()
    {
        m_state->announcesClose = true;
        m_state->closesIdle = true;
        forEachSession([](HttpSession &session) { session.closeIfIdle(); });
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    [[nodiscard]] std::size_t requestsInProgress() const { return m_state->requestsInProgress; }

    [[nodiscard]] ByteCount unsentBytes() const { return ByteCount(m_state->unsentBytes); }

private:
    /// Whether there is room for one more connection, if need be in place of one that has stopped sending.
    [[nodiscard]] bool makeRoom()
    {
        if (m_state->sessions.size() < m_state->options.connectionLimit) {
            return true;
        }
        CallerConnections &connections = *m_state->connections;
        const auto replaced = connections.table.replaceable(m_state->listener, readBootClock());
        if (!replaced) {
            return false;
        }
        ++connections.counts.replaced;
        connections.sessions.at(*replaced)->close();
        return true;
    }

    void acceptLater()
    {
        m_acceptRetry.expires_after(acceptRetryDelay);
        m_acceptRetry.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error && self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    }

    template<typename Function>
    void forEachSession(Function function)
    {
        const auto sessions = m_state->sessions;
        for (HttpSession *session : sessions) {
            function(*session);
        }
    }

    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetry;
    std::shared_ptr<HttpServerState> m_state;
};

HttpServer::HttpServer(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

HttpServer::~HttpServer()
{
    m_implementation->stop();
}

Result<std::unique_ptr<HttpServer>, ListenFailure>
HttpServer::create(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler)
{
    auto implementation = std::make_shared<Implementation>(context, std::move(options), std::move(handler));
    if (const auto error = implementation->listen()) {
        return ListenFailure{.reason = error.message()};
    }
    implementation->accept();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

std::uint16_t HttpServer::port() const
{
    return m_implementation->port();
}

std::size_t HttpServer::requestsInProgress() const
{
    return m_implementation->requestsInProgress();
}

ByteCount HttpServer::unsentBytes() const
{
    return m_implementation->unsentBytes();
}

void HttpServer::setLimits(const CallerLimits &limits)
{
    m_implementation->setLimits(limits);
}

void HttpServer::closeConnections()
{
    m_implementation->closeConnections();
}

void HttpServer::announceClose()
{
    m_implementation->announceClose();
}

} // namespace Carawaymill

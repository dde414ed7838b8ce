#include "platformstandin/LinkProxy.h"

#include "support/HostPort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <array>
#include <set>
#include <stdexcept>
#include <vector>

namespace Carawaymill {

using boost::asio::ip::tcp;
using boost::system::error_code;

static constexpr int usualBacklog = 128;
/// Connections that fill the queue of a listener whose backlog is 0.
static constexpr std::size_t fillerConnections = 3;
static constexpr std::size_t bufferSize = 4096;

namespace {

/// One connection of a host to a target.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
    ProxiedConnection(tcp::socket host, tcp::socket target)
        : m_host(std::move(host))
        , m_target(std::move(target))
    {
    }

    void start()
    {
        carry(m_host, m_target, m_fromHost);
        carry(m_target, m_host, m_fromTarget);
    }

    void beSilent() { m_silent = true; }

    [[nodiscard]] bool isOpen() const { return m_host.is_open(); }

    void reset()
    {
        error_code ignored;
        m_host.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        close();
    }

    void close()
    {
        error_code ignored;
        m_host.close(ignored);
        m_target.close(ignored);
    }

private:
    using Buffer = std::array<char, bufferSize>;

    void carry(tcp::socket &from, tcp::socket &to, Buffer &buffer)
    {
        from.async_read_some(boost::asio::buffer(buffer),
                             [self = shared_from_this(), &from, &to, &buffer](error_code error, std::size_t size) {
                                 if (self->m_silent) {
                                     return;
                                 }
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 boost::asio::async_write(
                                     to,
                                     boost::asio::buffer(buffer, size),
                                     [self, &from, &to, &buffer](error_code writeError, std::size_t /*written*/) {
                                         if (writeError) {
                                             self->close();
                                         } else {
                                             self->carry(from, to, buffer);
                                         }
                                     });
                             });
    }

    tcp::socket m_host;
    tcp::socket m_target;
    Buffer m_fromHost{};
    Buffer m_fromTarget{};
    bool m_silent = false;
};

/// A free port of 127.0.0.1.
tcp::endpoint freeEndpoint(boost::asio::io_context &context)
{
    return tcp::acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)).local_endpoint();
}

} // namespace

class LinkProxy::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(boost::asio::io_context &context, const std::string &targetAddress)
        : m_context(context)
        , m_acceptor(context)
        // A port that was bound by its number stays bound while the acceptor does not listen.
        , m_endpoint(freeEndpoint(context))
    {
        const auto target = splitHostPort(targetAddress);
        if (!target) {
            throw std::invalid_argument("no address: " + targetAddress);
        }
        m_target = tcp::endpoint(boost::asio::ip::make_address(target->host), target->port);
        m_acceptor.open(m_endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(m_endpoint);
        m_acceptor.listen(usualBacklog);
    }

    [[nodiscard]] const tcp::endpoint &endpoint() const { return m_endpoint; }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket host) {
            if (error || self->m_state != LinkState::Open) {
                return;
            }
            tcp::socket target(self->m_context);
            error_code failure;
            // The target listens in this process, so that this does not block.
            target.connect(self->m_target, failure);
            if (!failure) {
                auto connection = std::make_shared<ProxiedConnection>(std::move(host), std::move(target));
                connection->start();
                std::erase_if(self->m_connections, [](const auto &known) { return !known->isOpen(); });
                self->m_connections.push_back(std::move(connection));
            }
            self->accept();
        });
    }

    void setState(LinkState state)
    {
        if (state == m_state) {
            return;
        }
        m_state = state;
        error_code ignored;
        m_acceptor.cancel(ignored);
        m_fillers.clear();
        if (state == LinkState::Open) {
            (void)::listen(m_acceptor.native_handle(), usualBacklog);
            closeConnections();
            accept();
        } else if (state == LinkState::Silent) {
            for (const auto &connection : m_connections) {
                connection->beSilent();
            }
            dropNew();
        } else {
            if (state == LinkState::Reset) {
                closeConnections();
            }
            (void)::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        }
    }

    void closeConnections()
    {
        for (const auto &connection : m_connections) {
            connection->reset();
        }
        m_connections.clear();
    }

private:
    /// Lets the queue of new connections overflow, so that the kernel drops their first packets.
    void dropNew()
    {
        (void)::listen(m_acceptor.native_handle(), 0);
        for (std::size_t count = 0; count < fillerConnections; ++count) {
            tcp::socket &filler = m_fillers.emplace_back(m_context);
            filler.async_connect(m_endpoint, [](error_code /*error*/) {});
        }
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    tcp::endpoint m_target;
    LinkState m_state = LinkState::Open;
    std::vector<std::shared_ptr<ProxiedConnection>> m_connections;
    std::vector<tcp::socket> m_fillers;
};

LinkProxy::LinkProxy(boost::asio::io_context &context, const std::string &targetAddress)
    : m_implementation(std::make_shared<Implementation>(context, targetAddress))
{
    m_implementation->accept();
}

LinkProxy::~LinkProxy()
{
    m_implementation->setState(LinkState::Reset);
}

std::string LinkProxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_implementation->endpoint().port());
}

void LinkProxy::setState(LinkState state)
{
    m_implementation->setState(state);
}

} // namespace Carawaymill

#include "platformstandin/EndlessTargetStandIn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace Carawaymill {

using boost::asio::ip::tcp;
using boost::system::error_code;

static constexpr std::size_t writeSize = 16384;
static constexpr int sendBufferSize = 65536;

class EndlessTargetStandIn::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(boost::asio::io_context &context, EndlessResponse response)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_begin(std::move(response.begin))
    {
        while (m_repeated.size() < writeSize) {
            m_repeated += response.repeated;
        }
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (error) {
                return;
            }
            // What is written must be close to what the other side has read.
            error_code ignored;
            socket.set_option(boost::asio::socket_base::send_buffer_size(sendBufferSize), ignored);
            auto connection = std::make_shared<Connection>(Connection{.socket = std::move(socket)});
            connection->socket.async_read_some(boost::asio::buffer(connection->received),
                                               [self, connection](error_code readError, std::size_t /*size*/) {
                                                   if (!readError) {
                                                       ++self->m_answered;
                                                       self->write(connection, self->m_begin);
                                                   }
                                               });
            self->accept();
        });
    }

    void stop()
    {
        error_code ignored;
        m_acceptor.close(ignored);
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    [[nodiscard]] std::size_t answered() const { return m_answered; }

    [[nodiscard]] std::size_t closed() const { return m_closed; }

    [[nodiscard]] ByteCount mostWritten() const { return ByteCount(m_mostWritten); }

private:
    struct Connection
    {
        tcp::socket socket;
        std::array<char, 4096> received{};
        std::size_t written = 0;
    };

    void write(const std::shared_ptr<Connection> &connection, const std::string &text)
    {
        boost::asio::async_write(connection->socket,
                                 boost::asio::buffer(text),
                                 [self = shared_from_this(), connection](error_code error, std::size_t written) {
                                     connection->written += written;
                                     self->m_mostWritten = std::max(self->m_mostWritten, connection->written);
                                     if (error) {
                                         ++self->m_closed;
                                     } else {
                                         self->write(connection, self->m_repeated);
                                     }
                                 });
    }

    tcp::acceptor m_acceptor;
    std::string m_begin;
    std::string m_repeated;
    std::size_t m_answered = 0;
    std::size_t m_closed = 0;
    std::size_t m_mostWritten = 0;
};

EndlessTargetStandIn::EndlessTargetStandIn(boost::asio::io_context &context, EndlessResponse response)
    : m_implementation(std::make_shared<Implementation>(context, std::move(response)))
{
    m_implementation->accept();
}

EndlessTargetStandIn::~EndlessTargetStandIn()
{
    m_implementation->stop();
}

std::string EndlessTargetStandIn::address() const
{
    return "127.0.0.1:" + std::to_string(m_implementation->port());
}

nlohmann::json EndlessTargetStandIn::record(const ServiceId &service, const FailureDomainId &failureDomain) const
{
    return {{"Service", service.value()},
            {"Address", address()},
            {"Zone", failureDomain.value()},
            {"Version", 1},
            {"Capacity", 64},
            {"State", "ready"},
            {"ColdRemainingMs", 0},
            {"Sequence", 1},
            {"born", 1}};
}

std::size_t EndlessTargetStandIn::answered() const
{
    return m_implementation->answered();
}

std::size_t EndlessTargetStandIn::closed() const
{
    return m_implementation->closed();
}

ByteCount EndlessTargetStandIn::mostWritten() const
{
    return m_implementation->mostWritten();
}

} // namespace Carawaymill

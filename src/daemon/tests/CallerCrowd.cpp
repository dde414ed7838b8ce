#include "daemon/tests/CallerCrowd.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace Carawaymill {

using boost::asio::ip::tcp;
using boost::system::error_code;

class CallerCrowd::Caller : public std::enable_shared_from_this<Caller>
{
public:
    Caller(boost::asio::io_context &context, std::shared_ptr<const CrowdRequest> request)
        : m_socket(context)
        , m_request(std::move(request))
    {
    }

    void start(const tcp::endpoint &host)
    {
        m_socket.async_connect(host, [self = shared_from_this()](error_code error) {
            if (error) {
                self->m_done = true;
                return;
            }
            self->read();
            self->write(self->m_request->begin);
        });
    }

    [[nodiscard]] bool done() const { return m_done; }

    [[nodiscard]] bool answered() const { return m_answered; }

private:
    void write(const std::string &bytes)
    {
        boost::asio::async_write(
            m_socket, boost::asio::buffer(bytes), [self = shared_from_this()](error_code error, std::size_t) {
                if (error) {
                    self->m_done = true;
                } else {
                    self->writeNext();
                }
            });
    }

    void writeNext()
    {
        if (m_blocks < m_request->repeats) {
            ++m_blocks;
            write(m_request->block);
        } else if (!m_endWritten && !m_request->end.empty()) {
            m_endWritten = true;
            write(m_request->end);
        } else {
            m_done = true;
        }
    }

    /// Discards what comes back, so that the host is never held up by a caller that does not read.
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_received),
                                 [self = shared_from_this()](error_code error, std::size_t received) {
                                     const std::string_view bytes(self->m_received.data(), received);
                                     self->m_answered = self->m_answered || bytes.starts_with("HTTP/1.1 200 ");
                                     if (error) {
                                         self->m_done = true;
                                     } else {
                                         self->read();
                                     }
                                 });
    }

    tcp::socket m_socket;
    std::shared_ptr<const CrowdRequest> m_request;
    std::array<char, 4096> m_received{};
    std::size_t m_blocks = 0;
    bool m_endWritten = false;
    bool m_done = false;
    bool m_answered = false;
};

CallerCrowd::CallerCrowd(boost::asio::io_context &context,
                         const tcp::endpoint &host,
                         std::size_t callers,
                         const CrowdRequest &request)
{
    const auto shared = std::make_shared<const CrowdRequest>(request);
    for (std::size_t caller = 0; caller < callers; ++caller) {
        m_callers.push_back(std::make_shared<Caller>(context, shared));
        m_callers.back()->start(host);
    }
}

std::size_t CallerCrowd::done() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_callers, [](const std::shared_ptr<Caller> &caller) { return caller->done(); }));
}

std::size_t CallerCrowd::answered() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_callers, [](const std::shared_ptr<Caller> &caller) { return caller->answered(); }));
}

} // namespace Carawaymill

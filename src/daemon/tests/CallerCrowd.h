#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Carawaymill {

/// What each caller of a crowd writes.
struct CrowdRequest
{
    std::string begin;
    /// Written `repeats` times after `begin`.
    std::string block;
    std::size_t repeats = 0;
    /// Written last.
    std::string end = {};
};

/// Callers that each open one connection, write a request whatever comes back, and then leave the connection open.
class CallerCrowd
{
public:
    CallerCrowd(boost::asio::io_context &context,
                const boost::asio::ip::tcp::endpoint &host,
                std::size_t callers,
                const CrowdRequest &request);

    /// Number of callers that have written everything or whose connection has been closed.
    [[nodiscard]] std::size_t done() const;

    /// Number of callers whose first response is a success.
    [[nodiscard]] std::size_t answered() const;

private:
    class Caller;

    std::vector<std::shared_ptr<Caller>> m_callers;
};

} // namespace Carawaymill

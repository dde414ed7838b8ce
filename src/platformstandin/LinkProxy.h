#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Carawaymill {

/// What a link between a host and a target carries.
enum class LinkState {
    Open,
    /// Open connections live on, new ones are refused.
    RefusingNew,
    /// Open connections carry nothing more, and the packets that would open new ones are dropped.
    Silent,
    /// Open connections are reset, new ones are refused.
    Reset,
};

/// Forwards TCP connections from a free port of 127.0.0.1 to a target, and plays the loss of that link.
class LinkProxy
{
public:
    LinkProxy(boost::asio::io_context &context, const std::string &targetAddress);
    LinkProxy(const LinkProxy &) = delete;
    LinkProxy &operator=(const LinkProxy &) = delete;
    ~LinkProxy();

    /// IP address and port.
    [[nodiscard]] std::string address() const;

    void setState(LinkState state);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill

#pragma once

#include "forwarding/RoutingConfiguration.h"
#include "support/Identifiers.h"
#include "support/Units.h"

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Carawaymill {

/// What an endless target answers to each request.
struct EndlessResponse
{
    std::string begin;
    /// Repeated until the other side closes the connection.
    std::string repeated;
};

/// Stand-in for a target in trouble, on a free port of 127.0.0.1, whose answers never end.
class EndlessTargetStandIn
{
public:
    EndlessTargetStandIn(boost::asio::io_context &context, EndlessResponse response);
    EndlessTargetStandIn(const EndlessTargetStandIn &) = delete;
    EndlessTargetStandIn &operator=(const EndlessTargetStandIn &) = delete;
    ~EndlessTargetStandIn();

    /// IP address and port.
    [[nodiscard]] std::string address() const;

    /// The target's record in the directory.
    [[nodiscard]] nlohmann::json record(const ServiceId &service, const FailureDomainId &failureDomain) const;

    /// Number of connections on which a request arrived, and of those that were closed since.
    [[nodiscard]] std::size_t answered() const;
    [[nodiscard]] std::size_t closed() const;
    /// The most bytes that were written to one connection.
    [[nodiscard]] ByteCount mostWritten() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill

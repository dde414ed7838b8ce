#pragma once

#include "http/HttpClient.h"
#include "platformstandin/TargetStandIn.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Carawaymill {

/// A caller's request and what it got.
struct CallerExchange
{
    std::string attempt;
    TimePoint sentAt;
    unsigned status = 0;
    std::string body;
    /// The response arrived completely.
    bool complete = false;
    /// The connection failed before the response was complete.
    bool failed = false;
    std::unique_ptr<HttpExchange> exchange;

    [[nodiscard]] bool ended() const { return complete || failed; }
};

/// Stand-in for the callers of the platform's published routes: each request goes over a connection of its own.
class CallerStandIn
{
public:
    explicit CallerStandIn(boost::asio::io_context &context)
        : m_client(context)
    {
    }

    /// Sends a request to the address of a host.
    std::shared_ptr<CallerExchange> call(const std::string &address, const std::string &path);

private:
    HttpClient m_client;
    std::uint64_t m_lastAttempt = 0;
};

/// The events of a stream with the ids from 1 to `count`, as target stand-ins write them.
[[nodiscard]] std::string streamEvents(EventCount count);

} // namespace Carawaymill

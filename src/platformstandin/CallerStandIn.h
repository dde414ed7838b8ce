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
    /// When the response was complete or the connection failed.
    TimePoint endedAt{};
    unsigned status = 0;
    std::string body;
    /// The response arrived completely.
    bool complete = false;
    /// The connection failed before the response was complete.
    bool failed = false;
    /// No connection to the host could be opened.
    bool notSent = false;
    std::unique_ptr<HttpExchange> exchange;

    [[nodiscard]] bool ended() const { return complete || failed; }
};

/// Whether a request goes over a connection of its own, or over an idle one of an earlier request if there is any.
enum class CallerConnection {
    New,
    Kept,
};

/// Stand-in for the callers of the platform's published routes.
class CallerStandIn
{
public:
    explicit CallerStandIn(boost::asio::io_context &context)
        : m_client(context)
    {
    }

    /// Sends a request to the address of a host.
    std::shared_ptr<CallerExchange>
    call(const std::string &address, const std::string &path, CallerConnection connection = CallerConnection::New);

private:
    HttpClient m_client;
    std::uint64_t m_lastAttempt = 0;
};

/// The events of a stream with the ids from 1 to `count`, as target stand-ins write them.
[[nodiscard]] std::string streamEvents(EventCount count);

} // namespace Carawaymill

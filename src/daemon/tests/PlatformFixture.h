#pragma once

#include "daemon/Daemon.h"
#include "platformstandin/CallerStandIn.h"
#include "platformstandin/PlatformStandIn.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Carawaymill {

/// Hosts that run real daemons on the stand-in of the platform, and their callers, all in one `io_context`.
class PlatformFixture
{
public:
    /// `ownLinks`: each host reaches the targets over links of its own; see `HostLinks`.
    /// `drainTimeout`: how long the daemons complete requests after drain().
    explicit PlatformFixture(std::size_t hosts = 1, bool ownLinks = false, Duration drainTimeout = 300s);

    [[nodiscard]] PlatformStandIn &platform() { return *m_platform; }

    /// The links of a host; only if the hosts have links of their own.
    [[nodiscard]] HostLinks &links(std::size_t host) { return *m_links.at(host); }

    /// Shuts a host down, as SIGTERM does. When it has stopped, nothing in this `io_context` goes on.
    void drain(std::size_t host) { m_daemons.at(host)->drain(); }

    /// Sends a caller's request to a host.
    std::shared_ptr<CallerExchange> call(std::size_t host, const std::string &path);

    /// Runs until the condition holds; false if that takes longer than `limit`.
    bool runUntil(const std::function<bool()> &condition, Duration limit);
    void runFor(Duration duration);

    /// Sends requests to the path until every host has answered one with status 200; false after `limit`.
    bool waitUntilServed(const std::string &path, Duration limit);

private:
    boost::asio::io_context m_context;
    std::unique_ptr<PlatformStandIn> m_platform;
    std::vector<HostLinks *> m_links;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    CallerStandIn m_callers;
};

} // namespace Carawaymill

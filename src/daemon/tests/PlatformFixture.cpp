#include "daemon/tests/PlatformFixture.h"

#include "support/BootClock.h"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include <unistd.h>

namespace Carawaymill {

using boost::asio::ip::tcp;

/// Enough for the retries of one test: with few requests, the ratio alone allows none.
static constexpr double retryBurst = 40;

/// A port that can be listened on. It is below the range from which the kernel takes the ports of outgoing connections:
/// a daemon that has started already would take one from there before the daemon that the port is meant for listens.
static std::uint16_t freePort(boost::asio::io_context &context)
{
    static constexpr std::uint16_t first = 12000;
    static constexpr std::uint16_t count = 16000;
    static auto offset = static_cast<std::uint16_t>(getpid() % count);
    for (std::uint16_t tried = 0; tried < count; ++tried) {
        offset = (offset + 1) % count;
        const tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), first + offset);
        tcp::acceptor acceptor(context, endpoint.protocol());
        boost::system::error_code failure;
        acceptor.bind(endpoint, failure);
        if (!failure) {
            return endpoint.port();
        }
    }
    FAIL("no free port");
    return 0;
}

static std::string freePeerAddress(boost::asio::io_context &context)
{
    return "tcp://127.0.0.1:" + std::to_string(freePort(context));
}

PlatformFixture::PlatformFixture(std::size_t hosts, bool ownLinks, Duration drainTimeout)
    : m_platform(std::make_unique<PlatformStandIn>(m_context))
    , m_callers(m_context)
{
    // Each request writes some log lines.
    if (std::getenv("GLOG_minloglevel") == nullptr) {
        FLAGS_minloglevel = google::GLOG_WARNING;
    }
    std::vector<ListedHost> listed;
    for (std::size_t index = 0; index < hosts; ++index) {
        listed.push_back({.host = HostId("host-" + std::to_string(index + 1)),
                          .state = HostListState::Live,
                          .peerAddress = freePeerAddress(m_context),
                          .failureDomain = FailureDomainId("zone-1"),
                          .region = RegionId("region-1")});
    }
    for (const ListedHost &self : listed) {
        DaemonSettings settings{.host = self.host, .failureDomain = self.failureDomain, .region = self.region};
        settings.peerAddress = self.peerAddress;
        settings.peerKey = "carawaymill-entry-hosts";
        settings.operatorTokenHash = std::string(64, '0');
        settings.keyValueService = m_platform->store().address();
        if (ownLinks) {
            settings.keyValueService = m_links.emplace_back(&m_platform->addHostLinks())->storeAddress();
        }
        std::ranges::copy_if(listed, std::back_inserter(settings.peers), [&](const ListedHost &other) {
            return other.host != self.host;
        });
        settings.leaseTimeToLive = 4s;
        settings.drainTimeout = drainTimeout;
        settings.forwarding = ForwardingSettings();
        settings.forwarding->retries.burst = retryBurst;
        settings.forwarding->relay.port = freePort(m_context);
        auto daemon = Daemon::create(m_context, std::move(settings));
        if (const auto *failure = std::get_if<StartFailure>(&daemon)) {
            FAIL(failure->reason);
        }
        m_daemons.push_back(std::get<std::unique_ptr<Daemon>>(std::move(daemon)));
    }
}

std::shared_ptr<CallerExchange> PlatformFixture::call(std::size_t host, const std::string &path)
{
    return m_callers.call("127.0.0.1:" + std::to_string(m_daemons.at(host)->callerPort()), path);
}

bool PlatformFixture::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint end = readBootClock() + limit;
    while (!condition()) {
        if (readBootClock() >= end) {
            return false;
        }
        m_context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

void PlatformFixture::runFor(Duration duration)
{
    (void)runUntil([] { return false; }, duration);
}

bool PlatformFixture::waitUntilServed(const std::string &path, Duration limit)
{
    const TimePoint end = readBootClock() + limit;
    for (std::size_t host = 0; host < m_daemons.size(); ++host) {
        bool served = false;
        while (!served && readBootClock() < end) {
            const auto attempt = call(host, path);
            (void)runUntil([&] { return attempt->ended(); }, end - readBootClock());
            served = attempt->complete && attempt->status == 200;
            runFor(50ms);
        }
        if (!served) {
            return false;
        }
    }
    return true;
}

} // namespace Carawaymill

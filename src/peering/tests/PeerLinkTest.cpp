#include "peering/PeerLink.h"
#include "peering/PeerFrame.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

using namespace Carawaymill;

/// Returns a port that was free at the time of the call.
static std::uint16_t freePort(boost::asio::io_context &context)
{
    using boost::asio::ip::tcp;
    const tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return acceptor.local_endpoint().port();
}

TEST_CASE("a frame with an HMAC of another key is rejected")
{
    const PeerFrame frame{.from = HostId("entry-1"), .message = {{"a", 1}}};
    const std::string bytes = packFrame(frame, "key");
    const auto read = unpackFrame(bytes, "key");
    REQUIRE(std::holds_alternative<PeerFrame>(read));
    CHECK(std::get<PeerFrame>(read).from == frame.from);
    CHECK(std::get<PeerFrame>(read).message == frame.message);
    CHECK(std::holds_alternative<PeerFrameAuthenticationFailure>(unpackFrame(bytes, "other key")));
    CHECK(std::holds_alternative<PeerFrameAuthenticationFailure>(unpackFrame("short", "key")));
}

TEST_CASE("a message is received by the peer that it was sent to")
{
    boost::asio::io_context context;
    const std::string address = "tcp://127.0.0.1:" + std::to_string(freePort(context));
    std::optional<nlohmann::json> got;
    auto listener = PeerLink::create(context,
                                     {.host = HostId("entry-1"), .listenAddress = address, .key = "key"},
                                     [&](const HostId &from, nlohmann::json message) {
                                         CHECK(from == HostId("entry-2"));
                                         got = std::move(message);
                                     });
    REQUIRE(std::holds_alternative<std::unique_ptr<PeerLink>>(listener));
    const std::string other = "tcp://127.0.0.1:" + std::to_string(freePort(context));
    auto sender = PeerLink::create(context,
                                   {.host = HostId("entry-2"), .listenAddress = other, .key = "key"},
                                   [](const HostId &, const nlohmann::json &) {});
    REQUIRE(std::holds_alternative<std::unique_ptr<PeerLink>>(sender));
    std::get<0>(sender)->send(HostId("entry-1"), address, "hello");
    const auto work = boost::asio::make_work_guard(context);
    while (!got) {
        context.run_one();
    }
    CHECK(*got == "hello");
}

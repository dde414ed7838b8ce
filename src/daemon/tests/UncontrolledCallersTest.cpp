#include "daemon/tests/CallerCrowd.h"
#include "platformstandin/CallerStandIn.h"
#include "platformstandin/DaemonProcess.h"
#include "platformstandin/EntryHostSettings.h"
#include "platformstandin/PlatformStandIn.h"
#include "support/BootClock.h"
#include "support/HostPort.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace Carawaymill;
using boost::asio::ip::tcp;

/// The memory of the machine and its descriptors, as the settings state them. Both are the bounds of these tests.
static constexpr std::uint64_t memoryMegabytes = 32;
static constexpr std::uint32_t descriptors = 128;
/// Callers that together hold, or open, more than the machine has if nothing limits them.
static constexpr std::size_t crowd = 40;
static constexpr std::size_t largeCrowd = 140;
/// Limits of the published configuration.
static constexpr std::size_t bodyLimit = 1U << 20U;
static constexpr std::size_t headLimit = 16384;

static constexpr Duration hangLimit = 60s;

/// One daemon as a process of its own, with limits lowered in its settings, on the stand-in of the platform.
class LimitedHost
{
public:
    LimitedHost()
        : m_folder(std::filesystem::temp_directory_path() / ("carawaymill-limited-host-" + std::to_string(getpid())))
        , m_platform(m_context)
        , m_callers(m_context)
    {
        std::filesystem::create_directories(m_folder);
        const auto process = static_cast<unsigned>(getpid());
        m_address = "127." + std::to_string(64 + process / 250 % 64) + "." + std::to_string(process % 250 + 1) + ".1";
        m_platform.publish({.routes = {{.prefix = "/plain/", .service = ServiceId("plain")}},
                            .services = {{.id = ServiceId("plain")}}});
        m_platform.addTarget({.id = TargetId("p1"),
                              .service = ServiceId("plain"),
                              .failureDomain = FailureDomainId("zone-1"),
                              .pace = 500ms});
        nlohmann::json settings = entryHostSettings({.address = m_address,
                                                     .failureDomain = FailureDomainId("zone-1"),
                                                     .storeAddress = m_platform.store().address()});
        settings["memoryMegabytes"] = memoryMegabytes;
        settings["connectionLimit"] = descriptors;
        const std::filesystem::path file = m_folder / "settings.json";
        std::ofstream(file) << settings;
        m_daemon = DaemonProcess::start(
            {.program = CARAWAYMILLD_PROGRAM, .settings = file.string(), .log = (m_folder / "log").string()});
        REQUIRE(m_daemon != nullptr);
        const TimePoint end = readBootClock() + hangLimit;
        while (!serves() && readBootClock() < end) {
            runFor(50ms);
        }
    }

    LimitedHost(const LimitedHost &) = delete;
    LimitedHost &operator=(const LimitedHost &) = delete;

    ~LimitedHost()
    {
        m_daemon.reset();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    /// Plays the crowd until each caller has written everything or has been closed, and checks the bounds and one
    /// ordinary request while the connections that are left stay open. Returns how many callers got a success.
    std::size_t play(std::size_t callers, const CrowdRequest &request)
    {
        const auto host = splitHostPort(callerAddressOf(m_address));
        const CallerCrowd playing(
            m_context, tcp::endpoint(boost::asio::ip::make_address(host->host), host->port), callers, request);
        const std::size_t mostDescriptors = runUntilDone(playing, callers);
        CHECK(serves());
        checkBounds(mostDescriptors);
        return playing.answered();
    }

private:
    /// Returns the most descriptors that the daemon had open meanwhile.
    std::size_t runUntilDone(const CallerCrowd &playing, std::size_t callers)
    {
        const TimePoint end = readBootClock() + hangLimit;
        std::size_t mostDescriptors = 0;
        while (playing.done() < callers && readBootClock() < end) {
            runFor(20ms);
            mostDescriptors = std::max(mostDescriptors, m_daemon->openDescriptors());
        }
        CHECK(playing.done() == callers);
        // Connections that stop sending are given a second.
        runFor(1500ms);
        return std::max(mostDescriptors, m_daemon->openDescriptors());
    }

    void checkBounds(std::size_t mostDescriptors)
    {
        CHECK(!m_daemon->hasEnded());
        CHECK(m_daemon->peakMemory().value() <= memoryMegabytes << 20U);
        CHECK(mostDescriptors <= descriptors);
        MESSAGE("peak memory: ", m_daemon->peakMemory().value() >> 10U, " KB, descriptors: ", mostDescriptors);
    }

    /// Whether an ordinary request is answered with success.
    bool serves()
    {
        const auto call = m_callers.call(callerAddressOf(m_address), "/plain/x");
        const TimePoint end = readBootClock() + hangLimit;
        while (!call->ended() && readBootClock() < end) {
            runFor(10ms);
        }
        return call->complete && call->status == 200;
    }

    void runFor(Duration duration)
    {
        const TimePoint end = readBootClock() + duration;
        while (readBootClock() < end) {
            m_context.run_one_for(std::chrono::milliseconds(5));
        }
    }

    std::filesystem::path m_folder;
    boost::asio::io_context m_context;
    PlatformStandIn m_platform;
    CallerStandIn m_callers;
    std::string m_address;
    std::unique_ptr<DaemonProcess> m_daemon;
};

static std::string head(const std::string &framing)
{
    return std::string("POST /plain/x HTTP/1.1\r\nHost: ") + publishedHost
           + "\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 20000\r\n" + framing + "\r\n\r\n";
}

static std::string chunkedHead()
{
    return head("Transfer-Encoding: chunked");
}

static std::string chunk(std::size_t bytes)
{
    std::ostringstream size;
    size << std::hex << bytes;
    return size.str() + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

static std::string repeated(const std::string &text, std::size_t times)
{
    std::string all;
    for (std::size_t count = 0; count < times; ++count) {
        all += text;
    }
    return all;
}

TEST_CASE("endless trailer fields behind a chunked body leave the host within its memory and serving")
{
    LimitedHost().play(crowd,
                       {.begin = chunkedHead() + chunk(1) + "0\r\n",
                        .block = repeated("Trailer-Field: " + std::string(900, 'x') + "\r\n", 64),
                        .repeats = 64});
}

TEST_CASE("endless trailer lines behind chunked bodies leave the host within its memory and serving")
{
    LimitedHost().play(
        crowd,
        {.begin = chunkedHead() + chunk(1) + "0\r\nTrailer-Field: ", .block = std::string(65536, 'x'), .repeats = 64});
}

TEST_CASE("endless chunk extensions leave the host within its memory and serving")
{
    LimitedHost().play(crowd, {.begin = chunkedHead() + "1;", .block = std::string(65536, 'x'), .repeats = 64});
}

TEST_CASE("announced bodies over the limit leave the host within its memory and serving")
{
    LimitedHost().play(crowd,
                       {.begin = head("Content-Length: 4000000000"), .block = std::string(65536, 'x'), .repeats = 64});
}

TEST_CASE("chunked bodies over the limit leave the host within its memory and serving")
{
    LimitedHost().play(crowd, {.begin = chunkedHead(), .block = chunk(65536), .repeats = 64});
}

TEST_CASE("single chunks over the limit leave the host within its memory and serving")
{
    LimitedHost().play(crowd,
                       {.begin = chunkedHead() + "10000000\r\n", .block = std::string(65536, 'x'), .repeats = 64});
}

TEST_CASE("bodies in large chunks that stop short of their end leave the host within its memory and serving")
{
    LimitedHost().play(crowd, {.begin = chunkedHead(), .block = chunk(65000), .repeats = bodyLimit / 65000});
}

TEST_CASE("bodies of an announced length that stop short of their end leave the host within its memory and serving")
{
    LimitedHost().play(crowd,
                       {.begin = head("Content-Length: " + std::to_string(bodyLimit)),
                        .block = std::string(65000, 'x'),
                        .repeats = bodyLimit / 65000});
}

TEST_CASE("bodies in one-byte chunks that stop short of their end leave the host within its memory and serving")
{
    LimitedHost().play(crowd, {.begin = chunkedHead(), .block = repeated(chunk(1), 10000), .repeats = 60});
}

TEST_CASE("many unfinished heads leave the host within its descriptors and serving")
{
    LimitedHost().play(largeCrowd,
                       {.begin = "POST /plain/x HTTP/1.1\r\nHost: x\r\nField: ",
                        .block = std::string(headLimit - 100, 'x'),
                        .repeats = 1});
}

TEST_CASE("many connections without a request leave the host within its descriptors and serving")
{
    LimitedHost().play(largeCrowd, {.begin = "", .block = "", .repeats = 0});
}

TEST_CASE("requests sent ahead on many connections leave the host within its limits and serving")
{
    LimitedHost().play(largeCrowd, {.begin = "", .block = head("Content-Length: 0"), .repeats = 1000});
}

TEST_CASE("a single request of the largest size is answered")
{
    const CrowdRequest request{.begin = head("Content-Length: " + std::to_string(bodyLimit)),
                               .block = std::string(bodyLimit / 64, 'x'),
                               .repeats = 64};
    CHECK(LimitedHost().play(1, request) == 1);
}

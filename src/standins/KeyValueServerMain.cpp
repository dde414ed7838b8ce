#include "http/HttpServer.h"
#include "standins/PlatformServer.h"
#include "standins/PlatformSettings.h"
#include "support/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <popt.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>

namespace Carawaymill {

static constexpr int exitUsage = 2;
static constexpr Duration tickInterval = 5ms;

struct CommandLine
{
    int port = 0;
    std::string settings = "{}";
};

/// The file's text, or nothing when it cannot be read.
static std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

static std::optional<CommandLine> readCommandLine(int argc, const char **argv)
{
    CommandLine commandLine;
    char *settingsPath = nullptr;
    const poptOption options[] = {
        {"port", 'p', POPT_ARG_INT, &commandLine.port, 0, "Port to listen on; 0 takes a free one", "PORT"},
        {"settings", 's', POPT_ARG_STRING, &settingsPath, 0, "Settings in JSON", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext(nullptr, argc, argv, options, 0), poptFreeContext);
    const int result = poptGetNextOpt(context.get());
    const std::unique_ptr<char, void (*)(void *)> path(settingsPath, std::free);
    if (result < -1 || poptPeekArg(context.get()) != nullptr || commandLine.port < 0 || commandLine.port > 65535) {
        std::cerr << "Usage: carawaymill-standin-platform [--port PORT] [--settings FILE]\n";
        return std::nullopt;
    }
    if (path) {
        auto text = readFile(path.get());
        if (!text) {
            std::cerr << "Settings: cannot read " << path.get() << '\n';
            return std::nullopt;
        }
        commandLine.settings = std::move(*text);
    }
    return commandLine;
}

static int serve(const CommandLine &commandLine, PlatformServerOptions options)
{
    boost::asio::io_context context;
    PlatformServer platform(std::move(options));
    auto listening =
        HttpServer::create(context,
                           HttpServerOptions{.port = static_cast<std::uint16_t>(commandLine.port),
                                             .limits = {.bodyBytes = platformBodyLimit}},
                           [&platform](const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
                               platform.handle(request, std::move(responder), readBootClock());
                           });
    if (const auto *failure = std::get_if<ListenFailure>(&listening)) {
        std::cerr << "Platform: cannot listen, " << failure->reason << '\n';
        return 1;
    }
    std::cout << "Platform: listening on port " << std::get<std::unique_ptr<HttpServer>>(listening)->port()
              << std::endl;

    boost::asio::steady_timer timer(context);
    std::function<void()> tickLater = [&] {
        timer.expires_after(tickInterval);
        timer.async_wait([&](const boost::system::error_code &error) {
            if (!error) {
                platform.tick(readBootClock());
                tickLater();
            }
        });
    };
    tickLater();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code & /*error*/, int /*signal*/) { context.stop(); });
    context.run();
    return 0;
}

} // namespace Carawaymill

int main(int argc, const char **argv)
{
    using namespace Carawaymill;
    const auto commandLine = readCommandLine(argc, argv);
    if (!commandLine) {
        return exitUsage;
    }
    auto options = readPlatformSettings(commandLine->settings);
    if (const auto *invalid = std::get_if<InvalidPlatformSettings>(&options)) {
        for (const DecodeFailure &fault : invalid->faults) {
            std::cerr << "Settings: " << fault.field << '\n';
        }
        return exitUsage;
    }
    return serve(*commandLine, std::get<PlatformServerOptions>(std::move(options)));
}

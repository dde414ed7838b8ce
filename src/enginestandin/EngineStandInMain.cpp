#include "enginestandin/EngineServer.h"
#include "http/HttpServer.h"
#include "support/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <popt.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace Carawaymill;

namespace {

/// How often the stand-in looks for finished batches.
constexpr std::chrono::microseconds advanceInterval(200);

struct CommandLine
{
    std::string settingsFile;
    int port = 0;
};

/// Reads the command line; exits when it is wrong.
CommandLine readCommandLine(int argc, const char **argv)
{
    char *settings = nullptr;
    int port = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &settings, 0, "JSON file with the engine's settings", "FILE"},
        {"port", 'p', POPT_ARG_INT, &port, 0, "port to listen on; 0 takes a free one", "PORT"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(nullptr, argc, argv, static_cast<const poptOption *>(options), 0);
    if (poptGetNextOpt(context) < -1 || settings == nullptr) {
        poptPrintUsage(context, stderr, 0);
        std::exit(EXIT_FAILURE);
    }
    CommandLine line{.settingsFile = settings, .port = port};
    std::free(settings);
    poptFreeContext(context);
    return line;
}

EngineCoreOptions readSettings(const std::string &file)
{
    std::ifstream stream(file);
    const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    const nlohmann::json json = nlohmann::json::parse(text);
    EngineCoreOptions options;
    options.target = json.at("target").get<TargetId>();
    options.held = json.value("held", std::vector<ModelLayers>());
    options.checksFencingNumber = json.value("checksFencingNumber", true);
    options.memory = ByteCount(json.value("memory", options.memory.value()));
    options.bytesPerLayer = ByteCount(json.value("bytesPerLayer", options.bytesPerLayer.value()));
    options.loadTimePerLayer = std::chrono::milliseconds(json.value("loadMillisecondsPerLayer", 20));
    options.timePerLayerToken = Duration(json.value("microsecondsPerLayerToken", 5));
    options.batchOverhead = Duration(json.value("batchOverheadMicroseconds", 200));
    options.poison = json.value("poison", std::string());
    options.keepRunLog = false;
    options.incarnation =
        IncarnationNumber(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()));
    return options;
}

/// Lets the engine run what is due, again and again.
void advanceForEver(boost::asio::steady_timer &timer, EngineServer &server)
{
    timer.expires_after(advanceInterval);
    timer.async_wait([&](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        server.advance(readBootClock());
        if (server.crashed()) {
            // As a real engine would: at once, with all its connections and streams.
            std::_Exit(EXIT_FAILURE);
        }
        advanceForEver(timer, server);
    });
}

} // namespace

int main(int argc, const char **argv)
{
    const CommandLine line = readCommandLine(argc, argv);
    boost::asio::io_context context;
    EngineServer engine(readSettings(line.settingsFile), [&](Duration delay, std::function<void()> callback) {
        auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
        timer->async_wait([timer, callback = std::move(callback)](const boost::system::error_code &) { callback(); });
    });
    auto server = HttpServer::create(
        context,
        {.port = static_cast<std::uint16_t>(line.port), .limits = {.bodyBytes = ByteCount(64U << 20U)}},
        [&](const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
            engine.handle(request, std::move(responder), readBootClock());
        });
    if (const auto *failure = std::get_if<ListenFailure>(&server)) {
        std::cerr << "Engine stand-in: cannot listen: " << failure->reason << ".\n";
        return EXIT_FAILURE;
    }
    std::cout << "Engine stand-in: listens on port " << std::get<0>(server)->port() << "." << std::endl;
    boost::asio::steady_timer timer(context);
    advanceForEver(timer, engine);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}

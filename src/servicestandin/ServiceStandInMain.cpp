#include "http/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>

using namespace Carawaymill;

/// A stand-in for a billing or booking service: answers every call with its count, and drops a few answers on request.
namespace {

/// Everything that the service remembers.
struct ServiceState
{
    std::uint64_t runs = 0;
    /// The next so many calls run, and their connections are closed without an answer.
    std::uint64_t answersToLose = 0;
};

HttpResponse jsonResponse(const nlohmann::json &body)
{
    return {.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

void answer(ServiceState &state, const HttpRequest &request, HttpResponder &responder)
{
    if (request.target == "/healthz") {
        responder.send(jsonResponse({{"healthy", true}}));
        return;
    }
    if (request.target == "/runs") {
        responder.send(jsonResponse({{"runs", state.runs}}));
        return;
    }
    if (request.target == "/faults") {
        state.answersToLose = nlohmann::json::parse(request.body, nullptr, false).value("loseAnswers", 0);
        responder.send(jsonResponse(nlohmann::json::object()));
        return;
    }
    ++state.runs;
    if (state.answersToLose > 0) {
        // The responder closes the connection when it is destroyed without an answer.
        --state.answersToLose;
        return;
    }
    responder.send(jsonResponse({{"run", state.runs}, {"path", request.target}}));
}

/// Reads the port from the command line; exits when it is wrong.
int readPort(int argc, const char **argv)
{
    int port = 0;
    const poptOption options[] = {
        {"port", 'p', POPT_ARG_INT, &port, 0, "port to listen on; 0 takes a free one", "PORT"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(nullptr, argc, argv, static_cast<const poptOption *>(options), 0);
    if (poptGetNextOpt(context) < -1) {
        poptPrintUsage(context, stderr, 0);
        std::exit(EXIT_FAILURE);
    }
    poptFreeContext(context);
    return port;
}

}

int main(int argc, const char **argv)
{
    ServiceState state;
    boost::asio::io_context context;
    auto server = HttpServer::create(context,
                                     {.port = static_cast<std::uint16_t>(readPort(argc, argv))},
                                     [&](const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
                                         answer(state, request, *responder);
                                     });
    if (const auto *failure = std::get_if<ListenFailure>(&server)) {
        std::cerr << "Service stand-in: cannot listen: " << failure->reason << ".\n";
        return EXIT_FAILURE;
    }
    std::cout << "Service stand-in: listens on port " << std::get<0>(server)->port() << "." << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}

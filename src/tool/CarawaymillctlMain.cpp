#include "http/HttpClient.h"
#include "tool/ToolCommands.h"
#include "tool/ToolOptions.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

using namespace Carawaymill;

/// Longer than a watch waits at the host.
static constexpr Duration answerTimeout = 40s;

static std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

static std::string makeEditId()
{
    static constexpr int idWords = 4;
    std::random_device device;
    std::string id;
    for (int word = 0; word < idWords; ++word) {
        std::array<char, 9> text{};
        (void)std::snprintf(text.data(), text.size(), "%08x", device());
        id += text.data();
    }
    return id;
}

static HttpResult sendAndWait(const ToolOptions &options, const std::string &token, HttpRequest request)
{
    boost::asio::io_context context;
    HttpClient client(context);
    HttpResult received = HttpNotSent{};
    if (!token.empty()) {
        request.headers.emplace_back("Authorization", "Bearer " + token);
    }
    const HttpSendOptions sendOptions{.timeout = answerTimeout, .freshConnection = true};
    client.send(options.host, request, sendOptions, [&](HttpResult result) {
        received = std::move(result);
        context.stop();
    });
    context.run();
    return received;
}

static int runTool(const ToolOptions &options)
{
    const std::optional<std::string> tokenText =
        options.tokenFile.empty() ? std::optional(std::string()) : readFile(options.tokenFile);
    if (!tokenText) {
        std::cerr << "carawaymillctl: cannot read " << options.tokenFile << "\n";
        return static_cast<int>(ToolExit::WrongUsage);
    }
    const std::string token = tokenText->substr(0, tokenText->find_last_not_of(" \r\n\t") + 1);
    ToolCommands commands(options,
                          {.send = [&](const HttpRequest &request) { return sendAndWait(options, token, request); },
                           .sleep = [](Duration duration) { std::this_thread::sleep_for(duration); },
                           .makeEditId = makeEditId,
                           .readFile = readFile,
                           .output = std::cout,
                           .errors = std::cerr});
    return static_cast<int>(commands.run());
}

int main(int argumentCount, char **arguments)
{
    const auto parsed = parseToolOptions({arguments, arguments + argumentCount});
    return std::visit(Overloaded{[](const ToolOptions &options) { return runTool(options); },
                                 [](const WrongUsage &wrong) {
                                     std::cerr << "carawaymillctl: " << wrong.message << "\n" << toolHelp();
                                     return static_cast<int>(ToolExit::WrongUsage);
                                 },
                                 [](const TextAsked &asked) {
                                     std::cout << asked.text;
                                     return static_cast<int>(ToolExit::Done);
                                 }},
                      parsed);
}

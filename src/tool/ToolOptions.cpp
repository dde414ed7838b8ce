#include "tool/ToolOptions.h"

#include <popt.h>

#include <array>
#include <memory>

namespace Carawaymill {

static constexpr int versionOption = 'V';
static constexpr int helpOption = 'h';
static constexpr const char *version = "carawaymillctl 0.1.0\n";

std::string toolHelp()
{
    return "Usage: carawaymillctl --host ADDRESS:PORT --token-file FILE [--json] [--edit-id ID] COMMAND\n"
           "\n"
           "Commands:\n"
           "  list [KIND]              records; KIND is organisation, entry, model or target\n"
           "  show KIND ID             one record and its revision\n"
           "  edit KIND ID PATCH       change a record by a JSON merge patch, or create it\n"
           "  apply FILE               make the records in FILE (a JSON array) what FILE says\n"
           "  delete KIND ID           delete a record\n"
           "  watch [REVISION]         print changes until interrupted\n"
           "  status                   hosts, targets and placement\n"
           "  in-force REVISION        on how many hosts a revision is in force\n"
           "  explain JOB              the decisions made for one job\n"
           "  explain-route --host-name NAME --path PATH [--key-holder ORGANISATION] [--prompt-tokens N]\n"
           "      [--expected-tokens N]\n"
           "                           where the host would route a request now, and why; sends no request.\n"
           "                           --host is the metrics listener, which needs no token\n"
           "  drain HOST               take a host out of service once its requests are finished\n"
           "  usage ORGANISATION       what an organisation has consumed\n"
           "  suspects [lift ID]       requests held back because they crash targets\n"
           "\n"
           "Exit codes:\n"
           "  0  done                  5  not found\n"
           "  2  wrong usage           6  conflict: somebody else has edited; nothing was written\n"
           "  3  host not reached      7  refused: the record is not valid; nothing was written\n"
           "  4  token not accepted    8  outcome unknown: repeat with the same --edit-id\n"
           "  9  accepted, but not in force on all hosts within 4 s\n"
           "  10 not done: the host or the key-value service cannot do it now\n";
}

namespace {

/// Values of the options as popt stores them; null or 0 if they are not given.
struct GivenOptions
{
    char *host = nullptr;
    char *tokenFile = nullptr;
    char *editId = nullptr;
    char *hostName = nullptr;
    char *path = nullptr;
    char *keyHolder = nullptr;
    char *promptTokens = nullptr;
    char *expectedTokens = nullptr;
    int json = 0;
};

} // namespace

static std::array<poptOption, 12> optionTable(GivenOptions &given)
{
    return {{
        {"host", 0, POPT_ARG_STRING, static_cast<void *>(&given.host), 0, "administration listener", "ADDRESS:PORT"},
        {"token-file", 0, POPT_ARG_STRING, static_cast<void *>(&given.tokenFile), 0, "file with the token", "FILE"},
        {"edit-id", 0, POPT_ARG_STRING, static_cast<void *>(&given.editId), 0, "id of a repeated edit", "ID"},
        {"host-name", 0, POPT_ARG_STRING, static_cast<void *>(&given.hostName), 0, "host name of a request", "NAME"},
        {"path", 0, POPT_ARG_STRING, static_cast<void *>(&given.path), 0, "path of a request", "PATH"},
        {"key-holder",
         0,
         POPT_ARG_STRING,
         static_cast<void *>(&given.keyHolder),
         0,
         "whose key it has",
         "ORGANISATION"},
        {"prompt-tokens", 0, POPT_ARG_STRING, static_cast<void *>(&given.promptTokens), 0, "its prompt", "N"},
        {"expected-tokens", 0, POPT_ARG_STRING, static_cast<void *>(&given.expectedTokens), 0, "its answer", "N"},
        {"json", 0, POPT_ARG_NONE, static_cast<void *>(&given.json), 0, "print JSON", nullptr},
        {"version", 'V', POPT_ARG_NONE, nullptr, versionOption, "print the version", nullptr},
        {"help", 'h', POPT_ARG_NONE, nullptr, helpOption, "print this help", nullptr},
        {nullptr, 0, 0, nullptr, 0, nullptr, nullptr},
    }};
}

/// Frees the texts.
static ToolOptions takeOptions(GivenOptions &given)
{
    const auto taken = [](char *&text) {
        const std::unique_ptr<char, decltype(&std::free)> owner(text, &std::free);
        return text == nullptr ? std::string() : std::string(text);
    };
    return {.host = taken(given.host),
            .tokenFile = taken(given.tokenFile),
            .editId = taken(given.editId),
            .json = given.json != 0,
            .hostName = taken(given.hostName),
            .path = taken(given.path),
            .keyHolder = taken(given.keyHolder),
            .promptTokens = taken(given.promptTokens),
            .expectedTokens = taken(given.expectedTokens),
            .command = {},
            .arguments = {}};
}

Result<ToolOptions, WrongUsage, TextAsked> parseToolOptions(const std::vector<std::string> &commandLine)
{
    GivenOptions given;
    const std::array<poptOption, 12> options = optionTable(given);
    std::vector<const char *> words;
    words.reserve(commandLine.size());
    for (const std::string &word : commandLine) {
        words.push_back(word.c_str());
    }
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("carawaymillctl", static_cast<int>(words.size()), words.data(), options.data(), 0),
        &poptFreeContext);
    int found = poptGetNextOpt(context.get());
    const int first = found;
    while (found > 0) {
        found = poptGetNextOpt(context.get());
    }
    ToolOptions parsed = takeOptions(given);
    if (first == helpOption) {
        return TextAsked{.text = toolHelp()};
    }
    if (first == versionOption) {
        return TextAsked{.text = version};
    }
    if (found < -1) {
        return WrongUsage{.message = std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(found)};
    }
    while (const char *word = poptGetArg(context.get())) {
        parsed.arguments.emplace_back(word);
    }
    if (parsed.arguments.empty()) {
        return WrongUsage{.message = "no command given"};
    }
    parsed.command = parsed.arguments.front();
    parsed.arguments.erase(parsed.arguments.begin());
    const bool needsToken = parsed.command != "explain-route";
    if (parsed.host.empty() || (needsToken && parsed.tokenFile.empty())) {
        return WrongUsage{.message = needsToken ? "--host and --token-file are needed" : "--host is needed"};
    }
    return parsed;
}

} // namespace Carawaymill

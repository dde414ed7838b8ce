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

Result<ToolOptions, WrongUsage, TextAsked> parseToolOptions(const std::vector<std::string> &commandLine)
{
    char *host = nullptr;
    char *tokenFile = nullptr;
    char *editId = nullptr;
    int json = 0;
    const std::array<poptOption, 7> options{{
        {"host", 0, POPT_ARG_STRING, static_cast<void *>(&host), 0, "administration listener", "ADDRESS:PORT"},
        {"token-file", 0, POPT_ARG_STRING, static_cast<void *>(&tokenFile), 0, "file with the token", "FILE"},
        {"edit-id", 0, POPT_ARG_STRING, static_cast<void *>(&editId), 0, "id of a repeated edit", "ID"},
        {"json", 0, POPT_ARG_NONE, static_cast<void *>(&json), 0, "print JSON", nullptr},
        {"version", 'V', POPT_ARG_NONE, nullptr, versionOption, "print the version", nullptr},
        {"help", 'h', POPT_ARG_NONE, nullptr, helpOption, "print this help", nullptr},
        {nullptr, 0, 0, nullptr, 0, nullptr, nullptr},
    }};
    std::vector<const char *> words;
    words.reserve(commandLine.size());
    for (const std::string &word : commandLine) {
        words.push_back(word.c_str());
    }
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("carawaymillctl", static_cast<int>(words.size()), words.data(), options.data(), 0),
        &poptFreeContext);
    const auto taken = [](char *&text) {
        const std::unique_ptr<char, decltype(&std::free)> owner(text, &std::free);
        return text == nullptr ? std::string() : std::string(text);
    };

    int found = poptGetNextOpt(context.get());
    const int first = found;
    while (found > 0) {
        found = poptGetNextOpt(context.get());
    }
    ToolOptions parsed{.host = taken(host), .tokenFile = taken(tokenFile), .editId = taken(editId), .json = json != 0};
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
    if (parsed.host.empty() || parsed.tokenFile.empty()) {
        return WrongUsage{.message = "--host and --token-file are needed"};
    }
    return parsed;
}

} // namespace Carawaymill

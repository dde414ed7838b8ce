#pragma once

#include "support/Variant.h"

#include <string>
#include <vector>

namespace Carawaymill {

/// How `carawaymillctl` was called.
struct ToolOptions
{
    /// Address of any entry host's administration listener, for example `10.0.0.4:7402`.
    std::string host;
    std::string tokenFile;
    /// Empty: the tool makes an id of its own.
    std::string editId;
    /// Print the hosts' JSON instead of text.
    bool json = false;
    /// The request that `explain-route` asks about; empty texts were not given.
    std::string hostName;
    std::string path;
    std::string keyHolder;
    std::string promptTokens;
    std::string expectedTokens;
    std::string command;
    std::vector<std::string> arguments;
};

/// The command line is wrong; `message` says why.
struct WrongUsage
{
    std::string message;
};

/// `--help` or `--version` was asked for: print the text and stop.
struct TextAsked
{
    std::string text;
};

[[nodiscard]] Result<ToolOptions, WrongUsage, TextAsked> parseToolOptions(const std::vector<std::string> &commandLine);

/// The commands, for people.
[[nodiscard]] std::string toolHelp();

} // namespace Carawaymill

#pragma once

#include "http/HttpMessages.h"
#include "support/Time.h"
#include "tool/ToolOptions.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace Carawaymill {

/// Exit codes of `carawaymillctl`; scripts may rely on them.
enum class ToolExit {
    Done = 0,
    WrongUsage = 2,
    NotReached = 3,
    Unauthorised = 4,
    NotFound = 5,
    /// Somebody else has edited the record; nothing was written.
    Conflict = 6,
    /// The record is not valid; nothing was written.
    Refused = 7,
    /// The request may have taken effect.
    OutcomeUnknown = 8,
    /// Accepted, but not in force on all hosts within the time stated for that.
    NotInForce = 9,
    /// The host or the key-value service cannot do it now.
    Unavailable = 10,
};

/// What the commands need from outside, so that they can be tested alone.
struct ToolSurroundings
{
    /// Sends one request to the host and waits for the result.
    std::function<HttpResult(const HttpRequest &)> send;
    std::function<void(Duration)> sleep;
    /// Makes an id for an edit.
    std::function<std::string()> makeEditId;
    /// The text of a file, or nothing.
    std::function<std::optional<std::string>(const std::string &)> readFile;
    std::ostream &output;
    std::ostream &errors;
};

/// The commands of `carawaymillctl`.
class ToolCommands
{
public:
    ToolCommands(ToolOptions options, ToolSurroundings surroundings)
        : m_options(std::move(options))
        , m_surroundings(std::move(surroundings))
    {
    }

    [[nodiscard]] ToolExit run();

private:
    struct Answer
    {
        ToolExit exit = ToolExit::Done;
        nlohmann::json body;
    };

    struct RecordName
    {
        std::string kind;
        std::string id;
    };

    ToolExit list();
    ToolExit show();
    ToolExit edit();
    ToolExit apply();
    ToolExit remove();
    ToolExit watch();
    ToolExit inForce();
    ToolExit suspects();
    ToolExit explainRoute();
    ToolExit printAnswer(const std::string &method, const std::string &path);
    ToolExit applyRecord(const nlohmann::json &wanted);
    ToolExit tellConflict(const Answer &answer);

    /// Writes a record, null deletes it. Repeats the same edit while its outcome is unknown.
    Answer write(const RecordName &name, const nlohmann::json &record, const nlohmann::json &revision);
    /// Says on how many hosts the revision is in force, and waits a little until it is on all.
    ToolExit awaitInForce(const nlohmann::json &revision);
    /// The record and its revision; null and 0 if it does not exist.
    Answer read(const RecordName &name);
    Answer
    request(const std::string &method, const std::string &path, const std::string &body = {}, HttpHeaders headers = {});
    ToolExit fail(const Answer &answer);
    ToolExit wrongUsage(const std::string &message);
    void print(const nlohmann::json &body, const std::string &text);

    ToolOptions m_options;
    ToolSurroundings m_surroundings;
};

} // namespace Carawaymill

#include "tool/ToolCommands.h"

#include "http/PercentEncoding.h"
#include "tool/RouteExplanationText.h"

#include <algorithm>
#include <array>
#include <map>
#include <ostream>

namespace Carawaymill {

static constexpr const char *pathPrefix = "/administration/v1/";
static constexpr int maxEditTries = 4;
static constexpr int maxConflictRetries = 3;
/// Every accepted edit is to be in force everywhere within this time.
static constexpr Duration inForceTarget = 4s;
static constexpr Duration inForceInterval = 200ms;
static constexpr Duration retryInterval = 500ms;
/// Records that others refer to are written first.
static constexpr std::array<std::string_view, 4> kindsInOrder{"organisation", "model", "target", "entry"};

static ToolExit exitFor(unsigned status)
{
    static const std::map<unsigned, ToolExit> exits{{400, ToolExit::WrongUsage},
                                                    {401, ToolExit::Unauthorised},
                                                    {404, ToolExit::NotFound},
                                                    {412, ToolExit::Conflict},
                                                    {422, ToolExit::Refused},
                                                    {428, ToolExit::WrongUsage},
                                                    {504, ToolExit::OutcomeUnknown}};
    if (status >= 200 && status < 300) {
        return ToolExit::Done;
    }
    const auto found = exits.find(status);
    return found == exits.end() ? ToolExit::Unavailable : found->second;
}

static std::string recordPath(const std::string &kind, const std::string &id)
{
    return "records/" + kind + "/" + id;
}

ToolExit ToolCommands::run()
{
    using Command = std::function<ToolExit()>;

    struct Entry
    {
        std::size_t fewest = 0;
        std::size_t most = 0;
        Command command;
    };

    const auto argument = [this] { return m_options.arguments.front(); };
    const std::map<std::string, Entry> commands{
        {"list", {0, 1, [this] { return list(); }}},
        {"show", {2, 2, [this] { return show(); }}},
        {"edit", {3, 3, [this] { return edit(); }}},
        {"apply", {1, 1, [this] { return apply(); }}},
        {"delete", {2, 2, [this] { return remove(); }}},
        {"watch", {0, 1, [this] { return watch(); }}},
        {"status", {0, 0, [this] { return printAnswer("GET", "status"); }}},
        {"in-force", {1, 1, [this] { return inForce(); }}},
        {"explain", {1, 1, [&] { return printAnswer("GET", "decisions/" + argument()); }}},
        {"explain-route", {0, 0, [this] { return explainRoute(); }}},
        {"drain", {1, 1, [&] { return printAnswer("POST", "drain/" + argument()); }}},
        {"usage", {1, 1, [&] { return printAnswer("GET", "usage/" + argument()); }}},
        {"suspects", {0, 2, [this] { return suspects(); }}},
    };
    const auto found = commands.find(m_options.command);
    if (found == commands.end()) {
        return wrongUsage("unknown command " + m_options.command);
    }
    const std::size_t given = m_options.arguments.size();
    if (given < found->second.fewest || given > found->second.most) {
        return wrongUsage("wrong number of arguments for " + m_options.command);
    }
    return found->second.command();
}

ToolExit ToolCommands::list()
{
    const std::string query = m_options.arguments.empty() ? "" : "?kind=" + m_options.arguments.front();
    const Answer answer = request("GET", "records" + query);
    if (answer.exit != ToolExit::Done) {
        return fail(answer);
    }
    std::string text;
    for (const nlohmann::json &item : answer.body.at("records")) {
        text += item.at("key").get<std::string>() + " (revision " + item.at("revision").dump() + ")\n";
    }
    print(answer.body, text);
    return ToolExit::Done;
}

ToolExit ToolCommands::show()
{
    const Answer answer = request("GET", recordPath(m_options.arguments.at(0), m_options.arguments.at(1)));
    if (answer.exit != ToolExit::Done) {
        return fail(answer);
    }
    print(answer.body,
          "Revision " + answer.body.at("revision").dump() + "\n" + answer.body.at("record").dump(2) + "\n");
    return ToolExit::Done;
}

ToolExit ToolCommands::edit()
{
    const RecordName name{.kind = m_options.arguments.at(0), .id = m_options.arguments.at(1)};
    const nlohmann::json patch = nlohmann::json::parse(m_options.arguments.at(2), nullptr, false);
    if (!patch.is_object()) {
        return wrongUsage("the patch is not a JSON object");
    }
    for (int attempt = 0;; ++attempt) {
        Answer present = read(name);
        if (present.exit != ToolExit::Done) {
            return fail(present);
        }
        nlohmann::json record = present.body.at("record");
        if (record.is_null()) {
            record = {{"kind", name.kind}, {"id", name.id}};
        }
        record.merge_patch(patch);
        const Answer written = write(name, record, present.body.at("revision"));
        if (written.exit == ToolExit::Done) {
            return awaitInForce(written.body.at("revision"));
        }
        if (written.exit != ToolExit::Conflict) {
            return fail(written);
        }
        // A named edit is a repeat, so that a conflict means that the operator must look at the record first.
        if (attempt == maxConflictRetries || !m_options.editId.empty()) {
            return tellConflict(written);
        }
        m_surroundings.errors << "Somebody else has edited the record; it is now at revision "
                              << written.body.at("revision") << ":\n"
                              << written.body.at("present").dump(2) << "\nThe patch is applied to this.\n";
    }
}

ToolExit ToolCommands::apply()
{
    const std::optional<std::string> text = m_surroundings.readFile(m_options.arguments.front());
    const nlohmann::json records = text ? nlohmann::json::parse(*text, nullptr, false) : nlohmann::json();
    const auto isRecord = [](const nlohmann::json &record) {
        return record.is_object() && record.value("kind", nlohmann::json()).is_string()
               && record.value("id", nlohmann::json()).is_string();
    };
    if (!records.is_array() || !std::ranges::all_of(records, isRecord)) {
        return wrongUsage(m_options.arguments.front() + " is not a JSON array of records");
    }
    if (!m_options.editId.empty()) {
        return wrongUsage("apply makes several edits and takes no --edit-id");
    }
    std::vector<nlohmann::json> ordered(records.begin(), records.end());
    std::ranges::stable_sort(ordered, {}, [](const nlohmann::json &record) {
        return std::ranges::find(kindsInOrder, record.at("kind").get<std::string>()) - kindsInOrder.begin();
    });
    for (const nlohmann::json &record : ordered) {
        if (const ToolExit exit = applyRecord(record); exit != ToolExit::Done) {
            return exit;
        }
    }
    return ToolExit::Done;
}

ToolExit ToolCommands::applyRecord(const nlohmann::json &wanted)
{
    const RecordName name{.kind = wanted.at("kind"), .id = wanted.at("id")};
    const Answer present = read(name);
    if (present.exit != ToolExit::Done) {
        return fail(present);
    }
    const std::string label = name.kind + " " + name.id + ": ";
    if (present.body.at("record") == wanted) {
        print({{"outcome", "unchanged"}, {"revision", present.body.at("revision")}}, label + "unchanged\n");
        return ToolExit::Done;
    }
    if (!m_options.json) {
        m_surroundings.output << label;
    }
    const Answer written = write(name, wanted, present.body.at("revision"));
    if (written.exit == ToolExit::Conflict) {
        return tellConflict(written);
    }
    return written.exit == ToolExit::Done ? awaitInForce(written.body.at("revision")) : fail(written);
}

ToolExit ToolCommands::remove()
{
    const RecordName name{.kind = m_options.arguments.at(0), .id = m_options.arguments.at(1)};
    const Answer present = read(name);
    if (present.exit != ToolExit::Done) {
        return fail(present);
    }
    const bool isRepeat = !m_options.editId.empty();
    if (present.body.at("record").is_null() && !isRepeat) {
        return fail({.exit = ToolExit::NotFound, .body = {{"detail", "There is nothing of this name."}}});
    }
    const Answer written = write(name, nullptr, present.body.at("revision"));
    if (written.exit == ToolExit::Conflict) {
        return tellConflict(written);
    }
    return written.exit == ToolExit::Done ? awaitInForce(written.body.at("revision")) : fail(written);
}

ToolExit ToolCommands::watch()
{
    std::string query = m_options.arguments.empty() ? "" : "?after=" + m_options.arguments.front();
    for (;;) {
        const Answer answer = request("GET", "watch" + query);
        if (answer.exit != ToolExit::Done) {
            return fail(answer);
        }
        std::string text;
        for (const nlohmann::json &change : answer.body.at("changes")) {
            text += change.at("key").get<std::string>() + " at revision " + change.at("revision").dump()
                    + (change.at("deleted").get<bool>() ? " deleted\n" : "\n");
        }
        if (!text.empty()) {
            print(answer.body, text);
            m_surroundings.output.flush();
        }
        query = "?after=" + answer.body.at("revision").dump();
    }
}

ToolExit ToolCommands::inForce()
{
    const Answer answer = request("GET", "in-force/" + m_options.arguments.front());
    return answer.exit == ToolExit::Done ? awaitInForce(answer.body.at("revision")) : fail(answer);
}

ToolExit ToolCommands::suspects()
{
    if (m_options.arguments.empty()) {
        return printAnswer("GET", "suspects");
    }
    if (m_options.arguments.front() != "lift" || m_options.arguments.size() != 2) {
        return wrongUsage("suspects takes nothing, or: lift ID");
    }
    return printAnswer("DELETE", "suspects/" + m_options.arguments.at(1));
}

ToolExit ToolCommands::explainRoute()
{
    if (m_options.hostName.empty() || m_options.path.empty()) {
        return wrongUsage("explain-route needs --host-name and --path");
    }
    std::string query = "hostName=" + percentEncoded(m_options.hostName) + "&path=" + percentEncoded(m_options.path);
    const auto add = [&query](const char *name, const std::string &value) {
        if (!value.empty()) {
            query.append("&").append(name).append("=").append(percentEncoded(value));
        }
    };
    add("keyHolder", m_options.keyHolder);
    add("promptTokens", m_options.promptTokens);
    add("expectedTokens", m_options.expectedTokens);
    const Answer answer = request("GET", "explain-route?" + query);
    if (answer.exit != ToolExit::Done) {
        m_surroundings.errors << excludedText(answer.body);
        return fail(answer);
    }
    print(answer.body, routeExplanationText(answer.body));
    return ToolExit::Done;
}

ToolExit ToolCommands::printAnswer(const std::string &method, const std::string &path)
{
    const Answer answer = request(method, path);
    if (answer.exit != ToolExit::Done) {
        return fail(answer);
    }
    print(answer.body, answer.body.dump(2) + "\n");
    return ToolExit::Done;
}

ToolCommands::Answer
ToolCommands::write(const RecordName &name, const nlohmann::json &record, const nlohmann::json &revision)
{
    const std::string editId = m_options.editId.empty() ? m_surroundings.makeEditId() : m_options.editId;
    const HttpHeaders headers{{"If-Match", revision.dump()}, {"Edit-Id", editId}};
    const std::string method = record.is_null() ? "DELETE" : "PUT";
    const std::string body = record.is_null() ? "" : record.dump();
    Answer answer;
    bool isUncertain = false;
    for (int attempt = 0; attempt < maxEditTries; ++attempt) {
        answer = request(method, recordPath(name.kind, name.id), body, headers);
        isUncertain = isUncertain || answer.exit == ToolExit::OutcomeUnknown;
        if (answer.exit != ToolExit::OutcomeUnknown && answer.exit != ToolExit::NotReached
            && answer.exit != ToolExit::Unavailable) {
            return answer;
        }
        m_surroundings.sleep(retryInterval);
    }
    if (isUncertain) {
        answer.exit = ToolExit::OutcomeUnknown;
        m_surroundings.errors << "Repeat the command with --edit-id " << editId << "\n";
    }
    return answer;
}

ToolExit ToolCommands::awaitInForce(const nlohmann::json &revision)
{
    nlohmann::json body;
    for (Duration waited{};; waited += inForceInterval) {
        const Answer answer = request("GET", "in-force/" + revision.dump());
        // Hosts are null while the asked host does not know the others yet.
        if (answer.exit == ToolExit::Done && answer.body.at("hosts").is_number()) {
            body = answer.body;
        }
        const bool isInForce = !body.is_null() && body.at("confirmed") == body.at("hosts");
        if (isInForce || waited >= inForceTarget) {
            print({{"outcome", "accepted"}, {"revision", revision}, {"inForce", body}},
                  "Accepted at revision " + revision.dump() + ", "
                      + (body.is_null() ? std::string("not known where it is in force")
                                        : "in force on " + body.at("confirmed").dump() + " of "
                                              + body.at("hosts").dump() + " hosts")
                      + "\n");
            return isInForce ? ToolExit::Done : ToolExit::NotInForce;
        }
        m_surroundings.sleep(inForceInterval);
    }
}

ToolCommands::Answer ToolCommands::read(const RecordName &name)
{
    Answer answer = request("GET", recordPath(name.kind, name.id));
    if (answer.exit == ToolExit::NotFound) {
        return {.exit = ToolExit::Done, .body = {{"record", nullptr}, {"revision", 0}}};
    }
    return answer;
}

ToolCommands::Answer
ToolCommands::request(const std::string &method, const std::string &path, const std::string &body, HttpHeaders headers)
{
    const HttpRequest request{
        .method = method, .target = pathPrefix + path, .headers = std::move(headers), .body = body};
    const HttpResult result = m_surroundings.send(request);
    return std::visit(
        Overloaded{[](const HttpResponse &response) {
                       nlohmann::json parsed = nlohmann::json::parse(response.body, nullptr, false);
                       if (!parsed.is_object()) {
                           return Answer{.exit = ToolExit::Unavailable, .body = {{"detail", "The answer is no JSON."}}};
                       }
                       return Answer{.exit = exitFor(response.status), .body = std::move(parsed)};
                   },
                   [](const HttpNotSent &) {
                       return Answer{.exit = ToolExit::NotReached, .body = {{"detail", "The host is not reached."}}};
                   },
                   [](const HttpNoResponse &) {
                       return Answer{.exit = ToolExit::OutcomeUnknown, .body = {{"detail", "No answer came."}}};
                   }},
        result);
}

ToolExit ToolCommands::tellConflict(const Answer &answer)
{
    m_surroundings.errors << "Somebody else has edited the record; nothing was written. It is now at revision "
                          << answer.body.value("revision", nlohmann::json()).dump() << ":\n"
                          << answer.body.value("present", nlohmann::json()).dump(2) << "\n";
    return ToolExit::Conflict;
}

ToolExit ToolCommands::fail(const Answer &answer)
{
    m_surroundings.errors << "carawaymillctl: " << answer.body.value("detail", "failed") << "\n";
    return answer.exit;
}

ToolExit ToolCommands::wrongUsage(const std::string &message)
{
    m_surroundings.errors << "carawaymillctl: " << message << "\n" << toolHelp();
    return ToolExit::WrongUsage;
}

void ToolCommands::print(const nlohmann::json &body, const std::string &text)
{
    if (m_options.json) {
        m_surroundings.output << body.dump() << "\n";
    } else {
        m_surroundings.output << text;
    }
}

} // namespace Carawaymill

#include "tool/ToolCommands.h"

#include <doctest/doctest.h>

#include <deque>
#include <optional>
#include <sstream>

using namespace Carawaymill;

namespace {

/// Runs a command against answers prepared in order.
struct Run
{
    std::deque<HttpResult> answers;
    std::vector<HttpRequest> sent;
    std::ostringstream output;
    std::ostringstream errors;
    Duration slept{};
    std::string file;

    ToolExit run(const std::string &command, std::vector<std::string> arguments, const std::string &editId = "")
    {
        ToolCommands commands({.editId = editId, .command = command, .arguments = std::move(arguments)},
                              {.send =
                                   [this](const HttpRequest &request) {
                                       sent.push_back(request);
                                       HttpResult answer =
                                           answers.empty() ? HttpResult(HttpNotSent{}) : answers.front();
                                       if (answers.size() > 1) {
                                           answers.pop_front();
                                       }
                                       return answer;
                                   },
                               .sleep = [this](Duration duration) { slept += duration; },
                               .makeEditId = [] { return std::string("made"); },
                               .readFile = [this](const std::string &) { return std::optional(file); },
                               .output = output,
                               .errors = errors});
        return commands.run();
    }
};

HttpResponse ok(const std::string &body)
{
    return {.status = 200, .body = body};
}

const HttpResponse present = ok(R"({"revision":7,"record":{"kind":"model","id":"m","layers":5}})");
const HttpResponse accepted = ok(R"({"outcome":"accepted","revision":8})");
const HttpResponse inForceEverywhere = ok(R"({"revision":8,"confirmed":4,"hosts":4})");

} // namespace

TEST_CASE("an edit patches the record, and says on how many hosts it is in force")
{
    Run run{.answers = {present, accepted, ok(R"({"revision":8,"confirmed":3,"hosts":4})"), inForceEverywhere}};
    CHECK(run.run("edit", {"model", "m", R"({"layers":6})"}) == ToolExit::Done);
    CHECK(run.output.str() == "Accepted at revision 8, in force on 4 of 4 hosts\n");
    CHECK(nlohmann::json::parse(run.sent.at(1).body).at("layers") == 6);
    CHECK(headerValue(run.sent.at(1).headers, "If-Match") == "7");
}

TEST_CASE("a conflict is shown, and the patch is applied to the present state")
{
    const HttpResponse conflict{.status = 412, .body = R"({"revision":9,"present":{"layers":77}})"};
    Run run{.answers = {present, conflict, present, accepted, inForceEverywhere}};
    CHECK(run.run("edit", {"model", "m", R"({"layers":6})"}) == ToolExit::Done);
    CHECK(run.errors.str().find("77") != std::string::npos);

    Run deletion{.answers = {present, conflict}};
    CHECK(deletion.run("delete", {"model", "m"}) == ToolExit::Conflict);
    CHECK(deletion.sent.size() == 2);
}

TEST_CASE("an edit without an answer is repeated with the same id, and never reported as accepted")
{
    Run run{.answers = {present, HttpNoResponse{}, HttpNoResponse{}, accepted, inForceEverywhere}};
    CHECK(run.run("edit", {"model", "m", R"({"layers":6})"}) == ToolExit::Done);
    for (std::size_t index = 1; index <= 3; ++index) {
        CHECK(headerValue(run.sent.at(index).headers, "Edit-Id") == "made");
    }
    Run lost{.answers = {present, HttpNoResponse{}, HttpNotSent{}}};
    CHECK(lost.run("edit", {"model", "m", R"({"layers":6})"}) == ToolExit::OutcomeUnknown);
    CHECK(lost.errors.str().find("--edit-id made") != std::string::npos);
    CHECK(lost.output.str().empty());
}

TEST_CASE("an edit that is not in force everywhere in time is told as such")
{
    Run run{.answers = {present, accepted, ok(R"({"revision":8,"confirmed":3,"hosts":4})")}};
    CHECK(run.run("edit", {"model", "m", R"({"layers":6})"}) == ToolExit::NotInForce);
    CHECK(run.output.str() == "Accepted at revision 8, in force on 3 of 4 hosts\n");
    CHECK(run.slept == Duration(4s));
}

TEST_CASE("apply writes what differs, what others refer to first")
{
    Run run{.answers = {present, present, accepted, inForceEverywhere}};
    run.file = R"([{"kind":"entry","id":"e"},{"kind":"model","id":"m","layers":5}])";
    CHECK(run.run("apply", {"file"}) == ToolExit::Done);
    CHECK(run.sent.front().target == "/administration/v1/records/model/m");
    CHECK(run.output.str().starts_with("model m: unchanged\nentry e: Accepted"));
    run.file = "[1]";
    CHECK(run.run("apply", {"file"}) == ToolExit::WrongUsage);
}

TEST_CASE("the command line is checked")
{
    const auto parsed =
        parseToolOptions({"carawaymillctl", "--host", "127.0.0.1:1", "--token-file", "f", "--json", "list"});
    REQUIRE(std::holds_alternative<ToolOptions>(parsed));
    CHECK(std::get<ToolOptions>(parsed).json);
    CHECK(std::get<ToolOptions>(parsed).command == "list");
    CHECK(std::holds_alternative<WrongUsage>(parseToolOptions({"carawaymillctl", "--hosst", "x", "list"})));
    CHECK(std::holds_alternative<WrongUsage>(parseToolOptions({"carawaymillctl", "list"})));
    CHECK(std::holds_alternative<TextAsked>(parseToolOptions({"carawaymillctl", "--help"})));
    Run run;
    CHECK(run.run("show", {"model"}) == ToolExit::WrongUsage);
    CHECK(run.run("status", {}) == ToolExit::NotReached);
}

TEST_CASE("explain-route asks with encoded parameters and prints the path as a table")
{
    // Guards against a path that ends the query early, and against an answer without figures that stops the tool.
    std::vector<HttpRequest> sent;
    std::ostringstream output;
    std::ostringstream errors;
    ToolOptions options{
        .hostName = "api.example", .path = "/v1/a b&c", .keyHolder = "club", .command = "explain-route"};
    const auto run = [&](const HttpResponse &answer) {
        return ToolCommands(options,
                            {.send =
                                 [&](const HttpRequest &request) {
                                     sent.push_back(request);
                                     return HttpResult(answer);
                                 },
                             .sleep = {},
                             .makeEditId = {},
                             .readFile = {},
                             .output = output,
                             .errors = errors})
            .run();
    };
    CHECK(run(ok(R"({"outcome":"queued","waitsFor":"cache-capacity","waitingAhead":2,"expectedWaitMilliseconds":null,
                     "path":[{"target":"e1","layers":[0,4],"costMilliseconds":12.5}],
                     "excluded":[{"target":"e2","reason":"silent"}]})"))
          == ToolExit::Done);
    CHECK(sent.back().target
          == "/administration/v1/explain-route?hostName=api.example&path=/v1/a%20b%26c&keyHolder=club");
    CHECK(output.str().find("queued, waits for cache-capacity: 2 requests ahead, expected - ms") != std::string::npos);
    CHECK(output.str().find("  e1      -        [0,4]   12.5") != std::string::npos);
    CHECK(output.str().find("  e2  silent") != std::string::npos);
    const HttpResponse noChain{.status = 503,
                               .body = R"({"detail":"layer 3","excluded":[{"target":"e2","reason":"leaving"}]})"};
    CHECK(run(noChain) == ToolExit::Unavailable);
    CHECK(errors.str().find("leaving") != std::string::npos);
    options.path.clear();
    CHECK(run(noChain) == ToolExit::WrongUsage);
}

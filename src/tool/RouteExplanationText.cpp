#include "tool/RouteExplanationText.h"

#include <algorithm>
#include <vector>

namespace Carawaymill {

using Row = std::vector<std::string>;

/// The field as text, `-` if it is missing or null.
static std::string field(const nlohmann::json &object, const char *name)
{
    const nlohmann::json value = object.value(name, nlohmann::json());
    if (value.is_null()) {
        return "-";
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

static nlohmann::json list(const nlohmann::json &object, const char *name)
{
    nlohmann::json value = object.value(name, nlohmann::json());
    return value.is_array() ? value : nlohmann::json::array();
}

/// Columns as wide as their widest cell; the first row is the heading.
static std::string table(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const Row &row : rows) {
        std::string line = " ";
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += " " + row[column] + std::string(widths[column] - row[column].size() + 1, ' ');
        }
        text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
    }
    return text;
}

static std::string waitText(const nlohmann::json &explanation)
{
    const std::string outcome = field(explanation, "outcome");
    std::string text = outcome;
    if (outcome == "refused") {
        text += " (" + field(explanation, "refusal") + ")";
    }
    if (const std::string waitsFor = field(explanation, "waitsFor"); waitsFor != "nothing") {
        text += ", waits for " + waitsFor + ": " + field(explanation, "waitingAhead") + " requests ahead, expected "
                + field(explanation, "expectedWaitMilliseconds") + " ms";
    }
    return text;
}

static std::string pathText(const nlohmann::json &explanation)
{
    std::vector<Row> rows{{"TARGET",
                           "ADDRESS",
                           "LAYERS",
                           "COST ms",
                           "OPEN layers",
                           "CACHE",
                           "PACE",
                           "UNREAD tokens x layers",
                           "NEXT BEST"}};
    for (const nlohmann::json &stage : list(explanation, "path")) {
        std::string next;
        for (const nlohmann::json &alternative : list(stage, "alternatives")) {
            next += (next.empty() ? "" : ", ") + field(alternative, "target");
            if (const std::string cost = field(alternative, "costMilliseconds"); cost != "-") {
                next += " (" + cost + " ms)";
            }
        }
        rows.push_back({field(stage, "target"),
                        field(stage, "address"),
                        field(stage, "layers"),
                        field(stage, "costMilliseconds"),
                        field(stage, "openLayers"),
                        field(stage, "cacheOccupancy"),
                        field(stage, "pace"),
                        field(stage, "unreadLayerTokens"),
                        next.empty() ? "-" : next});
    }
    return table(rows);
}

std::string excludedText(const nlohmann::json &body)
{
    std::vector<Row> rows;
    for (const nlohmann::json &target : list(body, "excluded")) {
        rows.push_back({field(target, "target"), field(target, "reason")});
    }
    return rows.empty() ? "" : "Excluded or avoided:\n" + table(rows);
}

std::string routeExplanationText(const nlohmann::json &explanation)
{
    std::string services;
    for (const nlohmann::json &share : list(explanation, "services")) {
        services += (services.empty() ? "" : ", ") + field(share, "service") + " weight " + field(share, "weight");
    }
    return "Host:         " + field(explanation, "host") + ", configuration "
           + field(explanation, "configurationVersion") + "\nRoute:        " + field(explanation, "route") + " ("
           + field(explanation, "hostName") + field(explanation, "prefix")
           + ")\nOrganisation: " + field(explanation, "organisation") + "\nRank:         " + field(explanation, "rank")
           + " (0 is the most urgent)\nService:      " + field(explanation, "service") + " (of " + services
           + ")\nTokens:       " + field(explanation, "promptTokens") + " prompt, "
           + field(explanation, "expectedTokens") + " expected\nOutcome:      " + waitText(explanation) + "\nPath:\n"
           + pathText(explanation) + excludedText(explanation);
}

} // namespace Carawaymill

#pragma once

#include <nlohmann/json.hpp>

#include <string>

/// The answers to `explain-route`, for a terminal.
namespace Carawaymill {

/// A host's explanation as lines and tables. Fields that are missing are shown as `-`.
[[nodiscard]] std::string routeExplanationText(const nlohmann::json &explanation);

/// The table of excluded targets in an explanation or an error; empty if there are none.
[[nodiscard]] std::string excludedText(const nlohmann::json &body);

} // namespace Carawaymill

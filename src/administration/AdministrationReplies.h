#pragma once

#include "catalogue/CatalogueEditor.h"
#include "http/HttpMessages.h"

#include <nlohmann/json.hpp>

#include <string>

/// The responses of the operators' interface.
namespace Carawaymill {

/// Whether the operator's request took effect.
enum class TookEffect {
    No,
    Yes,
    Unknown,
};

/// An error as `application/problem+json`. `type` becomes `urn:carawaymill:problem:<type>`, and never changes its
/// meaning.
struct AdministrationProblem
{
    unsigned status = 500;
    std::string type;
    std::string detail;
    TookEffect ran = TookEffect::No;
    /// Further members of the document.
    nlohmann::json members = nlohmann::json::object();
};

[[nodiscard]] HttpResponse jsonResponse(const nlohmann::json &body);
[[nodiscard]] HttpResponse administrationProblemResponse(const AdministrationProblem &problem);

/// What became of an edit, as a response.
[[nodiscard]] HttpResponse editResponse(const EditOutcome &outcome);

} // namespace Carawaymill

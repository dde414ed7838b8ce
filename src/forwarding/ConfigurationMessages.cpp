#include "forwarding/ConfigurationMessages.h"

namespace Carawaymill {

static constexpr const char *requestKind = "asked";
static constexpr const char *confirmationKind = "vouched";

/// Positions of the optional elements, which hosts of some releases leave out.
static constexpr std::size_t withValuePosition = 3;
static constexpr std::size_t valuePosition = 4;

void to_json(nlohmann::json &json, const ConfigurationMessage &message)
{
    std::visit(
        Overloaded{
            [&](const ConfigurationRequest &request) {
                json = {requestKind, request.number, request.version.value(), request.withValue};
            },
            [&](const ConfigurationConfirmation &confirmation) {
                json = {confirmationKind, confirmation.number, confirmation.version.value(), confirmation.age.count()};
                if (confirmation.value) {
                    json.push_back(*confirmation.value);
                }
            }},
        message);
}

void from_json(const nlohmann::json &json, ConfigurationMessage &message)
{
    if (json.at(0) == requestKind) {
        message = ConfigurationRequest{.number = json.at(1).get<std::uint64_t>(),
                                       .version = ConfigurationVersion(json.at(2).get<std::uint64_t>()),
                                       .withValue =
                                           json.size() <= withValuePosition || json.at(withValuePosition).get<bool>()};
        return;
    }
    ConfigurationConfirmation confirmation{.number = json.at(1).get<std::uint64_t>(),
                                           .version = ConfigurationVersion(json.at(2).get<std::uint64_t>()),
                                           .age = Duration(json.at(3).get<Duration::rep>()),
                                           .value = {}};
    if (json.size() > valuePosition) {
        confirmation.value = json.at(valuePosition).get<std::string>();
    }
    message = std::move(confirmation);
}

} // namespace Carawaymill

#pragma once

#include "forwarding/RoutingConfiguration.h"
#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Carawaymill {

/// Requests another host's configuration version and the age of its last confirmation.
struct ConfigurationRequest
{
    /// Chosen by the requesting host and repeated in the confirmation.
    std::uint64_t number = 0;
    ConfigurationVersion version;
    /// Whether a newer configuration is sent with the confirmation. Hosts of earlier releases always send it.
    bool withValue = true;
};

/// Response to `ConfigurationRequest`.
struct ConfigurationConfirmation
{
    std::uint64_t number = 0;
    ConfigurationVersion version;
    /// Upper bound of the time since the service confirmed the version to the responding host.
    Duration age{};
    /// The configuration record of the service, if it was requested and is newer than the requesting host's.
    std::optional<std::string> value;
};

using ConfigurationMessage = std::variant<ConfigurationRequest, ConfigurationConfirmation>;

void to_json(nlohmann::json &json, const ConfigurationMessage &message);
void from_json(const nlohmann::json &json, ConfigurationMessage &message);

} // namespace Carawaymill

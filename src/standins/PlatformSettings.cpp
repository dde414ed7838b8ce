#include "standins/PlatformSettings.h"

#include "hostlist/HostListCodec.h"

namespace Carawaymill {

static void readField(const std::string &name,
                      const nlohmann::json &value,
                      PlatformServerOptions &options,
                      std::vector<DecodeFailure> &faults)
{
    if (name == "hostListLagMilliseconds" && value.is_number_unsigned()) {
        options.hostListLag = std::chrono::milliseconds(value.get<std::uint32_t>());
    } else if (name == "keptChanges" && value.is_number_unsigned()) {
        options.store.keptChanges = value.get<std::size_t>();
    } else if (name == "hosts") {
        auto list = decode<HostListRead>(value);
        if (const auto *failure = std::get_if<DecodeFailure>(&list)) {
            faults.push_back(DecodeFailure{.field = "/hosts: " + failure->field});
            return;
        }
        options.hosts = std::get<HostListRead>(std::move(list));
    } else {
        faults.push_back(DecodeFailure{.field = "/" + name});
    }
}

Result<PlatformServerOptions, InvalidPlatformSettings> readPlatformSettings(const std::string &text)
{
    const auto json = parseJson(text);
    if (const auto *failure = std::get_if<DecodeFailure>(&json)) {
        return InvalidPlatformSettings{.faults = {*failure}};
    }
    const auto &document = std::get<nlohmann::json>(json);
    if (!document.is_object()) {
        return InvalidPlatformSettings{.faults = {DecodeFailure{.field = "/"}}};
    }
    PlatformServerOptions options;
    InvalidPlatformSettings invalid;
    for (const auto &[name, value] : document.items()) {
        readField(name, value, options, invalid.faults);
    }
    if (!invalid.faults.empty()) {
        return invalid;
    }
    return options;
}

} // namespace Carawaymill

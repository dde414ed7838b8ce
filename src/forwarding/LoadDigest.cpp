#include "forwarding/LoadDigest.h"

#include <cmath>

namespace Carawaymill {

nlohmann::json toJson(const LoadDigest &digest)
{
    nlohmann::json json = nlohmann::json::array();
    for (const auto &[target, load] : digest) {
        json.push_back({target,
                        std::lround(load.openLayers),
                        std::lround(load.cacheLayerTokens),
                        std::lround(load.unreadLayerTokens)});
    }
    return json;
}

Result<LoadDigest, DecodeFailure> readLoadDigest(const nlohmann::json &json)
{
    try {
        LoadDigest digest;
        for (const nlohmann::json &entry : json) {
            digest[entry.at(0).get<TargetId>()] = {.openLayers = entry.at(1).get<double>(),
                                                   .cacheLayerTokens = entry.at(2).get<double>(),
                                                   .unreadLayerTokens =
                                                       entry.size() > 3 ? entry.at(3).get<double>() : 0};
        }
        return digest;
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = exception.what()};
    }
}

} // namespace Carawaymill

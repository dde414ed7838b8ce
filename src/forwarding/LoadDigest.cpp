#include "forwarding/LoadDigest.h"

#include <cmath>

namespace Carawaymill {

/// A host that was silent for so long has ended, and its streams with it, or is cut off and will be counted again.
static constexpr Duration digestLifetime = 3s;

nlohmann::json toJson(const LoadDigest &digest)
{
    nlohmann::json json = nlohmann::json::array();
    for (const auto &[target, load] : digest) {
        json.push_back({target, std::lround(load.openLayers), std::lround(load.cacheLayerTokens)});
    }
    return json;
}

Result<LoadDigest, DecodeFailure> readLoadDigest(const nlohmann::json &json)
{
    try {
        LoadDigest digest;
        for (const nlohmann::json &entry : json) {
            digest[entry.at(0).get<TargetId>()] = {.openLayers = entry.at(1).get<double>(),
                                                   .cacheLayerTokens = entry.at(2).get<double>()};
        }
        return digest;
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = exception.what()};
    }
}

void OtherHostsLoads::told(const HostId &host, LoadDigest digest, TimePoint now)
{
    m_told.insert_or_assign(host, Told{.digest = std::move(digest), .at = now});
}

LoadDigest OtherHostsLoads::sums(TimePoint now)
{
    std::erase_if(m_told, [&](const auto &entry) { return now - entry.second.at > digestLifetime; });
    LoadDigest sums;
    for (const auto &[host, told] : m_told) {
        for (const auto &[target, load] : told.digest) {
            sums[target].openLayers += load.openLayers;
            sums[target].cacheLayerTokens += load.cacheLayerTokens;
        }
    }
    std::set<TargetId> summed;
    for (const auto &[target, load] : sums) {
        summed.insert(target);
    }
    for (const TargetId &target : m_summed) {
        sums.try_emplace(target);
    }
    m_summed = std::move(summed);
    return sums;
}

} // namespace Carawaymill

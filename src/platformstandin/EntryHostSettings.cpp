#include "platformstandin/EntryHostSettings.h"

#include <chrono>

namespace Carawaymill {

static constexpr std::uint16_t callerPort = 18227;
static constexpr std::uint16_t readyPort = 18220;
static constexpr std::uint16_t metricsPort = 19464;
static constexpr std::uint16_t peerPort = 17340;
static constexpr std::uint16_t relayPort = 17355;

std::string callerAddressOf(const std::string &hostAddress)
{
    return hostAddress + ":" + std::to_string(callerPort);
}

nlohmann::json entryHostSettings(const EntryHostSettingsOptions &options)
{
    nlohmann::json seeds = nlohmann::json::array();
    for (const std::string &seed : options.seedHosts) {
        seeds.push_back(seed + ":1");
    }
    nlohmann::json forwarding{
        {"readiness", options.address + ":" + std::to_string(readyPort)},
        {"metricsPort", metricsPort},
        {"peerPort", peerPort},
        {"seedHosts", std::move(seeds)},
        {"retryRatio", 0.2},
        {"retryBurst", options.retryBurst},
        {"retryWindowSeconds", 10},
        {"revocationMilliseconds", 5000},
        {"graceSeconds", std::chrono::duration_cast<std::chrono::seconds>(options.graceTime).count()}};
    if (options.relays) {
        forwarding["relayPort"] = relayPort;
    }
    return {{"host", options.address},
            {"failureDomain", options.failureDomain.value()},
            {"region", "region-1"},
            {"callers", callerAddressOf(options.address)},
            {"peerKey", "carawaymill-entry-hosts"},
            {"keyValueService", options.storeAddress},
            {"connectionLimit", 1000},
            {"forwarding", std::move(forwarding)}};
}

} // namespace Carawaymill

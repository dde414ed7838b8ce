#include "platformstandin/PublishedConfiguration.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace Carawaymill {

static std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

static nlohmann::json encodeRoute(const PublishedRoute &route)
{
    nlohmann::json json{{"Name", route.prefix},
                        {"Hostname", publishedHost},
                        {"Prefix", route.prefix},
                        {"Service", route.service.value()},
                        {"TimeoutMs", milliseconds(route.timeout)},
                        {"TargetLatencyMs", milliseconds(route.latencyObjective)},
                        {"MaxAttempts", route.maximumTargets},
                        {"Priority", 0}};
    switch (route.kind) {
    case PublishedRouteKind::Idempotent:
        json["RouteType"] = "idempotent";
        break;
    case PublishedRouteKind::AtMostOnce:
        json["RouteType"] = "mutating";
        break;
    case PublishedRouteKind::ResumableStream:
        json["RouteType"] = "streaming";
        json["Resumable"] = true;
        json["TargetItlMs"] = 200;
        break;
    }
    return json;
}

/// A small, fast model: each target can hold all of its layers.
static nlohmann::json encodeRuntime(LayerCount layers)
{
    return {{"LayerCount", layers},
            {"LayerMb", 100.0},
            {"ActivationBytes", 8192},
            {"KvBytes", 65536},
            {"Capacity", 64},
            {"step_ms", 5.0},
            {"per_seq_ms", 0.05},
            {"context_per_k", 0.05},
            {"read_per_s", 50000.0},
            {"BandwidthMbps", 1000.0},
            {"PipeMbps", 9000.0},
            {"usual", {{"prompt", 200}, {"answer", 20}}},
            {"Models", {{{"Name", "standin-model"}}}},
            {"Types", {{{"Name", publishedAcceleratorKind}, {"SizeMb", 16000.0}, {"pace", 1.0}, {"ReadFactor", 1.0}}}}};
}

std::string encodeConfiguration(const PublishedConfiguration &configuration)
{
    nlohmann::json routes = nlohmann::json::array();
    for (const PublishedRoute &route : configuration.routes) {
        routes.push_back(encodeRoute(route));
    }
    nlohmann::json services = nlohmann::json::array();
    for (const PublishedService &service : configuration.services) {
        nlohmann::json json{{"Name", service.id.value()}, {"HealthPath", "/healthz"}, {"MaxConns", 200}};
        if (service.layers) {
            json["Runtime"] = encodeRuntime(*service.layers);
        }
        services.push_back(std::move(json));
    }
    return nlohmann::json{{"Version", configuration.version},
                          {"Routes", routes},
                          {"Services", services},
                          {"Limits",
                           {{"MaxHeaderBytes", 16384},
                            {"MaxBodyBytes", 1048576},
                            {"HeaderTimeoutMs", 3000},
                            {"IdleTimeoutMs", milliseconds(configuration.idleTimeout)}}}}
        .dump();
}

} // namespace Carawaymill

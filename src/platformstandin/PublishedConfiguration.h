#pragma once

#include "forwarding/RoutingConfiguration.h"
#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

enum class PublishedRouteKind {
    Idempotent,
    AtMostOnce,
    ResumableStream,
};

struct PublishedRoute
{
    /// Begins and ends with a slash.
    std::string prefix;
    ServiceId service;
    PublishedRouteKind kind = PublishedRouteKind::Idempotent;
    Duration timeout = 8s;
    Duration latencyObjective = 1s;
    std::uint32_t maximumTargets = 2;
};

/// Number of layers of a published model.
using LayerCount = std::uint32_t;

struct PublishedService
{
    ServiceId id;
    /// The layers of the service's model; std::nullopt for a plain service.
    std::optional<LayerCount> layers = std::nullopt;
};

/// The operators' configuration as the stand-in publishes it.
struct PublishedConfiguration
{
    std::uint64_t version = 1;
    std::vector<PublishedRoute> routes;
    std::vector<PublishedService> services;
    /// Connections of callers are closed after this time without a request.
    Duration idleTimeout = 15s;
};

/// Host name of all published routes.
inline constexpr const char *publishedHost = "callers.example";
/// The only kind of accelerator of the published services.
inline constexpr const char *publishedAcceleratorKind = "standin";

/// Encodes the configuration as the operators write it.
[[nodiscard]] std::string encodeConfiguration(const PublishedConfiguration &configuration);

} // namespace Carawaymill

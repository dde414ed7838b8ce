#pragma once

#include "http/CallerLimits.h"
#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Units.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The configuration set by the operators: routes, services and the organisations' keys.
namespace Carawaymill {

/// A group of targets that serve the same requests.
using ServiceId = StrongType<struct ServiceIdTag, std::string>;
/// Increases with each change by the operators, not necessarily by one.
using ConfigurationVersion = StrongCount<struct ConfigurationVersionTag, std::uint64_t>;

/// Whether a request may be run more than once.
enum class RepeatPolicy {
    /// At most once for each attempt of the caller.
    AtMostOnce,
    /// Any number of times.
    Repeatable,
};

enum class ResponseKind {
    /// Forwarded once it is complete.
    Buffered,
    /// A stream of events with increasing ids, forwarded as they arrive.
    EventStream,
};

/// One of the services that a route's requests are distributed over.
struct ServiceShare
{
    ServiceId service;
    std::uint32_t weight = 1;

    friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    ResponseKind responseKind = ResponseKind::Buffered;
    RepeatPolicy repeat = RepeatPolicy::AtMostOnce;
    std::vector<ServiceShare> services;
    /// Longest time that a request may take.
    Duration timeout = 30s;
    /// Latency objective of a response, or of the first event of a stream.
    Duration latencyObjective{};
    /// Objective for the time between two events of a stream.
    Duration pauseObjective{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of targets that may run one attempt of a caller.
    std::uint32_t maximumTargets = 1;
    /// Callers need no key.
    bool isPublic = false;

    friend bool operator==(const Route &, const Route &) = default;
};

/// Memory of a kind of accelerator, and its speed relative to the kind that the engine profile describes.
struct AcceleratorKind
{
    ByteCount memory;
    /// Factor on the time of a token step.
    double stepFactor = 1;
    /// Factor on the time of processing a prompt.
    double promptFactor = 1;

    friend bool operator==(const AcceleratorKind &, const AcceleratorKind &) = default;
};

/// The model of a service and the speed of its engines.
struct EngineProfile
{
    ModelId model;
    std::string version;
    std::uint32_t layers = 0;
    ByteCount bytesPerLayer;
    /// Size of one token's activation between two layers.
    ByteCount activationBytes;
    /// KV cache of one token over all layers.
    ByteCount cacheBytesPerToken;
    /// Number of requests that an engine runs concurrently.
    std::uint32_t concurrency = 1;
    /// Time of one token step through all layers, for the kind with factor 1.
    double stepSeconds = 0;
    /// Additional time of a step for each request in the batch, and for each token of their contexts.
    double stepSecondsPerRequest = 0;
    double stepSecondsPerContextToken = 0;
    double promptTokensPerSecond = 0;
    double linkBytesPerSecond = 0;
    /// Bandwidth shared by all activations between two failure domains.
    double domainLinkBytesPerSecond = 0;
    /// One-way delay between two failure domains.
    Duration domainDelay{};
    /// Mean token counts of the requests.
    TokenCount meanPromptTokens;
    TokenCount meanCompletionTokens;
    std::map<std::string, AcceleratorKind> kinds;

    friend bool operator==(const EngineProfile &, const EngineProfile &) = default;
};

struct ServiceDescription
{
    std::string healthPath;
    /// Connections that a target accepts from all hosts together.
    std::uint32_t connectionLimit = 0;
    /// std::nullopt for a plain service.
    std::optional<EngineProfile> engine;

    friend bool operator==(const ServiceDescription &, const ServiceDescription &) = default;
};

/// An organisation whose callers are admitted, and their keys.
struct OrganisationKeys
{
    OrganisationId id;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<std::uint32_t> priority;

    friend bool operator==(const OrganisationKeys &, const OrganisationKeys &) = default;
};

struct RoutingConfiguration
{
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::map<ServiceId, ServiceDescription> services;
    CallerLimits limits;
    /// std::nullopt if callers need no key.
    std::optional<std::vector<OrganisationKeys>> organisations;

    friend bool operator==(const RoutingConfiguration &, const RoutingConfiguration &) = default;
};

using SharedConfiguration = std::shared_ptr<const RoutingConfiguration>;

/// Null for a plain service, an unknown one, and before the first configuration.
[[nodiscard]] const EngineProfile *engineProfile(const SharedConfiguration &configuration, const ServiceId &service);

} // namespace Carawaymill

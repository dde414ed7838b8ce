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

/// What the operators have put in force: routes, services, and who may call.
namespace Carawaymill {

/// A group of targets that serve the same requests.
using ServiceId = StrongType<struct ServiceIdTag, std::string>;
/// Grows with each change of the operators, not necessarily by one.
using ConfigurationVersion = StrongCount<struct ConfigurationVersionTag, std::uint64_t>;

/// How often a request may be run.
enum class RepeatPolicy {
    /// At most once for each attempt of the caller.
    AtMostOnce,
    /// Any number of times.
    Repeatable,
};

enum class ResponseKind {
    /// Passed on when it is whole.
    Buffered,
    /// A stream of events with increasing ids, passed on as they arrive.
    EventStream,
};

/// One of the services that a route is split over.
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
    /// No caller is kept waiting for longer.
    Duration timeout = 30s;
    /// An answer, or the first event of a stream, is on time within this.
    Duration latencyObjective{};
    /// A pause between two events of a stream is on time within this.
    Duration pauseObjective{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Targets that may run one attempt of a caller.
    std::uint32_t maximumTargets = 1;
    /// Needs no key.
    bool isPublic = false;

    friend bool operator==(const Route &, const Route &) = default;
};

/// A kind of accelerator, compared to the one that the engine's figures are given for.
struct AcceleratorKind
{
    ByteCount memory;
    /// Factor on the time of a token step.
    double stepFactor = 1;
    /// Factor on the time of reading a prompt.
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
    /// Requests that an engine runs at once.
    std::uint32_t concurrency = 1;
    /// One token step through all layers, for the kind with factor 1.
    double stepSeconds = 0;
    /// What a step takes longer for each request that it is made for, and for each token of their contexts.
    double stepSecondsPerRequest = 0;
    double stepSecondsPerContextToken = 0;
    double promptTokensPerSecond = 0;
    double linkBytesPerSecond = 0;
    /// Shared by all activations between two failure domains.
    double domainLinkBytesPerSecond = 0;
    /// One way, between two failure domains.
    Duration domainDelay{};
    /// Means over the requests.
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
    /// Nothing for a plain service.
    std::optional<EngineProfile> engine;

    friend bool operator==(const ServiceDescription &, const ServiceDescription &) = default;
};

/// Who may call, by which keys.
struct OrganisationKeys
{
    OrganisationId id;
    std::vector<std::string> keys;
    /// Goes before the route's priority.
    std::optional<std::uint32_t> priority;

    friend bool operator==(const OrganisationKeys &, const OrganisationKeys &) = default;
};

struct RoutingConfiguration
{
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::map<ServiceId, ServiceDescription> services;
    CallerLimits limits;
    /// Nothing where callers need no key.
    std::optional<std::vector<OrganisationKeys>> organisations;

    friend bool operator==(const RoutingConfiguration &, const RoutingConfiguration &) = default;
};

using SharedConfiguration = std::shared_ptr<const RoutingConfiguration>;

/// Null for a plain service, an unknown one, and before the first configuration.
[[nodiscard]] const EngineProfile *engineProfile(const SharedConfiguration &configuration, const ServiceId &service);

} // namespace Carawaymill

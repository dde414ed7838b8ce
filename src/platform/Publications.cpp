#include "platform/Publications.h"

#include "platform/WorkerFields.h"

#include <algorithm>

namespace Carawaymill {

/// The platform states memory in units of 10^6 bytes, and link rates in units of 10^6 bits per second.
static constexpr double bytesPerMegabyte = 1e6;
static constexpr double bytesPerSecondPerMegabit = 1e6 / 8;
static constexpr double secondsPerMillisecond = 1e-3;
static constexpr double tokensPerThousand = 1000;
/// No worker runs more requests at once.
static constexpr std::uint64_t highestConcurrency = 1'000'000;

/// Reads a field that is given in milliseconds; `defaultValue` if it is missing.
static Duration milliseconds(const nlohmann::json &object, const char *name, std::int64_t defaultValue)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(object.value(name, static_cast<double>(defaultValue))));
}

static ByteCount megabytes(double count)
{
    return ByteCount(static_cast<std::uint64_t>(count * bytesPerMegabyte));
}

static ByteCount bytes(const nlohmann::json &object, const char *name, std::uint64_t defaultValue)
{
    return ByteCount(static_cast<std::uint64_t>(object.value(name, static_cast<double>(defaultValue))));
}

static std::vector<ServiceShare> readShares(const nlohmann::json &route)
{
    std::vector<ServiceShare> shares;
    if (const auto list = route.find("Backends"); list != route.end() && list->is_array()) {
        for (const nlohmann::json &share : *list) {
            shares.push_back(
                {.service = ServiceId(share.at("Service").get<std::string>()), .weight = share.value("Weight", 1U)});
        }
    }
    if (shares.empty()) {
        shares.push_back({.service = ServiceId(route.at("Service").get<std::string>()), .weight = 1});
    }
    return shares;
}

static Route readRoute(const nlohmann::json &json)
{
    // `RouteType` of a route states whether requests may be retried; in a worker's record it names the accelerator.
    const auto type = json.at("RouteType").get<std::string>();
    const bool isStream = type == "streaming";
    const bool repeatable = type == "idempotent" || (isStream && json.value("Resumable", false));
    Route route{.name = json.value("Name", ""),
                .host = json.at("Hostname").get<std::string>(),
                .prefix = json.at("Prefix").get<std::string>(),
                .responseKind = isStream ? ResponseKind::EventStream : ResponseKind::Buffered,
                .repeat = repeatable ? RepeatPolicy::Repeatable : RepeatPolicy::AtMostOnce,
                .services = readShares(json),
                .timeout = milliseconds(json, "TimeoutMs", 30000),
                .latencyObjective = milliseconds(json, "TargetLatencyMs", 1000),
                .pauseObjective = milliseconds(json, "TargetItlMs", 0),
                .priority = json.value("Priority", 0U),
                .maximumTargets = json.value("MaxAttempts", 1U),
                .isPublic = json.value("Public", false)};
    return route;
}

static Duration longestDelay(const nlohmann::json &runtime)
{
    Duration longest{};
    if (const auto delays = runtime.find("delays"); delays != runtime.end() && delays->is_array()) {
        for (const nlohmann::json &delay : *delays) {
            longest = std::max(longest, milliseconds(delay, "delay_ms", 0));
        }
    }
    return longest;
}

static std::map<std::string, AcceleratorKind> readAcceleratorKinds(const nlohmann::json &runtime)
{
    std::map<std::string, AcceleratorKind> kinds;
    for (const nlohmann::json &type : runtime.at("Types")) {
        kinds[type.at("Name").get<std::string>()] = {.memory = megabytes(type.at("SizeMb").get<double>()),
                                                     .stepFactor = type.value("pace", 1.0),
                                                     .promptFactor = type.value("ReadFactor", 1.0)};
    }
    return kinds;
}

/// Returns std::nullopt for services whose workers do not hold ranges of layers.
static std::optional<EngineProfile> readEngineProfile(const nlohmann::json &service)
{
    const auto runtime = service.find("Runtime");
    if (runtime == service.end() || !runtime->is_object() || !runtime->contains("LayerCount")
        || !runtime->contains("Types")) {
        return std::nullopt;
    }
    const nlohmann::json meanLengths = runtime->value("usual", nlohmann::json::object());
    EngineProfile engine{.model = {},
                         .version = "1",
                         // In a service `LayerCount` is the model's number of layers; in a worker's record it lists
                         // the ranges that the worker holds.
                         .layers = runtime->at("LayerCount").get<std::uint32_t>(),
                         .bytesPerLayer = megabytes(runtime->at("LayerMb").get<double>()),
                         .activationBytes = bytes(*runtime, "ActivationBytes", 0),
                         .cacheBytesPerToken = bytes(*runtime, "KvBytes", 0),
                         .concurrency = runtime->value("Capacity", 1U),
                         .stepSeconds = runtime->value("step_ms", 1.0) * secondsPerMillisecond,
                         .stepSecondsPerRequest = runtime->value("per_seq_ms", 0.0) * secondsPerMillisecond,
                         .stepSecondsPerContextToken =
                             runtime->value("context_per_k", 0.0) * secondsPerMillisecond / tokensPerThousand,
                         .promptTokensPerSecond = runtime->value("read_per_s", 0.0),
                         .linkBytesPerSecond = runtime->value("BandwidthMbps", 0.0) * bytesPerSecondPerMegabit,
                         .domainLinkBytesPerSecond = runtime->value("PipeMbps", 0.0) * bytesPerSecondPerMegabit,
                         .domainDelay = longestDelay(*runtime),
                         .meanPromptTokens = TokenCount(meanLengths.value("prompt", std::uint64_t(512))),
                         .meanCompletionTokens = TokenCount(meanLengths.value("answer", std::uint64_t(128))),
                         .kinds = readAcceleratorKinds(*runtime)};
    if (const auto models = runtime->find("Models"); models != runtime->end() && !models->empty()) {
        engine.model = ModelId(models->front().at("Name").get<std::string>());
    }
    return engine;
}

static CallerLimits readLimits(const nlohmann::json &json)
{
    const CallerLimits defaults;
    return {.headerBytes = bytes(json, "MaxHeaderBytes", defaults.headerBytes.value()),
            .bodyBytes = bytes(json, "MaxBodyBytes", defaults.bodyBytes.value()),
            .readTimeout = milliseconds(json, "HeaderTimeoutMs", 3000),
            .idleTimeout = milliseconds(json, "IdleTimeoutMs", 15000)};
}

static std::vector<OrganisationKeys> readOrganisations(const nlohmann::json &tenants)
{
    std::vector<OrganisationKeys> organisations;
    for (const nlohmann::json &tenant : tenants) {
        OrganisationKeys organisation{.id = OrganisationId(tenant.at("Name").get<std::string>()),
                                      .keys = tenant.value("ApiKeys", std::vector<std::string>()),
                                      .priority = {}};
        if (const auto priority = tenant.find("Priority"); priority != tenant.end() && priority->is_number()) {
            organisation.priority = priority->get<std::uint32_t>();
        }
        organisations.push_back(std::move(organisation));
    }
    return organisations;
}

static Result<RoutingConfiguration, DecodeFailure> readConfiguration(const std::string &value)
{
    auto parsed = parseJson(value);
    if (const auto *failure = std::get_if<DecodeFailure>(&parsed)) {
        return *failure;
    }
    const auto &json = std::get<nlohmann::json>(parsed);
    try {
        RoutingConfiguration configuration;
        configuration.version = ConfigurationVersion(json.at("Version").get<std::uint64_t>());
        for (const nlohmann::json &route : json.at("Routes")) {
            configuration.routes.push_back(readRoute(route));
        }
        for (const nlohmann::json &service : json.at("Services")) {
            configuration.services[ServiceId(service.at("Name").get<std::string>())] = {
                .healthPath = service.value("HealthPath", ""),
                .connectionLimit = service.value("MaxConns", 0U),
                .engine = readEngineProfile(service)};
        }
        configuration.limits = readLimits(json.value("Limits", nlohmann::json::object()));
        if (const auto tenants = json.find("Tenants"); tenants != json.end() && !tenants->is_null()) {
            configuration.organisations = readOrganisations(*tenants);
        }
        return configuration;
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = exception.what()};
    }
}

static Result<DirectoryTarget, DecodeFailure> readTarget(const TargetId &id, const std::string &value)
{
    auto parsed = parseJson(value);
    if (const auto *failure = std::get_if<DecodeFailure>(&parsed)) {
        return *failure;
    }
    const auto &json = std::get<nlohmann::json>(parsed);
    try {
        const auto state = json.at("State").get<std::string>();
        if (state != "ready" && state != "draining") {
            return DecodeFailure{.field = "State"};
        }
        DirectoryTarget target{.id = id,
                               .service = ServiceId(json.at("Service").get<std::string>()),
                               .address = json.at("Address").get<std::string>(),
                               .failureDomain = FailureDomainId(json.at("Zone").get<std::string>()),
                               .leaving = state == "draining",
                               // In a worker's record this is the accelerator kind, unlike `RouteType` of a route.
                               .acceleratorKind = json.value("RouteType", "")};
        if (!isWorkerId(id.value())) {
            return DecodeFailure{.field = "id"};
        }
        if (!isWorkerAddress(target.address) || target.service.value().empty()) {
            return DecodeFailure{.field = "Address"};
        }
        const auto concurrency =
            json.contains("Capacity") ? readCount(json, "Capacity", highestConcurrency, 0) : std::nullopt;
        if (!concurrency) {
            return DecodeFailure{.field = "Capacity"};
        }
        target.concurrency = static_cast<std::uint32_t>(*concurrency);
        const auto incarnation = readIncarnation(json);
        auto held = readHeldLayers(json);
        if (!incarnation || !held) {
            return DecodeFailure{.field = incarnation ? "LayerCount" : "born"};
        }
        target.incarnation = *incarnation;
        target.held = std::move(*held);
        return target;
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = exception.what()};
    }
}

PublicationFormat platformPublicationFormat()
{
    return {.configurationKey = "op/config",
            .directoryPrefix = "servers/",
            .readConfiguration = readConfiguration,
            .readTarget = readTarget};
}

} // namespace Carawaymill

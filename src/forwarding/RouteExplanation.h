#pragma once

#include "forwarding/ForwardMessages.h"
#include "forwarding/ForwardTargets.h"
#include "forwarding/PromptBacklog.h"
#include "forwarding/RouteTable.h"
#include "forwarding/StartQueue.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

/// A request that is not sent, but whose routing is to be explained.
struct RouteQuestion
{
    std::string hostName;
    std::string path;
    /// The organisation whose key the caller would send.
    std::optional<OrganisationId> organisation;
    /// std::nullopt: as many as a mean request of the service.
    std::optional<TokenCount> promptTokens;
    std::optional<TokenCount> expectedTokens;
};

/// The state of a host that the routing of a new request depends on.
struct RoutingState
{
    /// Null before the configuration was read.
    std::shared_ptr<const RouteTable> table;
    const ForwardTargets &targets;
    const ChainRouter &router;
    const StartQueue &queue;
    const PromptBacklog &prompts;
    /// The targets whose request limits leave no room now.
    std::set<TargetId> withoutRoom;
    /// Set while the host refuses every new request.
    std::optional<ForwardFailure> refusal;
    /// Whether the configuration was confirmed recently enough to admit callers by their keys.
    bool fresh = false;
};

/// What becomes of the request.
enum class RouteOutcome : std::uint8_t {
    Sent,
    /// Waits in the queue for capacity.
    Queued,
    /// Waits until targets have read other prompts, a part of its objective at most.
    Held,
    Refused,
};

/// What a queued or held request waits for, or would wait for if the queue did not refuse it.
enum class RouteWait : std::uint8_t {
    Nothing,
    CacheCapacity,
    RequestLimit,
    UnreadPrompts,
};

/// Why a target of the service gets no part of the request.
enum class TargetExclusion : std::uint8_t {
    Leaving,
    Silent,
    Unreachable,
    /// It has rejected a request a short time ago.
    Rejecting,
    Resting,
    /// Its directory record has a kind of accelerator that the configuration does not describe.
    UnknownKind,
    /// It holds no layers of the model's version.
    WithoutLayers,
    /// Used only where no other target can be: other hosts or this one observed faults of it.
    Avoided,
    /// Its request limit leaves no room; it can still be a later target of the path.
    RequestLimit,
    /// Its KV cache does not hold the request beside those that are open; used only for layers of no other target.
    CacheFull,
};

struct ExcludedTarget
{
    TargetId target;
    TargetExclusion reason = TargetExclusion::Leaving;
};

struct ExplainedAlternative
{
    TargetId target;
    /// Expected seconds for the same layers, with penalties; std::nullopt for a plain service.
    std::optional<double> cost;
};

/// One target of the chosen path. A plain service has a single one, without layers and figures of engines.
struct ExplainedStage
{
    TargetId target;
    std::string address;
    LayerRange layers;
    /// Expected seconds that the request spends there, with penalties; std::nullopt for a plain service.
    std::optional<double> cost;
    /// Sum of the layers of the open streams.
    double openLayers = 0;
    /// Fraction of the KV cache in use with this request; above 1 the request does not fit.
    double cacheOccupancy = 0;
    /// How much slower than usual the target runs.
    double pace = 1;
    /// Prompt tokens times layers that the target has not read yet.
    double unreadLayerTokens = 0;
    /// The next best targets for the same layers, cheapest first.
    std::vector<ExplainedAlternative> alternatives;
};

struct RouteExplanation
{
    /// Of the configuration that the route is part of.
    ConfigurationVersion version;
    Route route;
    std::optional<OrganisationId> organisation;
    std::uint32_t rank = 0;
    /// The one of the route's services with the largest share. Which one a request goes to depends on its attempt id.
    ServiceId service;
    /// As the router counts them.
    TokenCount promptTokens;
    TokenCount expectedTokens;
    RouteOutcome outcome = RouteOutcome::Sent;
    /// Set if the request is refused.
    std::optional<ForwardFailure> refusal;
    RouteWait waitsFor = RouteWait::Nothing;
    /// Requests of the service that start before it; 0 unless it waits for capacity.
    std::size_t ahead = 0;
    /// std::nullopt if it does not wait, or if the rate of starts is not known. The longest wait for unread prompts.
    std::optional<Duration> expectedWait;
    std::vector<ExplainedStage> path;
    std::vector<ExcludedTarget> excluded;
};

/// The configuration was not read yet.
struct RouteTableMissing
{
};

/// No route has this host name and a prefix of this path.
struct RouteMissing
{
    std::string hostName;
    std::string path;
};

/// The configuration has no organisation of this name.
struct OrganisationMissing
{
    OrganisationId organisation;
};

/// No usable target, or no chain of them.
struct PathMissing
{
    ServiceId service;
    /// The first layer that no usable target holds; std::nullopt for a plain service.
    std::optional<LayerIndex> layer;
    std::vector<ExcludedTarget> excluded;
};

using RouteExplanationResult =
    Result<RouteExplanation, RouteTableMissing, RouteMissing, OrganisationMissing, PathMissing>;

/// Explains where a request would be routed in this state. Draws random numbers from copies only, so that a request
/// that arrives next is routed as if nothing was asked.
[[nodiscard]] RouteExplanationResult
explainRoute(const RouteQuestion &question, const RoutingState &state, TimePoint now);

/// For example `request-limit`.
[[nodiscard]] const char *routeOutcomeName(RouteOutcome outcome);
[[nodiscard]] const char *routeWaitName(RouteWait wait);
[[nodiscard]] const char *targetExclusionName(TargetExclusion exclusion);

} // namespace Carawaymill

#pragma once

#include "forwarding/DirectoryTarget.h"
#include "forwarding/ForwardMessages.h"
#include "routing/ChainRouter.h"
#include "support/Random.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

struct ForwardTargetsOptions
{
    FailureDomainId ownFailureDomain;
    RegionId ownRegion;
    std::uint64_t seed = 0;
    /// A failure counts half after this time in the choice between targets.
    Duration failureHalfLife = 2s;
    /// A target that turned a request down, or that another target could not reach, gets no new ones for so long.
    Duration refusalPause = 400ms;
    /// A target that is not what the directory tells is left alone for so long, unless the directory tells more before:
    /// about the time in which a change is seen.
    Duration outdatedEntryPause = 3s;
};

/// Where one request may go: a single target, or a path through several.
struct ChosenTargets
{
    TargetId target;
    std::string address;
    /// Empty where the target serves the request alone.
    std::vector<PathStage> path;
    /// What the request takes up of the targets' KV cache.
    TokenCount tokens;
    /// Some target has no room for the request beside what it has already.
    bool congested = false;
};

/// Why a target turned a request down.
enum class RejectionKind {
    /// It has no room, or some other target on the path did not answer.
    Busy,
    /// It is another one than the directory tells, or holds other layers.
    Outdated,
};

/// The targets of the directory as the forwarding of requests sees them, and the choice between them.
class ForwardTargets
{
public:
    explicit ForwardTargets(ForwardTargetsOptions options);

    /// Targets' speeds follow from the services' engine profiles.
    void configurationChanged(const SharedConfiguration &configuration, ChainRouter &router);
    void listed(const DirectoryTarget &target, ChainRouter &router);
    void unlisted(const TargetId &target, ChainRouter &router);
    /// Ends suspicions whose time has passed.
    void tick(ChainRouter &router, TimePoint now);

    /// Keeps new requests off a target that has turned one down.
    void recordRejection(const TargetId &target, RejectionKind kind, ChainRouter &router, TimePoint now);

    /// The target was seen not to answer, rather than to refuse.
    void markUnresponsive(const TargetId &target, Duration length, ChainRouter &router, TimePoint now);

    [[nodiscard]] bool isUnresponsive(const TargetId &target) const { return m_unresponsive.contains(target); }

    [[nodiscard]] bool isSuspected(const TargetId &target) const { return m_suspectedUntil.contains(target); }

    /// The target that has the address now; nothing when none has.
    [[nodiscard]] std::optional<TargetId> targetAt(const std::string &address) const;

    /// Nothing when no target, or no whole chain of targets, can serve the request now.
    [[nodiscard]] std::optional<ChosenTargets> choose(const ServiceId &service,
                                                      const ForwardRequest &request,
                                                      const std::set<TargetId> &excluded,
                                                      ChainRouter &router,
                                                      TimePoint now);

    /// A request was handed to these targets, and later is over there.
    void recordStart(const ChosenTargets &chosen, ChainRouter &router);
    void recordEnd(const ChosenTargets &chosen, ChainRouter &router);
    /// A plain target failed a request.
    void recordFailure(const TargetId &target, TimePoint now);

    [[nodiscard]] const std::map<TargetId, DirectoryTarget> &targets() const { return m_targets; }

private:
    struct Load
    {
        double inProgress = 0;
        /// Weight of recent failures at `failedAt`.
        double failures = 0;
        TimePoint failedAt{};
    };

    /// Keeps new requests off the target for a while.
    void suspect(const TargetId &target, Duration length, ChainRouter &router, TimePoint now);
    void updateRouter(const DirectoryTarget &target, ChainRouter &router) const;
    void updateAvailability(const TargetId &target, ChainRouter &router) const;
    [[nodiscard]] std::optional<ChosenTargets>
    choosePlain(const ServiceId &service, const std::set<TargetId> &excluded, TimePoint now);
    [[nodiscard]] std::optional<ChosenTargets> chooseChain(const ServiceId &service,
                                                           const EngineProfile &engine,
                                                           const ForwardRequest &request,
                                                           const std::set<TargetId> &excluded,
                                                           ChainRouter &router,
                                                           TimePoint now) const;
    [[nodiscard]] double recentFailures(const Load &load, TimePoint now) const;

    ForwardTargetsOptions m_options;
    Random m_random;
    SharedConfiguration m_configuration;
    std::map<TargetId, DirectoryTarget> m_targets;
    std::map<TargetId, TimePoint> m_suspectedUntil;
    /// Those of the suspected targets that were seen not to answer.
    std::set<TargetId> m_unresponsive;
    std::map<TargetId, Load> m_loads;
};

/// Layers of the service's model that an accelerator of this kind runs for one token in one second, over a usual
/// request.
[[nodiscard]] double layerTokensPerSecond(const EngineProfile &engine, const AcceleratorKind &kind);

/// Memory that the ranges take up.
[[nodiscard]] ByteCount heldBytes(const EngineProfile &engine, const std::vector<ModelLayers> &held);

/// The name under which chains for a service's model are routed: two services may have models of one name.
[[nodiscard]] ModelId routedModel(const ServiceId &service);

} // namespace Carawaymill

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
    /// Half-life of a failure's weight in the choice between targets.
    Duration failureHalfLife = 2s;
    /// Suspicion period of a target that rejected a request or that another target could not reach: it gets no new
    /// requests.
    Duration rejectionSuspicionPeriod = 400ms;
    /// Suspicion period of a target that differs from its directory record; ends early if the record changes. About the
    /// time in which this host receives a change of the directory.
    Duration outdatedSuspicionPeriod = 3s;
    /// How long the statements of a target that is no longer listed are kept. Its record may be missing for some
    /// seconds.
    Duration statementRetention = 10min;
    /// A sound target may be silent for about a second, counted from when it is found silent; see `isLost`.
    Duration toleratedSilence = 1s;
};

/// The targets chosen for one request: a single target, or a path through several.
struct ChosenTargets
{
    TargetId target;
    std::string address;
    /// Empty if `target` serves the request alone.
    std::vector<PathStage> path;
    /// Average number of tokens of the request in the KV cache of each target.
    TokenCount tokens;
    /// At least one target has no KV cache capacity left for the request.
    bool congested = false;
    /// The request limit of `target` leaves no room for the request now.
    bool limited = false;
    /// The prompt is long, and a target has other prompts to read before it.
    bool awaitsPrompts = false;
    /// Tokens of the prompt, as long as it counts as unread at the targets; zero once it is read.
    TokenCount unreadPrompt;
};

/// Targets that a choice leaves out.
struct ExcludedTargets
{
    /// Excluded from the whole path.
    std::set<TargetId> everywhere;
    /// Excluded as the first target of the path.
    std::set<TargetId> asFirst;
};

/// Why a target rejected a request.
enum class RejectionKind {
    /// The target has no capacity, or another target on the path did not respond to it.
    Busy,
    /// The target is another one than its directory record says, or holds other layers.
    Outdated,
};

/// Why a target counts as unresponsive.
enum class UnresponsiveCause {
    /// It sends nothing on its connections.
    Silent,
    /// It accepts no connection.
    Unreachable,
};

/// Tracks load, failures and suspicions of the directory's targets, and chooses targets for requests.
class ForwardTargets
{
public:
    explicit ForwardTargets(ForwardTargetsOptions options);

    /// Recomputes the targets' throughput if the engine profiles of the services have changed.
    void configurationChanged(const SharedConfiguration &configuration, ChainRouter &router);
    void listed(const DirectoryTarget &target, ChainRouter &router);
    void unlisted(const TargetId &target, ChainRouter &router);
    /// Ends expired suspicions.
    void tick(ChainRouter &router, TimePoint now);

    /// Suspects a target that has rejected a request for the period that `kind` has in the options.
    void recordRejection(const TargetId &target, RejectionKind kind, ChainRouter &router, TimePoint now);

    /// Suspects a target that did not respond, and marks it as unresponsive until `period` has passed or, if it was
    /// silent, until it responds.
    void markUnresponsive(
        const TargetId &target, UnresponsiveCause cause, Duration period, ChainRouter &router, TimePoint now);

    /// Ends what `markUnresponsive` recorded, since the target was not at fault.
    void clearUnresponsive(const TargetId &target, ChainRouter &router);

    /// Records that events of a response arrived, for which every target on its path has worked.
    void recordResponse(const ChosenTargets &chosen, ChainRouter &router);

    /// Records that the target stated in a response that it leaves. Holds until it starts again as a new process,
    /// whatever its directory record states.
    void recordLeaving(const TargetId &target, ChainRouter &router, TimePoint now);

    /// Records that the target wants no requests from this host for `period`. Ends early only if it starts again as a
    /// new process.
    void recordRest(const TargetId &target, Duration period, ChainRouter &router, TimePoint now);

    /// When the first of the service's resting targets can be used again; std::nullopt if none rests.
    [[nodiscard]] std::optional<TimePoint> firstRestEnd(const ServiceId &service) const;

    /// Records that the target reported its state.
    void recordReport(const TargetId &target, ChainRouter &router);

    /// Avoids the target, or ends that: it is used only where no other one can be. Nothing but the choice depends on
    /// it. Ends by itself if the target starts again as a new process.
    void setAvoided(const TargetId &target, bool isAvoided, ChainRouter &router);

    [[nodiscard]] bool isAvoided(const TargetId &target) const { return m_avoided.contains(target); }

    [[nodiscard]] bool isUnresponsive(const TargetId &target) const { return m_unresponsive.contains(target); }

    /// Whether the target is unresponsive for longer than a sound target may be silent.
    [[nodiscard]] bool isLost(const TargetId &target) const;

    [[nodiscard]] bool isSuspected(const TargetId &target) const
    {
        return m_suspectedUntil.contains(target) || m_unresponsive.contains(target);
    }

    /// Whether requests may be sent to the target.
    [[nodiscard]] bool isUsable(const TargetId &target) const
    {
        return !isLeaving(target) && !isSuspected(target) && !isResting(target);
    }

    /// Whether the target's record or one of its responses states that it leaves.
    [[nodiscard]] bool isLeaving(const TargetId &target) const;

    /// Whether the target has asked this host for a pause that is not over.
    [[nodiscard]] bool isResting(const TargetId &target) const;

    /// std::nullopt unless the target counts as unresponsive.
    [[nodiscard]] std::optional<UnresponsiveCause> unresponsiveCause(const TargetId &target) const;

    /// The listed target with this address; std::nullopt if there is none.
    [[nodiscard]] std::optional<TargetId> targetAt(const std::string &address) const;

    /// Returns std::nullopt if no target, or no chain of targets with all layers, is available.
    [[nodiscard]] std::optional<ChosenTargets> choose(const ServiceId &service,
                                                      const ForwardRequest &request,
                                                      const ExcludedTargets &excluded,
                                                      ChainRouter &router,
                                                      TimePoint now);

    /// The router's request for a chain of the service's engines; std::nullopt for a service without engines.
    [[nodiscard]] std::optional<RouteRequest>
    chainRequest(const ServiceId &service, const ForwardRequest &request, const ExcludedTargets &excluded) const;

    /// Records that a request was sent to these targets, or that it ended there.
    void recordStart(const ChosenTargets &chosen, ChainRouter &router);
    void recordEnd(ChosenTargets &chosen, ChainRouter &router);
    /// Records that the targets have read the request's prompt.
    static void recordPromptRead(ChosenTargets &chosen, ChainRouter &router);
    /// Records a failed request, which lowers the target's rank in the choice for plain services.
    void recordFailure(const TargetId &target, TimePoint now);

    [[nodiscard]] const std::map<TargetId, DirectoryTarget> &targets() const { return m_targets; }

private:
    /// What a target process stated in its responses. Kept while its directory record is missing.
    struct Statement
    {
        IncarnationNumber incarnation;
        bool leaving = false;
        std::optional<TimePoint> restsUntil;
        TimePoint at{};
    };

    struct Unresponsive
    {
        UnresponsiveCause cause = UnresponsiveCause::Silent;
        TimePoint since;
        TimePoint until;
    };

    struct Load
    {
        double inProgress = 0;
        /// Decayed number of failures at `failedAt`.
        double failures = 0;
        TimePoint failedAt{};
    };

    /// Excludes the target from new requests for `period`.
    void suspect(const TargetId &target, Duration period, ChainRouter &router, TimePoint now);
    /// The current statement of the listed target.
    [[nodiscard]] Statement &statementOf(const DirectoryTarget &target, TimePoint now);
    /// Ends rests and forgets statements of targets that are long gone.
    void expireStatements(ChainRouter &router, TimePoint now);
    void updateRouter(const DirectoryTarget &target, ChainRouter &router) const;
    void updateAvailability(const TargetId &target, ChainRouter &router) const;
    [[nodiscard]] std::optional<ChosenTargets>
    choosePlain(const ServiceId &service, const ExcludedTargets &excluded, TimePoint now);
    [[nodiscard]] std::optional<ChosenTargets>
    chooseChain(const RouteRequest &request, ChainRouter &router, TimePoint now) const;
    [[nodiscard]] double recentFailures(const Load &load, TimePoint now) const;

    ForwardTargetsOptions m_options;
    Random m_random;
    SharedConfiguration m_configuration;
    std::map<TargetId, DirectoryTarget> m_targets;
    std::map<TargetId, TimePoint> m_suspectedUntil;
    /// The targets that did not respond.
    std::map<TargetId, Unresponsive> m_unresponsive;
    std::set<TargetId> m_avoided;
    /// Time of the last tick.
    TimePoint m_now{};
    /// The services of all configurations, so that requests of a service that is no longer configured can be completed.
    std::map<ServiceId, ServiceDescription> m_services;
    /// How long a target may read a prompt that is not long, by service.
    std::map<ServiceId, Duration> m_longPromptReads;
    std::map<TargetId, Statement> m_statements;
    std::map<TargetId, Load> m_loads;
};

/// Throughput of an accelerator of this kind in layers times tokens per second, over a request of mean length.
[[nodiscard]] double layerTokensPerSecond(const EngineProfile &engine, const AcceleratorKind &kind);

/// Memory that the held layers occupy.
[[nodiscard]] ByteCount heldBytes(const EngineProfile &engine, const std::vector<ModelLayers> &held);

/// The model id by which the router knows a service's model: the service's id, since two services may have models of
/// the same name.
[[nodiscard]] ModelId routedModel(const ServiceId &service);

} // namespace Carawaymill

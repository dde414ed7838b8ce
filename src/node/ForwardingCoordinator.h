#pragma once

#include "forwarding/ConfigurationReplica.h"
#include "forwarding/DirectoryReplica.h"
#include "forwarding/ForwardMetrics.h"
#include "forwarding/Forwarder.h"
#include "forwarding/HostRegistry.h"
#include "forwarding/LoadExchange.h"
#include "forwarding/RelayedWatchClient.h"
#include "forwarding/RelayedWatchServer.h"
#include "forwarding/ServiceBackoff.h"
#include "forwarding/WatchSources.h"
#include "node/NodeContext.h"
#include "node/NodeMessages.h"
#include "node/NodeOptions.h"
#include "node/PlacementCoordinator.h"
#include "quarantine/CondemnedTraitRegister.h"

#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// Forwarding by published routes on this host: the configuration in force, the directory of targets, the register of
/// our own hosts, and the requests in progress.
class ForwardingCoordinator
{
public:
    explicit ForwardingCoordinator(const NodeOptions &options);

    void tick(NodeContext &context);
    void configurationReply(const KeyValueReply &reply, NodeContext &context);
    void directoryReply(const KeyValueReply &reply, NodeContext &context);
    void registryReply(const KeyValueReply &reply, NodeContext &context);
    void condemnedTraitsReply(const KeyValueReply &reply, NodeContext &context);
    void storeEraChanged(const StoreEraChanged &change, NodeContext &context);
    void configurationReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void loadReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void rangeReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void attributionReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void retryLoanReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void targetObservationReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void limitsReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    /// Informs the forwarder that the state of a host changed.
    void membersChanged(NodeContext &context);
    /// Dispatches an event of a forwarded request to the forwarder.
    void forward(const ForwarderEvent &event, NodeContext &context);
    /// Starts to drain: leaves the register, and refuses new requests once the drain accept period is over.
    void startDraining(TimePoint now);

    /// The host list read from the register, returned once after each change.
    [[nodiscard]] std::optional<HostListRead> takeHostList() { return std::exchange(m_hostList, std::nullopt); }

    /// Whether the host was in the host register when it was last read.
    [[nodiscard]] bool registered(const HostId &host) const { return m_registry.contains(host); }

    /// Whether requests can be admitted.
    [[nodiscard]] bool ready(TimePoint now) const;

    [[nodiscard]] std::size_t inProgress() const { return m_forwarder.inProgress(); }

    /// Counters and latencies in the Prometheus text exposition format.
    [[nodiscard]] std::string metrics(TimePoint now) const;

    /// Where a request would be routed now, and why. `router`: the one that is used for requests.
    [[nodiscard]] RouteExplanationResult
    explainRoute(const RouteQuestion &question, const ChainRouter &router, TimePoint now) const
    {
        return m_forwarder.explainRoute(question, m_configuration.fresh(now), router, now);
    }

    /// Returns true once after each change of the placement's demands.
    [[nodiscard]] bool takePlacementChange() { return std::exchange(m_placementChanged, false); }

    /// The placement's scopes and demands: one scope for each service that has engines.
    [[nodiscard]] PlacementScopes placementScopes() const;
    [[nodiscard]] std::vector<PlacementTarget> placementTargets(const LeaseScopeId &scope) const;
    /// Empty when the target is not listed.
    [[nodiscard]] std::string address(const TargetId &target) const;
    /// Sets the engine's free memory, which its own report leaves out, from its profile and held layers.
    [[nodiscard]] EngineState withFreeMemory(EngineState state) const;

private:
    void dispatchConfiguration(const ConfigurationReplicaEvent &event, NodeContext &context);
    void dispatchDirectory(const DirectoryReplicaEvent &event, NodeContext &context);
    void dispatchRegistry(const HostRegistryEvent &event, NodeContext &context);
    void dispatchCondemnedTraits(const CondemnedTraitRegisterEvent &event, NodeContext &context);
    void configurationChanged(const ConfigurationChanged &changed, NodeContext &context);
    /// The hosts other than this one that pass on requests.
    [[nodiscard]] std::vector<RelayHost> relayHosts(const std::vector<ListedHost> &hosts) const;
    /// Updates the candidates of `m_sources`.
    void setWatchSources(NodeContext &context);
    /// Sends a call for a range to another host of this failure domain, or to the key-value service. `terms`: which
    /// hosts have failed to answer it before.
    void issue(RelayedRange range, KeyValueCall call, const RelayTerms &terms, NodeContext &context);
    /// Whether the call was sent to the host.
    [[nodiscard]] bool relay(RelayedRange range,
                             const KeyValueCall &call,
                             const HostId &host,
                             const RelayTerms &terms,
                             NodeContext &context);
    /// Skips the host that failed, and sends the call elsewhere.
    void relayFailed(RelayedWatchFailed failed, NodeContext &context);
    void recordSource(RelayedRange range, const WatchSource &source, NodeContext &context);
    void issueToKeyValueService(RelayedRange range, KeyValueCall call, NodeContext &context);
    /// Records a reply of the key-value service for the hosts that relay their watches through this one.
    void recordReply(RelayedRange range, const KeyValueReply &reply, NodeContext &context);
    /// Begins or ends the backoff of this host's calls to the service.
    void updateBackoff(const KeyValueReply &reply, bool isRangeCall, NodeContext &context);
    void watchAnswered(RelayedRange range, const KeyValueReply &reply, NodeContext &context);
    static void send(const std::vector<SendRangeWatchMessage> &messages, NodeContext &context);
    /// Sends the load of this host's streams to other hosts, and applies the loads that they reported.
    void exchangeLoads(NodeContext &context);

    NodeOptions m_options;
    ConfigurationReplica m_configuration;
    DirectoryReplica m_directory;
    HostRegistry m_registry;
    CondemnedTraitRegister m_condemnedTraits;
    RelayedWatchClient m_watchClient;
    RelayedWatchServer m_watchServer;
    /// The latest call for each range that was sent to the key-value service.
    std::map<RelayedRange, RangeCall> m_latestCalls;
    WatchSources m_sources;
    ServiceBackoff m_serviceBackoff;
    LoadExchange m_loads;
    /// Number of hosts whose load is estimated, for the metrics.
    std::size_t m_estimatedHosts = 0;
    /// Prompt tokens times layers that this host has sent and targets have not read, for the metrics.
    double m_unreadPromptTokens = 0;
    Forwarder m_forwarder;
    ForwardMetrics m_metrics;
    TimePoint m_nextLoadExchangeAt{};
    std::optional<StoreEra> m_storeEra;
    std::optional<HostListRead> m_hostList;
    bool m_placementChanged = false;
};

} // namespace Carawaymill

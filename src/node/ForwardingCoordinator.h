#pragma once

#include "forwarding/ConfigurationReplica.h"
#include "forwarding/DirectoryReplica.h"
#include "forwarding/ForwardMetrics.h"
#include "forwarding/Forwarder.h"
#include "forwarding/HostRegistry.h"
#include "forwarding/LoadExchange.h"
#include "forwarding/RelayedWatchClient.h"
#include "forwarding/RelayedWatchServer.h"
#include "node/NodeContext.h"
#include "node/NodeMessages.h"
#include "node/NodeOptions.h"
#include "node/PlacementCoordinator.h"

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
    void configurationReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void loadReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void rangeReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    /// Any event of a request.
    void forward(const ForwarderEvent &event, NodeContext &context);
    /// The host shuts down: it soon takes no new requests any more.
    void startDraining(TimePoint now);

    /// The host list as it was last read from the register, once after each change.
    [[nodiscard]] std::optional<HostListRead> takeHostList() { return std::exchange(m_hostList, std::nullopt); }

    /// Whether the host is on the register, by its last reading.
    [[nodiscard]] bool registered(const HostId &host) const { return m_registry.contains(host); }

    /// Whether requests can be admitted.
    [[nodiscard]] bool ready(TimePoint now) const;

    [[nodiscard]] std::size_t inProgress() const { return m_forwarder.inProgress(); }

    /// Counters and latencies in the usual text format.
    [[nodiscard]] std::string metrics(TimePoint now) const;

    /// True once after each change of what placement depends on.
    [[nodiscard]] bool takePlacementChange() { return std::exchange(m_placementChanged, false); }

    /// What is to be placed: a scope for each service that has engines.
    [[nodiscard]] PlacementScopes placementScopes() const;
    [[nodiscard]] std::vector<PlacementTarget> placementTargets(const LeaseScopeId &scope) const;
    /// Empty when the target is not listed.
    [[nodiscard]] std::string address(const TargetId &target) const;
    /// Fills in what an engine's own report leaves out.
    [[nodiscard]] EngineState withFreeMemory(EngineState state) const;

private:
    void dispatchConfiguration(const ConfigurationReplicaEvent &event, NodeContext &context);
    void dispatchDirectory(const std::variant<Tick, KeyValueReply> &event, NodeContext &context);
    void dispatchRegistry(const std::variant<Tick, KeyValueReply> &event, NodeContext &context);
    void configurationChanged(const ConfigurationChanged &changed, NodeContext &context);
    /// Has a call for a range answered by the collector of this failure domain, or by the service.
    void issue(RelayedRange range, KeyValueCall call, NodeContext &context);
    void issueToKeyValueService(RelayedRange range, KeyValueCall call, NodeContext &context);
    /// Keeps what the service has answered for the hosts that ask this one.
    void recordReply(RelayedRange range, const KeyValueReply &reply, NodeContext &context);
    void watchAnswered(RelayedRange range, const KeyValueReply &reply, NodeContext &context);
    static void send(const std::vector<SendRangeWatchMessage> &messages, NodeContext &context);
    /// Tells the other hosts what this host's streams take up, and takes in what they told.
    void exchangeLoads(NodeContext &context);

    NodeOptions m_options;
    ConfigurationReplica m_configuration;
    DirectoryReplica m_directory;
    HostRegistry m_registry;
    RelayedWatchClient m_watchClient;
    RelayedWatchServer m_watchServer;
    /// The latest call for each range that went to the service.
    std::map<RelayedRange, RangeCall> m_latestCalls;
    /// The host that watches and counts for all of this failure domain; empty before any host is known.
    HostId m_collector;
    LoadExchange m_loads;
    Forwarder m_forwarder;
    ForwardMetrics m_metrics;
    TimePoint m_nextLoadExchangeAt{};
    std::optional<HostListRead> m_hostList;
    bool m_placementChanged = false;
};

} // namespace Carawaymill

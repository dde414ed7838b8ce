#pragma once

#include "administration/AdministrationApi.h"
#include "catalogue/CatalogueEditor.h"
#include "catalogue/CatalogueReplica.h"
#include "node/CallCoordinator.h"
#include "node/DecisionLog.h"
#include "node/Fleet.h"
#include "node/ForwardingCoordinator.h"
#include "node/KeyValueCalls.h"
#include "node/LedgerCoordinator.h"
#include "node/NodeContext.h"
#include "node/NodeMessages.h"
#include "node/NodeOptions.h"
#include "node/NodeOutput.h"
#include "node/PlacementCoordinator.h"
#include "node/ScopeCoordinator.h"
#include "node/TargetTable.h"

#include <map>
#include <memory>
#include <vector>

namespace Carawaymill {

/// The logic of one entry host, without input and output.
///
/// A driver passes events to it and performs the actions that it returns: the daemon with sockets, the tests in virtual
/// time.
class Node
{
public:
    struct InvalidOptions
    {
        std::string field;
    };

    [[nodiscard]] static Result<std::unique_ptr<Node>, InvalidOptions> create(NodeOptions options, TimePoint now);

    [[nodiscard]] std::vector<NodeAction> handle(const NodeEvent &event, TimePoint now);

    /// Whether the host may be given new requests.
    [[nodiscard]] bool ready(TimePoint now) const;

    /// Requests of callers that are not answered yet.
    [[nodiscard]] std::size_t requestsInProgress() const { return m_calls.inProgress(); }

    /// Whether a drain was requested and no work is left.
    [[nodiscard]] bool drained() const;

    [[nodiscard]] const CatalogueReplica &catalogue() const { return m_catalogue; }

    /// Regions whose placement this host decides.
    [[nodiscard]] std::size_t placementRegionsHeld(TimePoint now) const;

    /// Counters and latencies in the Prometheus text exposition format; empty where no requests are forwarded by
    /// published routes.
    [[nodiscard]] std::string metrics(TimePoint now) const;

    /// Responds to the query of `explain-route` with this target (path and query); changes nothing.
    [[nodiscard]] HttpResponse explainRoute(const std::string &target, TimePoint now) const;

    [[nodiscard]] const LedgerCoordinator &ledger() const { return m_ledger; }

private:
    /// The slices that a node is made of.
    struct Parts
    {
        CatalogueReplica catalogue;
        Fleet fleet;
        AdministrationApi administration;
        ScopeCoordinator scopes;
        LedgerCoordinator ledger;
        CallCoordinator calls;
    };

    [[nodiscard]] static Result<Parts, InvalidOptions> createParts(const NodeOptions &options, TimePoint now);
    Node(NodeOptions options, Parts parts);

    void on(const Tick &event, NodeContext &context);
    void on(const CallerRequest &event, NodeContext &context);
    void on(const CallerDisconnected &event, NodeContext &context);
    void on(const OperatorRequest &event, NodeContext &context);
    void on(const StepReturned &event, NodeContext &context);
    void on(const StreamStatusReturned &event, NodeContext &context);
    void on(const TargetReported &event, NodeContext &context);
    void on(const TargetCallReturned &event, NodeContext &context);
    void on(const OrderReturned &event, NodeContext &context);
    void on(const KeyValueReply &event, NodeContext &context);
    void on(const HostListRead &event, NodeContext &context);
    void on(const PeerMessage &event, NodeContext &context);
    void on(const DrainRequested &event, NodeContext &context);
    void on(const DrainTimeoutReached &event, NodeContext &context);
    template<typename ForwardEvent>
    void on(const ForwardEvent &event, NodeContext &context);

    /// The part of a tick that belongs to requests of the catalogue's entries.
    void tickCatalogue(NodeContext &context);
    /// The part of a tick that belongs to requests which are forwarded by published routes.
    void tickForwarding(NodeContext &context);
    [[nodiscard]] PlacementSource placementSource() const;
    void hostListChanged(const HostListRead &list, NodeContext &context);

    void dispatchCatalogue(const CatalogueReplicaEvent &event, NodeContext &context);
    void dispatchEditor(const CatalogueEditorEvent &event, NodeContext &context);
    void dispatchAdministration(const AdministrationEvent &event, NodeContext &context);
    void handleQuery(const AdministrationQuery &query, NodeContext &context);
    [[nodiscard]] nlohmann::json statusReport(TimePoint now) const;
    void readUsage(const AdministrationQuery &query, NodeContext &context);
    [[nodiscard]] AdministrationAnswer usageResponse(const KeyValueReply &reply);
    void respondToHealthCheck(const CallerRequest &event, NodeContext &context);
    void storeEraChanged(const StoreEraChanged &change, NodeContext &context);
    /// Informs the slices that the state of a host changed.
    void membersChanged(NodeContext &context);
    void targetsFailed(const std::vector<TargetFailure> &died, NodeContext &context);
    /// Updates the scope coordinator with the existing scopes and the hosts that may hold them.
    void refreshScopes(NodeContext &context);
    /// Dispatches acquired and lost scopes to the ledger and the placement.
    void dispatchScopeChanges(NodeContext &context);

    NodeOptions m_options;
    DecisionLog m_decisions;
    KeyValueCalls m_keyValue;
    CatalogueReplica m_catalogue;
    CatalogueEditor m_editor;
    Fleet m_fleet;
    AdministrationApi m_administration;
    ScopeCoordinator m_scopes;
    LedgerCoordinator m_ledger;
    CallCoordinator m_calls;
    TargetTable m_targets;
    /// Null unless requests are forwarded by published routes.
    std::unique_ptr<ForwardingCoordinator> m_forwarding;
    PlacementCoordinator m_placement;
    /// Operators' requests by the ids under which they were dispatched to the administration.
    std::map<CallId, RequestId> m_operatorRequests;
    CallId m_lastOperatorCall;
    /// Operators' usage queries by the key-value call that reads the usage.
    std::map<CallId, CallId> m_usageQueries;
    CallId m_lastUsageCall;
    /// Whether the other hosts are known, from the settings or from the platform's host list.
    bool m_hostsKnown = false;
    bool m_draining = false;
};

} // namespace Carawaymill

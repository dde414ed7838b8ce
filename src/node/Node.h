#pragma once

#include "administration/AdministrationApi.h"
#include "catalogue/CatalogueEditor.h"
#include "catalogue/CatalogueReplica.h"
#include "node/CallerGate.h"
#include "node/DecisionLog.h"
#include "node/Fleet.h"
#include "node/ModelJobs.h"
#include "node/NodeMessages.h"
#include "node/NodeOptions.h"
#include "node/NodeOutput.h"
#include "node/TargetTable.h"

#include <map>
#include <memory>
#include <vector>

namespace Carawaymill {

/// All decisions of one entry host, without input and output.
///
/// A driver feeds it what happens and carries out what it returns: the daemon with sockets, the tests in virtual time.
class Node
{
public:
    struct InvalidOptions
    {
        std::string field;
    };

    [[nodiscard]] static Result<std::unique_ptr<Node>, InvalidOptions> create(NodeOptions options);

    [[nodiscard]] std::vector<NodeAction> handle(const NodeEvent &event, TimePoint now);

    /// Whether the host may be given new requests.
    [[nodiscard]] bool ready(TimePoint now) const;
    /// Requests of callers that are not answered yet.
    [[nodiscard]] std::size_t requestsInProgress() const;

    /// Whether a drain was asked for and nothing is left to finish.
    [[nodiscard]] bool drained() const { return m_draining && requestsInProgress() == 0; }

    [[nodiscard]] const CatalogueReplica &catalogue() const { return m_catalogue; }

private:
    /// The slices that make calls to the key-value service.
    enum class Slice {
        Catalogue,
        CatalogueEditor,
    };

    struct SliceCall
    {
        Slice slice = Slice::Catalogue;
        CallId id;
    };

    Node(NodeOptions options, CatalogueReplica catalogue, Fleet fleet, AdministrationApi administration);

    void on(const Tick &event, TimePoint now, NodeOutput &output);
    void on(const CallerRequest &event, TimePoint now, NodeOutput &output);
    void on(const CallerDisconnected &event, TimePoint now, NodeOutput &output);
    void on(const OperatorRequest &event, TimePoint now, NodeOutput &output);
    void on(const StepReturned &event, TimePoint now, NodeOutput &output);
    void on(const StreamStatusReturned &event, TimePoint now, NodeOutput &output);
    void on(const TargetReported &event, TimePoint now, NodeOutput &output);
    void on(const TargetReturned &event, TimePoint now, NodeOutput &output);
    void on(const OrderReturned &event, TimePoint now, NodeOutput &output);
    void on(const KeyValueReply &event, TimePoint now, NodeOutput &output);
    void on(const HostListRead &event, TimePoint now, NodeOutput &output);
    void on(const PeerMessage &event, TimePoint now, NodeOutput &output);
    void on(const DrainRequested &event, TimePoint now, NodeOutput &output);

    void callKeyValue(Slice slice, KeyValueCall call, NodeOutput &output);
    void feedCatalogue(const CatalogueReplicaEvent &event, TimePoint now, NodeOutput &output);
    /// Tells the slices that some host's state changed.
    void membersChanged(TimePoint now, NodeOutput &output);
    void targetsDied(const std::vector<TargetDied> &died, TimePoint now, NodeOutput &output);
    void feedEditor(const CatalogueEditorEvent &event, TimePoint now, NodeOutput &output);
    void feedAdministration(const AdministrationEvent &event, TimePoint now, NodeOutput &output);
    void answerQuery(const AdministrationQuery &query, TimePoint now, NodeOutput &output);
    [[nodiscard]] nlohmann::json statusReport(TimePoint now) const;
    void answerHealth(const CallerRequest &event, TimePoint now, NodeOutput &output);
    void startCompletion(const CallerRequest &event, bool chat, TimePoint now, NodeOutput &output);
    [[nodiscard]] JobId nextJobId();

    NodeOptions m_options;
    DecisionLog m_decisions;
    CatalogueReplica m_catalogue;
    Fleet m_fleet;
    CatalogueEditor m_editor;
    AdministrationApi m_administration;
    /// Operators' requests by the ids that the administration knows them by.
    std::map<CallId, RequestId> m_operatorRequests;
    CallId m_lastOperatorCall;
    TargetTable m_targets;
    ModelJobs m_modelJobs;
    CallerGate m_gate;
    std::map<CallId, SliceCall> m_keyValueCalls;
    CallId m_lastKeyValueCall;
    std::uint64_t m_lastJob = 0;
    bool m_draining = false;
};

} // namespace Carawaymill

#pragma once

#include "catalogue/CatalogueReplica.h"
#include "node/NodeOutput.h"
#include "routing/ChainRouter.h"
#include "routing/TargetMonitor.h"

#include <map>
#include <string>
#include <vector>

namespace Carawaymill {

/// A target is lost: its streams, if any, are gone.
struct TargetFailure
{
    TargetId target;
    /// Its process ended or was restarted, as against a target that is only silent or was withdrawn.
    bool processTerminated = false;
};

/// Keeps the router's and the monitor's view of the targets in step with the catalogue, the polls and the host list.
class TargetTable
{
public:
    TargetTable(ChainRouterOptions router, TargetMonitorOptions monitor);

    /// The catalogue's targets changed.
    void setDeclaredTargets(const CatalogueReplica &catalogue, TimePoint now, NodeOutput &output);
    /// These return the targets whose process died.
    [[nodiscard]] std::vector<TargetFailure> hostListRead(const HostListRead &list, TimePoint now, NodeOutput &output);
    [[nodiscard]] std::vector<TargetFailure>
    targetReported(const TargetReported &report, TimePoint now, NodeOutput &output);
    [[nodiscard]] std::vector<TargetFailure> tick(TimePoint now, NodeOutput &output);

    /// A job had trouble with the target.
    void suspect(const TargetId &target, TimePoint now, NodeOutput &output);

    /// A reserved target is used only for layers that no other holds.
    void setReserved(const TargetId &target, bool reserved);
    /// Whether the engine had nothing to do when it last targetReported.
    [[nodiscard]] bool idle(const TargetId &target) const;

    [[nodiscard]] ChainRouter &router() { return m_router; }

    [[nodiscard]] TargetAvailability availability(const TargetId &target) const
    {
        return m_monitor.availability(target);
    }

    /// Empty when the target isn't declared.
    [[nodiscard]] std::string address(const TargetId &target) const;
    /// What the engine last said that it holds; null when it never did.
    [[nodiscard]] const EngineState *state(const TargetId &target) const;
    [[nodiscard]] std::vector<TargetId> targets() const;

private:
    struct DeclaredTarget
    {
        TargetRecord record;
        std::optional<EngineState> state;
        LoadReport load;
        bool reserved = false;
    };

    std::vector<TargetFailure> perform(const std::vector<TargetMonitorAction> &actions, NodeOutput &output);
    void updateRouter(const DeclaredTarget &known);
    void updateAvailability(const DeclaredTarget &known);

    ChainRouter m_router;
    TargetMonitor m_monitor;
    std::map<TargetId, DeclaredTarget> m_targets;
};

} // namespace Carawaymill

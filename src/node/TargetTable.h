#pragma once

#include "catalogue/CatalogueReplica.h"
#include "node/NodeOutput.h"
#include "routing/ChainRouter.h"
#include "routing/TargetMonitor.h"

#include <map>
#include <string>
#include <vector>

namespace Carawaymill {

/// A target was declared dead or has restarted: its streams are lost.
struct TargetFailure
{
    TargetId target;
    /// Whether its process ended or was restarted; false when the target is only unresponsive or was withdrawn.
    bool processTerminated = false;
};

/// Updates the router and the monitor from the catalogue's targets, the polls of targets and the host list.
class TargetTable
{
public:
    TargetTable(ChainRouterOptions router, TargetMonitorOptions monitor);

    /// Adds, updates and removes targets to match the catalogue.
    void setDeclaredTargets(const CatalogueReplica &catalogue, TimePoint now, NodeOutput &output);
    /// The following functions that handle events return the targets whose streams were lost.
    [[nodiscard]] std::vector<TargetFailure> hostListRead(const HostListRead &list, TimePoint now, NodeOutput &output);
    [[nodiscard]] std::vector<TargetFailure>
    targetReported(const TargetReported &report, TimePoint now, NodeOutput &output);
    [[nodiscard]] std::vector<TargetFailure> tick(TimePoint now, NodeOutput &output);

    /// Reports that a job lost a stage at the target.
    void suspect(const TargetId &target, TimePoint now, NodeOutput &output);

    /// The router treats an available but reserved target as suspect, and so avoids it where others hold the layers.
    void setReserved(const TargetId &target, bool reserved);
    /// Whether the target's last load report had no running or queued steps; true before its first report, and false
    /// for undeclared targets.
    [[nodiscard]] bool idle(const TargetId &target) const;

    [[nodiscard]] ChainRouter &router() { return m_router; }

    [[nodiscard]] const ChainRouter &router() const { return m_router; }

    [[nodiscard]] TargetAvailability availability(const TargetId &target) const
    {
        return m_monitor.availability(target);
    }

    /// Empty when the target isn't declared.
    [[nodiscard]] std::string address(const TargetId &target) const;
    /// The engine's last reported state; null before its first report.
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

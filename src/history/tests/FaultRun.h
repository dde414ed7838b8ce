#pragma once

#include "HistoryRecorder.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

/// What may go wrong, or be done by operators, during a run.
enum class Fault {
    EngineDies,
    EngineFallsSilent,
    EngineLeaves,
    ServiceDies,
    ServiceFallsSilent,
    ServiceAnswersLost,
    HostDies,
    HostFreezes,
    HostShutsDown,
    HostCutFromStore,
    HostCutFromPeers,
    StoreOutage,
    StoreSlow,
    StoreAnswersLost,
    PoisonousRequest,
    OperatorsRace,
    HostLeaves,
};

inline constexpr std::size_t faultKinds = 17;
/// The first so many kinds are drawn. To draw the last as well changes every plan, and brings up the lost bill that
/// KNOWN-RED.txt names, so that case has a test of its own first.
inline constexpr std::size_t drawnKinds = 16;

[[nodiscard]] const char *faultName(Fault fault);

struct PlannedFault
{
    Fault fault = Fault::EngineDies;
    /// Since the load began.
    Duration at{};
    Duration length{};
};

/// Everything that one run is drawn from.
struct FaultPlan
{
    std::uint64_t seed = 1;
    std::vector<PlannedFault> faults;
    /// Requests that are sent at once when the first fault begins.
    std::size_t burst = 0;
    /// Limit of the callers' organisation, in requests a second, of which they send three times as many. Absent: the
    /// limits are wide.
    std::optional<double> limit;
};

/// Draws one, two or three faults, which may overlap.
[[nodiscard]] FaultPlan drawPlan(std::uint64_t seed, std::size_t kinds = drawnKinds);
[[nodiscard]] std::string describe(const FaultPlan &plan);

/// One run of four hosts under load, with the faults of a plan, until all has been answered.
class FaultRun
{
public:
    FaultRun(FaultPlan plan, NodeSimulationOptions options);

    [[nodiscard]] History run();

    [[nodiscard]] const NodeSimulation &world() const { return m_world; }

private:
    void advance(Duration duration);
    void later(Duration delay, std::function<void()> action);
    void limitRequests(double requestsPerSecond);
    void sendRequest();
    [[nodiscard]] Duration pauseBetweenRequests();
    void sendServiceRequest(const std::string &host);
    /// Sends the request, and sends it again from elsewhere as an impatient caller does.
    void callService(const std::string &host, HttpRequest request, int repeats);
    void askUsage();
    void begin(const PlannedFault &fault);
    void serviceFault(const PlannedFault &fault);
    void engineFault(const PlannedFault &fault);
    void hostFault(const PlannedFault &fault);
    void storeFault(const PlannedFault &fault);
    void shutDown(const std::string &host);
    void raceOperators();
    /// Sends the edit, and sends it again while its outcome is unknown.
    void edit(const std::string &host, const HttpRequest &request, Revision expected, int triesLeft);
    /// A host that the balancer knows.
    [[nodiscard]] std::string drawListedHost();
    [[nodiscard]] std::string drawHost();
    [[nodiscard]] bool allEnded() const;

    FaultPlan m_plan;
    Random m_random;
    NodeSimulation m_world;
    HistoryRecorder m_recorder;
    std::multimap<TimePoint, std::function<void()>> m_later;
    /// Hosts that the balancer sends nothing to.
    std::set<std::string> m_unlistedHosts;
    /// Hosts that already have a fault.
    std::set<std::string> m_faultyHosts;
    std::size_t m_edits = 0;
};

} // namespace Carawaymill

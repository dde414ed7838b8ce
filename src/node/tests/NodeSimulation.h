#pragma once

#include "enginestandin/EngineCore.h"
#include "node/Node.h"
#include "standins/KeyValueStore.h"
#include "support/Random.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace Carawaymill {

/// One request of a caller or operator, and its response as far as it was received.
struct CallerView
{
    std::string host;
    HttpRequest request;
    TimePoint sentAt{};
    /// When the response was complete or the connection was lost.
    std::optional<TimePoint> answeredAt;
    std::optional<HttpResponse> response;
    std::string streamed;
    bool streamEnded = false;
    /// Whether the connection was lost, or the host crashed, before the response was complete.
    bool cut = false;

    [[nodiscard]] bool answered() const { return response.has_value() || streamEnded; }
};

/// A stream that a host requested an engine to begin.
struct StreamBegun
{
    TargetId target;
    JobId job;
    /// Present for the first stage of a chain only.
    std::optional<std::string> prompt;
    /// When the host sent the first step of the stream.
    TimePoint at{};
};

/// The layers that one incarnation of an engine ran.
struct EngineLog
{
    TargetId target;
    IncarnationNumber incarnation;
    std::vector<LayerRun> runs;
};

/// Whether a host is up, and the faults that are injected into it.
struct HostCondition
{
    bool up = true;
    bool frozen = false;
    bool cutFromService = false;
    bool cutFromPeers = false;
    /// Counts starts and ends of the process.
    std::uint64_t starts = 0;
};

/// One run of a request by a plain service.
struct ServiceRun
{
    TargetId target;
    HttpRequest request;
    TimePoint at{};
};

struct NodeSimulationOptions
{
    std::size_t hosts = 4;
    std::uint64_t seed = 1;
    /// Probabilities that a peer message is lost, and that it is delivered twice.
    double peerLoss = 0;
    double peerDuplication = 0;
    /// Replace actions and events of a host, to check that tests detect a faulty implementation.
    std::function<std::vector<NodeAction>(const std::string &, NodeAction)> replaceAction;
    std::function<NodeEvent(const std::string &, NodeEvent)> replaceEvent;
};

/// A few nodes with stand-in engines, services and key-value service, in virtual time and one thread.
class NodeSimulation
{
public:
    explicit NodeSimulation(NodeSimulationOptions options);

    /// Writes a record directly to the store, as an operator's edit is stored.
    void seed(const CatalogueRecord &record);
    /// Seeds a small catalogue: organisations `thermal-ridge` and `hibana` (tokens `ridge-token`, `hibana-token`),
    /// their entries `flight-summary` and `handover`, the service entries `tow-billing` and `booking`, and all targets
    /// added so far.
    void seedCatalogue();
    void addEngine(const std::string &target, LayerRange layers, const std::string &failureDomain = "fukuoka");
    void addService(const std::string &target);

    void run(Duration duration);
    /// Runs until the condition holds or `limit` has passed; returns whether it holds.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    [[nodiscard]] std::size_t call(const std::string &host, HttpRequest request);
    [[nodiscard]] std::size_t complete(const std::string &host, const std::string &prompt, bool stream = false);
    [[nodiscard]] std::size_t callService(const std::string &host,
                                          const std::string &entry,
                                          const std::string &method,
                                          const std::string &body,
                                          const std::string &idempotencyKey = {});
    [[nodiscard]] std::size_t operate(const std::string &host, HttpRequest request);

    [[nodiscard]] const CallerView &view(std::size_t call) const { return m_views.at(call); }

    [[nodiscard]] const std::vector<CallerView> &views() const { return m_views; }

    void disconnectCaller(std::size_t call);

    void killHost(const std::string &host);
    /// Starts the host as a new process without any state.
    void startHost(const std::string &host);

    void freezeHost(const std::string &host) { hostNamed(host).frozen = true; }

    void thawHost(const std::string &host);
    void drainHost(const std::string &host);

    void cutService(const std::string &host, bool cut) { hostNamed(host).cutFromService = cut; }

    void cutPeers(const std::string &host, bool cut) { hostNamed(host).cutFromPeers = cut; }

    void killTarget(const std::string &target);
    void startTarget(const std::string &target);

    /// The target receives requests and runs them, but its responses are lost.
    void setTargetUnresponsive(const std::string &target, bool unresponsive)
    {
        m_targets.at(target).unresponsive = unresponsive;
    }

    /// The connection breaks after the target has run each of the next `count` calls.
    void loseNextServiceResponses(const std::string &target, std::uint32_t count)
    {
        m_targets.at(target).responsesToLose = count;
    }

    void listHost(const std::string &host, HostListState state) { m_listed[host] = state; }

    void listTarget(const std::string &target, HostListState state) { m_listedTargets[target] = state; }

    [[nodiscard]] Node &node(const std::string &host) { return *hostNamed(host).node; }

    [[nodiscard]] bool isUp(const std::string &host) { return hostNamed(host).node != nullptr; }

    /// Adds a delay to each further call to the key-value service.
    void setStoreDelay(Duration delay) { m_storeDelay = delay; }

    [[nodiscard]] KeyValueStore &store() { return m_store; }

    [[nodiscard]] TimePoint now() const { return m_now; }

    [[nodiscard]] const std::vector<std::string> &log() const { return m_log; }

    [[nodiscard]] HostCondition condition(const std::string &host) const;

    [[nodiscard]] std::vector<LayerRun> layerRuns() const;

    [[nodiscard]] std::vector<EngineLog> engineLogs() const;

    [[nodiscard]] const std::vector<StreamBegun> &streamsBegun() const { return m_streamsBegun; }

    [[nodiscard]] const std::vector<ServiceRun> &serviceRuns() const { return m_serviceRuns; }

    [[nodiscard]] std::vector<std::string> hosts() const;

    [[nodiscard]] std::uint64_t peerMessages() const { return m_peerMessages; }

    [[nodiscard]] std::size_t targetCrashes() const { return m_targetCrashes; }

    /// A prompt with this word in it crashes any engine that runs it.
    static constexpr const char *poison = "poisonous";

    [[nodiscard]] static std::string expectedAnswer(const std::string &prompt);

private:
    struct Host
    {
        std::string name;
        std::unique_ptr<Node> node;
        std::uint64_t starts = 0;
        bool frozen = false;
        bool cutFromService = false;
        bool cutFromPeers = false;
        TimePoint nextTick{};
        std::map<RequestId, std::size_t> calls;
        std::vector<NodeEvent> deferredEvents;
    };

    struct Target
    {
        TargetRecord record;
        EngineCoreOptions engineOptions;
        std::optional<EngineCore> engine;
        bool up = true;
        bool unresponsive = false;
        std::uint32_t responsesToLose = 0;
        std::uint64_t starts = 1;
        std::map<std::uint64_t, std::function<void(StepResult)>> waiting;
    };

    struct ScheduledAction
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const ScheduledAction &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    [[nodiscard]] Host &hostNamed(const std::string &host) { return m_hosts.at(host); }

    [[nodiscard]] Target *targetAt(const std::string &address);
    void schedule(Duration delay, std::function<void()> action);
    void step();
    void dispatch(Host &host, const NodeEvent &event);
    /// Dispatches the event after the delay, unless the host was restarted in the meantime.
    void dispatchLater(Host &host, Duration delay, NodeEvent event);
    void perform(Host &host, Respond &action);
    void perform(Host &host, BeginStream &action);
    void perform(Host &host, WriteStream &action);
    void perform(Host &host, EndStream &action);
    void perform(Host &host, RunStep &action);
    void perform(Host &host, RequestStreamStatus &action);
    void perform(Host &host, DropStream &action);
    void perform(Host &host, RequestTargetReport &action);
    void perform(Host &host, CallTarget &action);
    void perform(Host &host, SendOrder &action);
    void perform(Host &host, KeyValueCall &action);
    void perform(Host &host, SendToPeer &action);
    void perform(Host &host, WriteLog &action);

    /// Fails the test: the nodes of this simulation serve catalogue entries and never forward by published routes.
    template<typename ForwardingAction>
    void perform(Host & /*host*/, ForwardingAction & /*action*/)
    {
        throw std::logic_error("an action that no node of this world may return");
    }

    void pollWatch(Host &host, std::uint64_t start, KeyValueCall call, TimePoint until);
    void advanceEngines();
    void readHostList();
    [[nodiscard]] NodeOptions optionsFor(const Host &host) const;

    NodeSimulationOptions m_options;
    Random m_random;
    TimePoint m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<ScheduledAction> m_scheduledActions;
    KeyValueStore m_store;
    Duration m_storeDelay{};
    std::map<std::string, Host> m_hosts;
    std::map<std::string, Target> m_targets;
    std::map<std::string, HostListState> m_listed;
    std::map<std::string, HostListState> m_listedTargets;
    TimePoint m_nextHostList{};
    std::vector<CallerView> m_views;
    std::vector<ServiceRun> m_serviceRuns;
    std::vector<StreamBegun> m_streamsBegun;
    std::vector<EngineLog> m_terminatedEngineLogs;
    std::vector<std::string> m_log;
    RequestId m_lastRequest;
    std::uint64_t m_peerMessages = 0;
    std::size_t m_targetCrashes = 0;
};

} // namespace Carawaymill

#pragma once

#include "platformstandin/CallerStandIn.h"
#include "platformstandin/DaemonProcess.h"
#include "platformstandin/PlatformStandIn.h"
#include "platformstandin/TargetProcess.h"
#include "support/Random.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Carawaymill {

/// All or most engines are stopped for about a second while the configuration changes.
struct EnginesSilent
{
};

/// Hosts are killed one after the other and started again at once, while targets are killed too.
struct HostsKilled
{
};

/// Hosts are stopped with SIGTERM, the next one before the last one has ended, and started again.
struct HostsStopped
{
};

/// All hosts get SIGHUP again and again.
struct SettingsReloaded
{
};

/// The metadata store answers no call for some seconds.
struct StoreDown
{
};

/// A request crashes each target that begins to answer it, and comes again, also after all hosts were killed.
struct TargetsCrashed
{
};

/// Targets whose answers never end join the sound ones for some seconds.
struct EndlessAnswers
{
};

using FleetTrouble =
    std::variant<EnginesSilent, HostsKilled, HostsStopped, SettingsReloaded, StoreDown, TargetsCrashed, EndlessAnswers>;

struct SilentFleetOptions
{
    /// The daemon, and a program that serves as a TargetProcess.
    std::string daemon;
    std::string targetProgram;
    /// Whether the daemon's settings have the port at which a host passes on requests of others.
    bool relays = true;
    /// Folder for settings files and logs.
    std::string workFolder;
    std::uint64_t seed = 1;
    std::size_t hosts = 4;
    std::size_t engines = 13;
    double requestsPerSecond = 75;
    FleetTrouble trouble = EnginesSilent{};
    /// How often the trouble comes.
    std::size_t rounds = 4;
};

/// A fleet of daemons and targets as processes of their own, to which one kind of trouble comes again and again. Checks
/// the platform's rules on repeats and on lost requests.
class SilentFleet
{
public:
    explicit SilentFleet(SilentFleetOptions options);

    /// Plays all rounds. Returns whether no rule was broken.
    bool run();

private:
    struct Call
    {
        std::shared_ptr<CallerExchange> exchange;
        std::string path;
        std::size_t host = 0;
    };

    struct Host
    {
        std::string address;
        std::string settings;
        std::string log;
        std::unique_ptr<DaemonProcess> daemon;
        unsigned starts = 0;
        /// The balancer sends new connections.
        bool inRotation = true;
        std::optional<TimePoint> stoppedAt = std::nullopt;
        std::vector<TimePoint> killedAt = {};
    };

    struct Arrival
    {
        TargetId target;
        TargetArrival arrival;
    };

    /// The arrivals of each attempt at the targets of one service, in the order of time.
    using ArrivalsByAttempt = std::map<std::string, std::vector<Arrival>>;

    [[nodiscard]] bool startTargets();
    [[nodiscard]] bool startTarget(const ServiceId &service, bool isEngine);
    [[nodiscard]] bool startDaemons();
    [[nodiscard]] bool startDaemon(Host &host) const;
    [[nodiscard]] bool waitUntilServed();
    void load(Duration period);
    void runFor(Duration period);
    void recordTargets();
    /// Publishes the next version of the configuration, changed in one of three ways.
    void changeConfiguration(std::size_t kind);
    void play(const EnginesSilent &trouble, std::size_t round);
    void play(const HostsKilled &trouble, std::size_t round);
    void play(const HostsStopped &trouble, std::size_t round);
    void play(const SettingsReloaded &trouble, std::size_t round);
    void play(const StoreDown &trouble, std::size_t round);
    void play(const TargetsCrashed &trouble, std::size_t round);
    void play(const EndlessAnswers &trouble, std::size_t round);
    void killHost(Host &host);
    void stopHost(Host &host);
    /// Starts hosts again that have ended after stopHost(), and takes hosts that are stopping out of rotation.
    void replaceStoppedHosts();
    /// Kills a plain target and starts another one.
    void replacePlainTarget();
    /// Starts another target for each one that a request has crashed.
    void replaceCrashedTargets();
    void retire(std::unique_ptr<TargetProcess> target);
    [[nodiscard]] ArrivalsByAttempt arrivalsAt(const ServiceId &service) const;
    void checkRepeats(const ServiceId &service, const ArrivalsByAttempt &arrivals);
    void checkTargetsPerAttempt(const ArrivalsByAttempt &arrivals);
    void checkDeadlines(const ArrivalsByAttempt &arrivals);
    /// Checks in how many retries the request that crashes targets was sent after hosts could have known it.
    void checkCrashingRequest(const ArrivalsByAttempt &arrivals);
    void checkCalls();
    void checkLostCalls();
    void checkMemory();
    void check(bool holds, const std::string &promise);

    SilentFleetOptions m_options;
    Random m_random;
    boost::asio::io_context m_context;
    PlatformStandIn m_platform;
    CallerStandIn m_callers;
    PublishedConfiguration m_configuration;
    std::map<TargetId, ServiceId> m_services;
    std::vector<std::unique_ptr<TargetProcess>> m_targets;
    /// Targets that were killed or have crashed, for their arrivals.
    std::vector<std::unique_ptr<TargetProcess>> m_pastTargets;
    std::vector<TimePoint> m_crashes;
    std::size_t m_targetsStarted = 0;
    std::vector<Host> m_hosts;
    std::vector<Call> m_calls;
    TimePoint m_startedAt{};
    bool m_broken = false;
};

} // namespace Carawaymill

#pragma once

#include "platformstandin/CallerStandIn.h"
#include "platformstandin/DaemonProcess.h"
#include "platformstandin/PlatformStandIn.h"
#include "platformstandin/TargetProcess.h"
#include "support/Random.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaymill {

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
    /// How often all or most engines fall silent.
    std::size_t silences = 4;
};

/// A fleet of daemons whose engines, as processes of their own, are stopped for about a second again and again while
/// the configuration changes. Checks the platform's rules on repeats and on lost requests.
class SilentFleet
{
public:
    explicit SilentFleet(SilentFleetOptions options);

    /// Plays all silences. Returns whether no rule was broken.
    bool run();

private:
    struct Call
    {
        std::shared_ptr<CallerExchange> exchange;
        std::string path;
    };

    struct Arrival
    {
        TargetId target;
        TargetArrival arrival;
    };

    /// The arrivals of each attempt at the targets of one service, in the order of time.
    using ArrivalsByAttempt = std::map<std::string, std::vector<Arrival>>;

    [[nodiscard]] bool startTargets();
    [[nodiscard]] bool startDaemons();
    [[nodiscard]] bool waitUntilServed();
    void load(Duration period);
    void runFor(Duration period);
    void recordTargets();
    /// Publishes the next version of the configuration, changed in one of three ways.
    void changeConfiguration(std::size_t kind);
    void silence(std::size_t number);
    [[nodiscard]] ArrivalsByAttempt arrivalsAt(const ServiceId &service) const;
    void checkRepeats(const ServiceId &service, const ArrivalsByAttempt &arrivals);
    void checkTargetsPerAttempt(const ArrivalsByAttempt &arrivals);
    void checkDeadlines(const ArrivalsByAttempt &arrivals);
    void checkCalls();
    void check(bool holds, const std::string &promise);

    SilentFleetOptions m_options;
    Random m_random;
    boost::asio::io_context m_context;
    PlatformStandIn m_platform;
    CallerStandIn m_callers;
    PublishedConfiguration m_configuration;
    std::map<TargetId, ServiceId> m_services;
    std::vector<std::unique_ptr<TargetProcess>> m_targets;
    std::vector<std::string> m_hostAddresses;
    std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
    std::vector<Call> m_calls;
    TimePoint m_startedAt{};
    bool m_broken = false;
};

} // namespace Carawaymill

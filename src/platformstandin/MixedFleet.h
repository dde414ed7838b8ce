#pragma once

#include "platformstandin/CallerStandIn.h"
#include "platformstandin/DaemonProcess.h"
#include "platformstandin/PlatformStandIn.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Carawaymill {

/// One build of the daemon, and what its release knows.
struct DaemonBuild
{
    std::string program;
    /// Whether the settings have the port at which a host passes on requests of others.
    bool relays = true;
    /// Whether the release exchanges what crashed targets have in common.
    bool attributesCrashes = true;
};

struct MixedFleetOptions
{
    DaemonBuild oldBuild;
    DaemonBuild newBuild;
    /// Folder for settings files and logs.
    std::string workFolder;
};

/// A fleet of daemons on the platform's stand-in whose hosts are replaced one by one by another build, and back, while
/// callers, operators and targets go on. Records every promise that is broken.
class MixedFleet
{
public:
    explicit MixedFleet(MixedFleetOptions options);

    /// Plays the whole upgrade. Returns whether no promise was broken.
    bool run();

private:
    struct Host
    {
        std::string address;
        const DaemonBuild *build = nullptr;
        std::unique_ptr<DaemonProcess> daemon;
        unsigned starts = 0;
        /// Whether callers are sent to the host.
        bool inRotation = false;
    };

    struct Call
    {
        std::shared_ptr<CallerExchange> exchange;
        std::string path;
        std::size_t host = 0;
    };

    [[nodiscard]] bool startDaemon(Host &host, const DaemonBuild &build);
    /// Stops the host's daemon as the platform does, under load, and starts one of the build in its place.
    void replace(std::size_t host, const DaemonBuild &build);
    /// Changes a route and checks that all hosts follow within the platform's bound.
    void changeConfiguration();
    /// Lets a target leave and checks that it gets nothing after the platform's bound.
    void retireTarget();
    /// Sends a request that crashes the targets that run it to all hosts, and counts how often it is sent on.
    void crashTargets();
    TargetStandIn &addPlainTarget();
    /// Sends requests of every kind to the hosts in rotation for the period.
    void load(Duration period);
    /// Like load(), until the condition holds; returns whether it did within the limit.
    bool loadUntil(const std::function<bool()> &condition, Duration limit);
    bool runUntil(const std::function<bool()> &condition, Duration limit);
    [[nodiscard]] bool answers(const Host &host, const std::string &path, unsigned status);
    void checkCalls();
    void checkLogs();
    void check(bool holds, const std::string &promise);

    MixedFleetOptions m_options;
    boost::asio::io_context m_context;
    PlatformStandIn m_platform;
    CallerStandIn m_callers;
    PublishedConfiguration m_configuration;
    std::vector<Host> m_hosts;
    std::vector<TargetStandIn *> m_targets;
    std::vector<TargetStandIn *> m_plainTargets;
    std::vector<Call> m_calls;
    unsigned m_plainTargetsAdded = 0;
    bool m_broken = false;
};

} // namespace Carawaymill

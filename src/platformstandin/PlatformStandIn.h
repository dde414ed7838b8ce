#pragma once

#include "platformstandin/EndlessTargetStandIn.h"
#include "platformstandin/HostLinks.h"
#include "platformstandin/MetadataStoreStandIn.h"
#include "platformstandin/PublishedConfiguration.h"
#include "platformstandin/TargetStandIn.h"

#include <memory>
#include <optional>
#include <vector>

namespace Carawaymill {

/// Stand-in for the operators' platform: its metadata store, the targets that register there, and the operators'
/// configuration. Runs in the thread that runs the `io_context`.
class PlatformStandIn
{
public:
    explicit PlatformStandIn(boost::asio::io_context &context);
    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;
    ~PlatformStandIn();

    [[nodiscard]] MetadataStoreStandIn &store() { return m_store; }

    /// Writes the configuration to the store and keeps it.
    void publish(PublishedConfiguration configuration);

    /// Starts a target and registers it. The reference holds as long as the stand-in.
    TargetStandIn &addTarget(TargetStandInOptions options);

    /// Removes a target's record, as one that leaves does; the target serves on.
    void removeRecord(const TargetId &target);

    /// Starts a target whose answers never end, and registers it. The reference holds as long as the stand-in.
    EndlessTargetStandIn &addEndlessTarget(const TargetId &id, const ServiceId &service, EndlessResponse response);

    /// Adds links of their own for one host, which can be lost. The reference holds as long as the stand-in.
    HostLinks &addHostLinks();

    /// Returns the store to the copy that it kept; `rewriteDelay` later the operators and the targets write their
    /// records again.
    void returnStoreFromCopy(Duration rewriteDelay);

private:
    void tick();
    void writeConfiguration(TimePoint now);
    void writeRecord(const TargetStandIn &target, TimePoint now);

    boost::asio::io_context &m_context;
    MetadataStoreStandIn m_store;
    std::optional<PublishedConfiguration> m_configuration;
    std::vector<std::unique_ptr<TargetStandIn>> m_targets;
    std::vector<std::unique_ptr<EndlessTargetStandIn>> m_endlessTargets;
    std::vector<std::unique_ptr<HostLinks>> m_hostLinks;
    std::optional<TimePoint> m_rewriteAt;

    class Timer;
    std::unique_ptr<Timer> m_timer;
};

} // namespace Carawaymill

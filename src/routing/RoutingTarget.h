#pragma once

#include "routing/RoutingMessages.h"
#include "support/Time.h"

#include <optional>
#include <vector>

namespace Carawaymill {

/// What a step or a whole stage is expected to cost.
struct StageCost
{
    double secondsPerLayer = 0;
    /// Does not depend on the number of layers: waiting, transfer and delay.
    double secondsPerStage = 0;
    /// Layers of other open streams that the target is believed to have.
    double openLayers = 0;

    [[nodiscard]] double seconds(LayerRange layers) const { return secondsPerStage + secondsPerLayer * layers.size(); }
};

/// What has to be run on a target.
struct StageWork
{
    TokenCount tokens;
    /// Calls that each wait for the link's delay.
    std::uint64_t steps = 1;
    ByteCount activationBytes;
};

struct RoutingTargetOptions
{
    /// A load report older than this counts for nothing.
    Duration loadReportLifetime = std::chrono::seconds(10);
    /// In this time a measured slowdown loses half of its effect, so that a target that recovered is tried again.
    Duration slowdownHalfLife = std::chrono::seconds(30);
};

/// One target as the router knows it: its speed, its load as far as it can be told, and how it has done of late.
class RoutingTarget
{
public:
    RoutingTarget(TargetId id, RoutingTargetOptions options);

    [[nodiscard]] const TargetId &id() const { return m_id; }

    [[nodiscard]] const TargetSpeed &speed() const { return m_speed; }

    [[nodiscard]] const std::vector<HeldRange> &held() const { return m_held; }

    [[nodiscard]] TargetAvailability availability() const { return m_availability; }

    void setAvailability(TargetAvailability availability) { m_availability = availability; }

    void update(TargetSpeed speed, std::vector<HeldRange> held);

    /// Forgets all but the streams that this host still has open there.
    void clear();

    void applyLoadReport(const LoadReport &report, TimePoint now);
    /// Replaces what is known of the other hosts' load. From then on load reports count for nothing.
    void setOtherHostsLoad(const StreamLoad &load);
    /// `tokens`: prompt and answer of the stream as far as they take up KV cache.
    void stageStarted(LayerRange layers, TokenCount tokens);
    void stageEnded(LayerRange layers, TokenCount tokens);

    /// How full the KV cache would be with a stream of so many tokens over `layers`; above 1 it does not fit. 0 when
    /// the size of the cache is not known.
    [[nodiscard]] double cacheOccupancy(LayerRange layers, TokenCount tokens) const;

    /// What this host's own streams take up.
    [[nodiscard]] StreamLoad ownLoad() const
    {
        return {.openLayers = m_ownLayers, .cacheLayerTokens = m_ownCacheTokens};
    }

    /// Compares how long a step took with what was expected of it.
    void recordStepDuration(LayerRange layers, const StageWork &work, Duration took, TimePoint now);

    /// How many times slower than expected the target has been of late; 1 means as expected.
    [[nodiscard]] double slowdown(TimePoint now) const;

    [[nodiscard]] StageCost cost(const StageWork &work, TimePoint now) const;

private:
    [[nodiscard]] StageCost nominalCost(const StageWork &work, TimePoint now) const;

    TargetId m_id;
    RoutingTargetOptions m_options;
    TargetSpeed m_speed;
    std::vector<HeldRange> m_held;
    TargetAvailability m_availability = TargetAvailability::Available;
    /// Layers and streams that this host has open on the target.
    double m_ownLayers = 0;
    double m_ownStreams = 0;
    double m_ownCacheTokens = 0;
    /// Set where hosts tell each other their load.
    std::optional<StreamLoad> m_otherLoad;
    /// Streams of other hosts, by the last report.
    double m_otherStreams = 0;
    TimePoint m_reportedAt{};
    /// Layers that a stream of another host is taken to have.
    double m_layersPerStream = 0;
    double m_slowdown = 1;
    TimePoint m_measuredAt{};
};

} // namespace Carawaymill

#pragma once

#include "routing/RoutingMessages.h"
#include "support/Time.h"

#include <optional>
#include <vector>

namespace Carawaymill {

/// Expected cost of a step or of a complete stage.
struct StageCost
{
    double secondsPerLayer = 0;
    /// Part that does not depend on the number of layers: waiting for other streams, transfer and link delay.
    double secondsPerStage = 0;
    /// Estimated sum of the layers of other open streams on the target.
    double openLayers = 0;
    /// The prompt is long, and the target has other prompts to read before it.
    bool awaitsPrompts = false;

    [[nodiscard]] double seconds(LayerRange layers) const { return secondsPerStage + secondsPerLayer * layers.size(); }
};

/// Work to be run on a target.
struct StageWork
{
    TokenCount tokens;
    /// Number of calls to the target. Each one costs a round trip over the link.
    std::uint64_t steps = 1;
    ByteCount activationBytes;
    TokenCount promptTokens;
    /// See `RouteRequest::longPromptRead`.
    Duration longPromptRead{};
};

struct RoutingTargetOptions
{
    /// Load reports older than this are ignored.
    Duration loadReportLifetime = std::chrono::seconds(10);
    /// Half-life of the measured slowdown. It decays so that a target that has recovered gets work again.
    Duration slowdownHalfLife = std::chrono::seconds(30);
};

/// The router's state for one target: its speed, its estimated load, and its recently measured slowdown.
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

    /// Resets the speed, held ranges, availability, reported load and slowdown. Keeps the load of this host's own open
    /// streams and the one from `setOtherHostsLoad`.
    void clear();

    /// How much slower than usual the target runs; 1 is usual.
    void setPace(double pace) { m_pace = pace; }

    [[nodiscard]] double pace() const { return m_pace; }

    void applyLoadReport(const LoadReport &report, TimePoint now);
    /// Sets the load of all other hosts. From then on the number of open layers comes from here instead of load
    /// reports.
    void setOtherHostsLoad(const StreamLoad &load);
    /// Counts a stream as load. `tokens` is the number of prompt and answer tokens that it keeps in the KV cache.
    void stageStarted(LayerRange layers, TokenCount tokens);
    void stageEnded(LayerRange layers, TokenCount tokens);
    /// Counts a prompt of `tokens` that was sent to the target, until it is read there or not needed any more.
    void promptSent(LayerRange layers, TokenCount tokens);
    void promptRead(LayerRange layers, TokenCount tokens);

    /// Fraction of the KV cache that would be in use with one more stream of `tokens` over `layers`; above 1 the stream
    /// does not fit. 0 when the size of the cache is not known.
    [[nodiscard]] double cacheOccupancy(LayerRange layers, TokenCount tokens) const;

    /// Prompt tokens times layers that were sent to the target and are not read there, from all hosts.
    [[nodiscard]] double unreadLayerTokens() const
    {
        return m_ownUnread + (m_otherLoad ? m_otherLoad->unreadLayerTokens : 0);
    }

    /// Load of this host's own streams.
    [[nodiscard]] StreamLoad ownLoad() const
    {
        return {.openLayers = m_ownLayers, .cacheLayerTokens = m_ownCacheTokens, .unreadLayerTokens = m_ownUnread};
    }

    /// Updates the slowdown from the duration `took` of a step and its expected duration.
    void recordStepDuration(LayerRange layers, const StageWork &work, Duration took, TimePoint now);

    /// Recent ratio of measured to expected duration; 1 means as fast as expected.
    [[nodiscard]] double slowdown(TimePoint now) const;

    [[nodiscard]] StageCost cost(LayerRange layers, const StageWork &work, TimePoint now) const;

private:
    [[nodiscard]] StageCost nominalCost(const StageWork &work, TimePoint now) const;
    /// Adds the wait for unread prompts, and what a long prompt takes from the open streams.
    void addPromptCost(LayerRange layers, const StageWork &work, StageCost &cost) const;

    TargetId m_id;
    RoutingTargetOptions m_options;
    TargetSpeed m_speed;
    std::vector<HeldRange> m_held;
    TargetAvailability m_availability = TargetAvailability::Available;
    /// Sum of layers, number, and KV cache (tokens times layers) of the streams that this host has open on the target.
    double m_ownLayers = 0;
    double m_ownStreams = 0;
    double m_ownCacheTokens = 0;
    /// Prompts of these streams that the target has not read yet, in tokens times layers.
    double m_ownUnread = 0;
    /// Set in deployments where hosts exchange their load.
    std::optional<StreamLoad> m_otherLoad;
    /// Number of streams of other hosts: running average over the load reports.
    double m_otherStreams = 0;
    TimePoint m_reportedAt{};
    /// Assumed number of layers of a stream of another host: the average length of the held ranges.
    double m_layersPerStream = 0;
    double m_slowdown = 1;
    double m_pace = 1;
    TimePoint m_measuredAt{};
};

} // namespace Carawaymill

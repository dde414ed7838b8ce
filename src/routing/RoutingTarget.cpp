#include "routing/RoutingTarget.h"

#include "support/Seconds.h"

#include <algorithm>
#include <cmath>

namespace Carawaymill {

/// Weight of the newest measurement in the running average of the slowdown.
static constexpr double measurementWeight = 0.02;
/// Weight of the newest load report in the running average. With a high weight, all hosts would react to the same
/// report at once and choose the same target.
static constexpr double reportWeight = 0.2;
static constexpr double minimumSlowdown = 1;
/// Slowdown up to this factor is ignored: waiting time that the load estimate does not include makes healthy targets
/// look this much slower.
static constexpr double toleratedSlowdown = 4;
static constexpr double maximumSlowdown = 1000;
/// Penalty for a long prompt on a target that has others to read. So high that the target is chosen only for layers
/// that no target without such prompts holds, and lower than the ones for targets without capacity.
static constexpr double awaitedPromptsPenaltySeconds = 1e2;

RoutingTarget::RoutingTarget(TargetId id, RoutingTargetOptions options)
    : m_id(std::move(id))
    , m_options(options)
{
}

void RoutingTarget::update(TargetSpeed speed, std::vector<HeldRange> held)
{
    double layers = 0;
    for (const HeldRange &range : held) {
        layers += range.layers.size();
    }
    m_layersPerStream = held.empty() ? 0 : layers / static_cast<double>(held.size());
    m_speed = std::move(speed);
    m_held = std::move(held);
}

void RoutingTarget::clear()
{
    update({}, {});
    m_availability = TargetAvailability::Available;
    m_otherStreams = 0;
    m_slowdown = 1;
    m_pace = 1;
}

void RoutingTarget::applyLoadReport(const LoadReport &report, TimePoint now)
{
    const double reported = report.queuedSteps + report.runningSteps;
    // This host's own streams are counted exactly, so only those of other hosts are taken from the report.
    const double others = std::max(0.0, reported - m_ownStreams);
    m_otherStreams += reportWeight * (others - m_otherStreams);
    m_reportedAt = now;
}

void RoutingTarget::setOtherHostsLoad(const StreamLoad &load)
{
    m_otherLoad = load;
}

void RoutingTarget::stageStarted(LayerRange layers, TokenCount tokens)
{
    m_ownLayers += layers.size();
    m_ownStreams += 1;
    m_ownCacheTokens += static_cast<double>(tokens.value() * layers.size());
}

void RoutingTarget::stageEnded(LayerRange layers, TokenCount tokens)
{
    m_ownLayers = std::max(0.0, m_ownLayers - layers.size());
    m_ownStreams = std::max(0.0, m_ownStreams - 1);
    m_ownCacheTokens = std::max(0.0, m_ownCacheTokens - static_cast<double>(tokens.value() * layers.size()));
}

void RoutingTarget::promptSent(LayerRange layers, TokenCount tokens)
{
    m_ownUnread += static_cast<double>(tokens.value() * layers.size());
}

void RoutingTarget::promptRead(LayerRange layers, TokenCount tokens)
{
    m_ownUnread = std::max(0.0, m_ownUnread - static_cast<double>(tokens.value() * layers.size()));
}

double RoutingTarget::cacheOccupancy(LayerRange layers, TokenCount tokens) const
{
    if (m_speed.cacheLayerTokens <= 0) {
        return 0;
    }
    const double others = m_otherLoad ? m_otherLoad->cacheLayerTokens : 0;
    const auto added = static_cast<double>(tokens.value() * layers.size());
    return (m_ownCacheTokens + others + added) / m_speed.cacheLayerTokens;
}

void RoutingTarget::recordStepDuration(LayerRange layers, const StageWork &work, Duration took, TimePoint now)
{
    if (const double expected = nominalCost(work, now).seconds(layers); expected > 0) {
        const double measured = std::clamp(seconds(took) / expected, minimumSlowdown, maximumSlowdown);
        m_slowdown = (1 - measurementWeight) * slowdown(now) + measurementWeight * measured;
        m_measuredAt = now;
    }
}

double RoutingTarget::slowdown(TimePoint now) const
{
    const double halvings = seconds(now - m_measuredAt) / seconds(m_options.slowdownHalfLife);
    return 1 + (m_slowdown - 1) * std::exp2(-halvings);
}

StageCost RoutingTarget::nominalCost(const StageWork &work, TimePoint now) const
{
    const bool reportValid = now - m_reportedAt <= m_options.loadReportLifetime;
    const double otherStreams = reportValid ? m_otherStreams : 0;
    const auto tokens = static_cast<double>(work.tokens.value());
    StageCost cost{.secondsPerLayer = tokens / m_speed.layerTokensPerSecond,
                   .openLayers =
                       m_ownLayers + (m_otherLoad ? m_otherLoad->openLayers : otherStreams * m_layersPerStream)};

    // Streams share a target and its link: each token waits for one token of every other open stream.
    cost.secondsPerStage = cost.openLayers * cost.secondsPerLayer * m_speed.costPerOtherStream;
    if (m_speed.linkBytesPerSecond > 0) {
        const double bothWays = 2.0 * static_cast<double>(work.activationBytes.value());
        const double streams = 1 + m_ownStreams + otherStreams;
        cost.secondsPerStage += tokens * streams * bothWays / m_speed.linkBytesPerSecond;
    }
    cost.secondsPerStage += 2 * seconds(m_speed.linkDelay) * static_cast<double>(work.steps);
    return cost;
}

void RoutingTarget::addPromptCost(LayerRange layers, const StageWork &work, StageCost &cost) const
{
    if (m_speed.promptLayerTokensPerSecond <= 0) {
        return;
    }
    const double limit = seconds(work.longPromptRead);
    if (limit <= 0) {
        return;
    }
    // Usual prompts are read long before a digest arrives: counting those of other hosts, hosts would follow each
    // other's old loads.
    if (const double ownWait = m_ownUnread / m_speed.promptLayerTokensPerSecond; ownWait > limit) {
        cost.secondsPerStage += ownWait;
    }
    const double read =
        static_cast<double>(work.promptTokens.value() * layers.size()) / m_speed.promptLayerTokensPerSecond;
    if (read <= limit) {
        return;
    }
    // Each stream that is open there waits while the prompt is read.
    cost.secondsPerStage += read * cost.openLayers / std::max<double>(1, layers.size());
    // An unread long prompt alone exceeds the limit. A few short ones, which busy targets always have, do not.
    cost.awaitsPrompts = unreadLayerTokens() / m_speed.promptLayerTokensPerSecond > limit;
    cost.secondsPerStage += cost.awaitsPrompts ? awaitedPromptsPenaltySeconds : 0;
}

StageCost RoutingTarget::cost(LayerRange layers, const StageWork &work, TimePoint now) const
{
    StageCost cost = nominalCost(work, now);
    addPromptCost(layers, work, cost);
    const double factor = m_pace * std::max(1.0, slowdown(now) / toleratedSlowdown);
    cost.secondsPerLayer *= factor;
    cost.secondsPerStage *= factor;
    return cost;
}

} // namespace Carawaymill

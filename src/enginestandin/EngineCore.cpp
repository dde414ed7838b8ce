#include "enginestandin/EngineCore.h"

#include "enginestandin/StandInModel.h"

#include <algorithm>
#include <charconv>

namespace Carawaymill {

static Activation writeActivation(std::uint64_t value)
{
    return std::to_string(value);
}

static std::uint64_t readActivation(const Activation &activation)
{
    std::uint64_t value = 0;
    std::from_chars(activation.data(), activation.data() + activation.size(), value);
    return value;
}

EngineCore::EngineCore(EngineCoreOptions options)
    : m_options(std::move(options))
    , m_held(m_options.held)
{
}

std::uint64_t EngineCore::submit(const StepRequest &step, TimePoint now)
{
    m_queue.push_back({.ticket = ++m_lastTicket, .step = step});
    if (!m_batchEndsAt) {
        startBatch(now);
    }
    return m_lastTicket;
}

/// Takes the most important waiting steps into a batch; among equals the first come is the first served.
void EngineCore::startBatch(TimePoint now)
{
    if (m_queue.empty()) {
        m_batchEndsAt.reset();
        return;
    }
    std::stable_sort(m_queue.begin(), m_queue.end(), [](const QueuedStep &left, const QueuedStep &right) {
        return left.step.priority > right.step.priority;
    });
    m_lastBatch.clear();
    std::uint64_t layerTokens = 0;
    while (!m_queue.empty() && m_batch.size() < m_options.batchLimit) {
        const StepRequest &step = m_queue.front().step;
        layerTokens += step.layers.size() * inputs(step).size();
        m_lastBatch.push_back(step.job);
        m_batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    m_batchEndsAt =
        now + m_options.batchOverhead + m_options.timePerLayerToken * static_cast<Duration::rep>(layerTokens);
}

std::vector<StepDone> EngineCore::advance(TimePoint now)
{
    std::vector<StepDone> done;
    finishLoads(now);
    while (!m_crashed && m_batchEndsAt && *m_batchEndsAt <= now) {
        const TimePoint endedAt = *m_batchEndsAt;
        for (const QueuedStep &queued : m_batch) {
            done.push_back({.ticket = queued.ticket, .result = run(queued.step)});
        }
        m_batch.clear();
        startBatch(endedAt);
    }
    if (m_crashed) {
        done.clear();
    }
    return done;
}

std::optional<TimePoint> EngineCore::nextWake() const
{
    return m_batchEndsAt;
}

bool EngineCore::holds(const StepRequest &step) const
{
    // Ranges that were loaded one after the other serve a step together.
    LayerIndex next = step.layers.first;
    while (next < step.layers.end) {
        const auto range = std::find_if(m_held.begin(), m_held.end(), [&](const ModelLayers &held) {
            return held.model == step.model && held.version == step.version && held.adapter == step.adapter
                   && held.layers.contains(next);
        });
        if (range == m_held.end()) {
            return false;
        }
        next = range->layers.end;
    }
    return true;
}

std::vector<std::uint64_t> EngineCore::inputs(const StepRequest &step) const
{
    std::vector<std::uint64_t> values;
    if (!step.activations.empty()) {
        std::transform(step.activations.begin(), step.activations.end(), std::back_inserter(values), readActivation);
        return values;
    }
    std::vector<TokenId> tokens;
    if (step.prompt) {
        tokens = StandInModel::tokenise(*step.prompt);
    }
    tokens.insert(tokens.end(), step.tokens.begin(), step.tokens.end());
    TokenPosition position = step.first;
    for (const TokenId token : tokens) {
        values.push_back(StandInModel::embed(token, position));
        position = position.next();
    }
    return values;
}

Result<StepReply, EngineRefusal> EngineCore::run(const StepRequest &step)
{
    if (!m_options.poison.empty() && step.prompt && step.prompt->find(m_options.poison) != std::string::npos) {
        m_crashed = true;
    }
    if (!holds(step)) {
        return EngineRefusal{EngineRefusalKind::LayersNotHeld};
    }
    auto found = m_streams.find(step.stream);
    if (found == m_streams.end()) {
        if (step.first != TokenPosition(0)) {
            return EngineRefusal{EngineRefusalKind::StreamUnknown};
        }
        evictStreams();
        Stream opened{.job = step.job, .attempt = step.attempt, .layers = step.layers};
        opened.states.assign(step.layers.size(), 0);
        found = m_streams.emplace(step.stream, std::move(opened)).first;
    }
    Stream &stream = found->second;
    if (stream.next != step.first || stream.layers != step.layers || stream.job != step.job) {
        return EngineRefusal{EngineRefusalKind::PositionMismatch};
    }
    stream.lastUse = ++m_uses;
    StepReply reply{.stream = step.stream,
                    .job = step.job,
                    .attempt = step.attempt,
                    .layers = step.layers,
                    .first = step.first,
                    .positions = 0,
                    .activations = {},
                    .sampled = std::nullopt};
    const std::string weights = weightsName(step.model, step.version, step.adapter);
    std::uint64_t activation = 0;
    for (const std::uint64_t input : inputs(step)) {
        activation = input;
        for (std::uint32_t offset = 0; offset < step.layers.size(); ++offset) {
            const LayerIndex layer(step.layers.first.value() + offset);
            activation = StandInModel::runLayer(layer, stream.states[offset], activation, weights);
            note(step, stream.next, layer);
        }
        stream.next = stream.next.next();
        ++reply.positions;
        if (!step.sample) {
            reply.activations.push_back(writeActivation(activation));
        }
    }
    if (step.sample) {
        reply.sampled = StandInModel::sample(activation);
    }
    stream.lastReply = reply;
    return reply;
}

void EngineCore::note(const StepRequest &step, TokenPosition position, LayerIndex layer)
{
    if (m_options.keepRunLog) {
        m_runLog.push_back(
            {.job = step.job, .attempt = step.attempt, .stream = step.stream, .position = position, .layer = layer});
    }
}

void EngineCore::evictStreams()
{
    while (m_streams.size() >= m_options.streamLimit) {
        m_streams.erase(std::min_element(m_streams.begin(), m_streams.end(), [](const auto &left, const auto &right) {
            return left.second.lastUse < right.second.lastUse;
        }));
    }
}

Result<StreamStatus, EngineRefusal> EngineCore::status(const StreamId &stream) const
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return EngineRefusal{EngineRefusalKind::StreamUnknown};
    }
    return StreamStatus{.stream = stream, .next = found->second.next, .lastReply = found->second.lastReply};
}

void EngineCore::cancel(const StreamId &stream)
{
    m_streams.erase(stream);
    m_queue.erase(std::remove_if(m_queue.begin(),
                                 m_queue.end(),
                                 [&](const QueuedStep &queued) { return queued.step.stream == stream; }),
                  m_queue.end());
}

EngineOrderReply EngineCore::order(const EngineOrder &order, TimePoint now)
{
    finishLoads(now);
    FencingNumber &highest = m_highestFencingNumbers[order.scope];
    if (m_options.checksFencingNumber) {
        if (order.fencingNumber < highest) {
            return {.number = order.number,
                    .outcome = EngineOrderOutcome::OldFencingNumber,
                    .highestFencingNumber = highest};
        }
        highest = order.fencingNumber;
    }
    for (const ModelLayers &layers : order.unloads) {
        unload(layers);
    }
    TimePoint readyAt = now;
    for (const ModelLayers &layers : order.loads) {
        const ByteCount needed(layers.layers.size() * m_options.bytesPerLayer.value());
        if (usedMemory() + needed > m_options.memory) {
            return {.number = order.number,
                    .outcome = EngineOrderOutcome::InsufficientMemory,
                    .highestFencingNumber = highest};
        }
        readyAt += m_options.loadTimePerLayer * static_cast<Duration::rep>(layers.layers.size());
        m_loading.push_back({.layers = layers, .readyAt = readyAt});
    }
    return {.number = order.number, .outcome = EngineOrderOutcome::Accepted, .highestFencingNumber = highest};
}

EngineState EngineCore::state(TimePoint now)
{
    finishLoads(now);
    EngineState state{.target = m_options.target,
                      .incarnation = m_options.incarnation,
                      .held = m_held,
                      .loading = {},
                      .freeMemory = m_options.memory - usedMemory()};
    for (const Loading &loading : m_loading) {
        state.loading.push_back(loading.layers);
    }
    return state;
}

void EngineCore::finishLoads(TimePoint now)
{
    for (auto loading = m_loading.begin(); loading != m_loading.end();) {
        if (loading->readyAt > now) {
            ++loading;
            continue;
        }
        m_held.push_back(loading->layers);
        loading = m_loading.erase(loading);
    }
}

void EngineCore::unload(const ModelLayers &layers)
{
    m_held.erase(std::remove(m_held.begin(), m_held.end(), layers), m_held.end());
    m_loading.erase(std::remove_if(m_loading.begin(),
                                   m_loading.end(),
                                   [&](const Loading &loading) { return loading.layers == layers; }),
                    m_loading.end());
}

ByteCount EngineCore::usedMemory() const
{
    std::uint64_t layers = 0;
    for (const ModelLayers &held : m_held) {
        layers += held.layers.size();
    }
    for (const Loading &loading : m_loading) {
        layers += loading.layers.layers.size();
    }
    return ByteCount(layers * m_options.bytesPerLayer.value());
}

} // namespace Carawaymill

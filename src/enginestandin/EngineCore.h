#pragma once

#include "pipeline/EngineMessages.h"
#include "placement/EngineOrders.h"
#include "support/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

struct EngineCoreOptions
{
    TargetId target;
    IncarnationNumber incarnation = IncarnationNumber(1);
    std::vector<ModelLayers> held;
    bool checksFencingNumber = true;
    /// Memory for layers, and how much of it one layer of any model takes.
    ByteCount memory = ByteCount(1U << 30U);
    ByteCount bytesPerLayer = ByteCount(1U << 20U);
    /// Time to load one layer from the weight store.
    Duration loadTimePerLayer = 20ms;
    /// Time of one batch: this, and for each layer of each token in it, the time after it.
    Duration batchOverhead = 200us;
    Duration timePerLayerToken = 5us;
    /// Steps that run together in one batch.
    std::size_t batchLimit = 32;
    /// Streams whose cache fits; the longest unused is evicted first.
    std::size_t streamLimit = 4096;
    /// A prompt with this word in it crashes the engine. Empty: none does.
    std::string poison;
    /// Whether every layer run is noted; a process that lives long should not.
    bool keepRunLog = true;
};

/// One run of one layer for one token, as the engine's own log has it.
struct LayerRun
{
    JobId job;
    AttemptNumber attempt;
    StreamId stream;
    TokenPosition position;
    LayerIndex layer;
};

/// A step that is done. `ticket` is what `submit` returned.
struct StepDone
{
    std::uint64_t ticket = 0;
    Result<StepReply, EngineRefusal> result;
};

/// A stand-in model engine without input and output: batches steps, keeps streams, obeys orders to load and unload.
class EngineCore
{
public:
    explicit EngineCore(EngineCoreOptions options);

    /// Queues a step; its outcome comes from `advance`.
    [[nodiscard]] std::uint64_t submit(const StepRequest &step, TimePoint now);
    /// Runs everything that is due by `now`.
    [[nodiscard]] std::vector<StepDone> advance(TimePoint now);
    /// When `advance` next has something to do.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

    [[nodiscard]] Result<StreamStatus, EngineRefusal> status(const StreamId &stream) const;
    void cancel(const StreamId &stream);

    [[nodiscard]] EngineOrderReply order(const EngineOrder &order, TimePoint now);
    /// What the engine holds, once everything due by `now` is loaded.
    [[nodiscard]] EngineState state(TimePoint now);

    /// Whether a poisonous prompt was run: the process must die without answering anything.
    [[nodiscard]] bool crashed() const { return m_crashed; }

    /// The jobs that shared the last batch.
    [[nodiscard]] const std::vector<JobId> &lastBatch() const { return m_lastBatch; }

    [[nodiscard]] std::size_t queuedSteps() const { return m_queue.size(); }

    [[nodiscard]] std::size_t runningSteps() const { return m_batch.size(); }

    [[nodiscard]] const std::vector<LayerRun> &runLog() const { return m_runLog; }

private:
    struct Stream
    {
        JobId job;
        AttemptNumber attempt;
        LayerRange layers;
        std::vector<std::uint64_t> states;
        TokenPosition next;
        std::optional<StepReply> lastReply;
        std::uint64_t lastUse = 0;
    };

    struct QueuedStep
    {
        std::uint64_t ticket = 0;
        StepRequest step;
    };

    struct Loading
    {
        ModelLayers layers;
        TimePoint readyAt;
    };

    void startBatch(TimePoint now);
    void finishLoads(TimePoint now);
    [[nodiscard]] Result<StepReply, EngineRefusal> run(const StepRequest &step);
    [[nodiscard]] bool holds(const StepRequest &step) const;
    [[nodiscard]] std::vector<std::uint64_t> inputs(const StepRequest &step) const;
    void unload(const ModelLayers &layers);
    [[nodiscard]] ByteCount usedMemory() const;
    void evictStreams();
    void note(const StepRequest &step, TokenPosition position, LayerIndex layer);

    EngineCoreOptions m_options;
    std::vector<ModelLayers> m_held;
    std::vector<Loading> m_loading;
    std::map<PlacementScope, FencingNumber> m_highestFencingNumbers;
    std::map<StreamId, Stream> m_streams;
    std::deque<QueuedStep> m_queue;
    std::vector<QueuedStep> m_batch;
    std::vector<JobId> m_lastBatch;
    std::optional<TimePoint> m_batchEndsAt;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_uses = 0;
    std::vector<LayerRun> m_runLog;
    bool m_crashed = false;
};

} // namespace Carawaymill

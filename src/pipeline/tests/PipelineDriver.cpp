#include "PipelineDriver.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Carawaymill {

static constexpr Duration tickInterval = 10ms;

PipelineDriver::PipelineDriver(PipelineJobOptions options, std::uint64_t seed, PipelineFaults faults)
    : m_job(std::move(options))
    , m_random(seed)
    , m_faults(faults)
{
}

void PipelineDriver::addEngine(const std::string &target, LayerRange layers, IncarnationNumber incarnation)
{
    EngineCoreOptions options{.target = TargetId(target), .incarnation = incarnation};
    options.held.push_back({.model = ModelId("glider"), .version = "1", .adapter = "", .layers = layers});
    m_engines.insert_or_assign(TargetId(target), EngineCore(options));
}

void PipelineDriver::killEngine(const std::string &target)
{
    if (const auto found = m_engines.find(TargetId(target)); found != m_engines.end()) {
        m_deadLogs.push_back(found->second.runLog());
        m_engines.erase(found);
    }
}

void PipelineDriver::killAtStep(std::size_t step, bool afterRunning)
{
    m_killAtStep = step;
    m_killAfterRunning = afterRunning;
}

void PipelineDriver::run()
{
    feed(JobStarted{});
    while (!m_job.ended()) {
        const auto next =
            std::min_element(m_messages.begin(), m_messages.end(), [](const auto &left, const auto &right) {
                return std::pair(left.at, left.number) < std::pair(right.at, right.number);
            });
        if (next == m_messages.end() || next->at > m_now + tickInterval) {
            m_now += tickInterval;
            feed(Tick{});
            continue;
        }
        m_now = next->at;
        const auto deliver = std::move(next->deliver);
        m_messages.erase(next);
        deliver();
    }
}

std::size_t PipelineDriver::count(StageIncidentKind kind) const
{
    return static_cast<std::size_t>(std::count_if(
        m_incidents.begin(), m_incidents.end(), [&](const StageIncident &incident) { return incident.kind == kind; }));
}

std::vector<LayerRun> PipelineDriver::runLog() const
{
    std::vector<LayerRun> all;
    for (const auto &log : m_deadLogs) {
        all.insert(all.end(), log.begin(), log.end());
    }
    for (const auto &[target, engine] : m_engines) {
        all.insert(all.end(), engine.runLog().begin(), engine.runLog().end());
    }
    return all;
}

bool PipelineDriver::everyStreamRanInOrder() const
{
    std::map<std::pair<StreamId, LayerIndex>, std::uint32_t> next;
    const std::vector<LayerRun> log = runLog();
    return std::all_of(log.begin(), log.end(), [&](const LayerRun &run) {
        return run.position.value() == next[{run.stream, run.layer}]++;
    });
}

void PipelineDriver::post(std::function<void()> deliver, Duration extra)
{
    const auto jitter =
        Duration(static_cast<Duration::rep>(m_random.fraction() * static_cast<double>(m_faults.delay.count())));
    m_messages.push_back(
        {.at = m_now + 1ms + jitter + extra, .number = ++m_messageNumber, .deliver = std::move(deliver)});
}

void PipelineDriver::feed(const PipelineEvent &event)
{
    for (const PipelineAction &action : m_job.handle(event, m_now)) {
        perform(action);
    }
}

void PipelineDriver::perform(const PipelineAction &action)
{
    std::visit(Overloaded{[&](const RequestChain &request) { perform(request); },
                          [&](const RequestReplacement &request) { perform(request); },
                          [&](const SendStep &send) { perform(send); },
                          [&](const QueryStream &query) { perform(query); },
                          [&](const CancelStream &cancel) {
                              if (const auto found = m_engines.find(cancel.target); found != m_engines.end()) {
                                  found->second.cancel(cancel.stream);
                              }
                          },
                          [&](const TokenAccepted &token) { m_streamedText += token.text; },
                          [&](const JobCompleted &completed) { m_completed = completed; },
                          [&](const JobFailed &failed) { m_failed = failed; },
                          [&](const StageIncident &incident) { m_incidents.push_back(incident); }},
               action);
}

std::optional<std::vector<ChainStage>> PipelineDriver::cover(LayerRange range, const std::set<TargetId> &excluded) const
{
    std::vector<ChainStage> stages;
    LayerIndex next = range.first;
    while (next < range.end) {
        const auto holder = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
            auto engine = entry.second;
            return !excluded.contains(entry.first) && engine.state(m_now).held.front().layers.contains(next);
        });
        if (holder == m_engines.end()) {
            return std::nullopt;
        }
        auto engine = holder->second;
        const LayerIndex end = std::min(range.end, engine.state(m_now).held.front().layers.end);
        stages.push_back({.target = holder->first, .layers = {next, end}});
        next = end;
    }
    return stages;
}

void PipelineDriver::perform(const RequestChain &request)
{
    constexpr std::uint32_t layers = 12;
    const auto stages = cover({LayerIndex(0), LayerIndex(layers)}, request.excluded);
    post([this, stages] { feed(stages ? PipelineEvent(ChainRouted{{*stages}}) : PipelineEvent(ChainUnavailable{})); });
}

void PipelineDriver::perform(const RequestReplacement &request)
{
    const auto stages = cover(request.layers, request.excluded);
    post([this, stages] {
        feed(stages ? PipelineEvent(ReplacementRouted{*stages}) : PipelineEvent(ChainUnavailable{}));
    });
}

void PipelineDriver::perform(const SendStep &send)
{
    ++m_steps;
    if (chance(m_faults.killEngine) && !m_engines.empty()) {
        auto victim = m_engines.begin();
        std::advance(victim, static_cast<std::ptrdiff_t>(m_random.below(m_engines.size())));
        killEngine(victim->first.value());
    }
    const bool kill = m_killAtStep == m_steps;
    if (kill && !m_killAfterRunning) {
        killEngine(send.target.value());
    }
    if (!m_engines.contains(send.target) || chance(m_faults.refuseConnection)) {
        post([this, stream = send.step.stream] { answer(stream, EngineNotSent{}); });
        return;
    }
    if (kill) {
        post([this, target = send.target] { killEngine(target.value()); });
    }
    if (chance(m_faults.loseStep) || kill) {
        post([this, stream = send.step.stream] { answer(stream, EngineNoAnswer{}); }, send.timeout);
    } else {
        post([this, send] { deliverStep(send); });
    }
    if (chance(m_faults.doubleStep)) {
        post([this, send] { deliverStep(send); }, 5ms);
    }
}

void PipelineDriver::deliverStep(const SendStep &send)
{
    const auto found = m_engines.find(send.target);
    if (found == m_engines.end()) {
        post([this, stream = send.step.stream] { answer(stream, EngineNoAnswer{}); }, send.timeout);
        return;
    }
    EngineCore &engine = found->second;
    (void)engine.submit(send.step, m_now);
    while (const auto wake = engine.nextWake()) {
        for (StepDone &done : engine.advance(*wake)) {
            const StepResult result =
                std::visit([](auto &&concrete) -> StepResult { return std::forward<decltype(concrete)>(concrete); },
                           std::move(done.result));
            const bool lost = chance(m_faults.loseAnswer);
            post(
                [this, stream = send.step.stream, result, lost] {
                    answer(stream, lost ? StepResult(EngineNoAnswer{}) : result);
                },
                lost ? send.timeout : Duration{});
            if (chance(m_faults.doubleAnswer)) {
                post([this, stream = send.step.stream, result] { answer(stream, result); }, 7ms);
            }
        }
    }
}

void PipelineDriver::answer(const StreamId &stream, StepResult result)
{
    feed(StepAnswered{.stream = stream, .result = std::move(result)});
}

void PipelineDriver::perform(const QueryStream &query)
{
    const auto found = m_engines.find(query.target);
    StreamStatusResult result = EngineNotSent{};
    if (chance(m_faults.loseStatus)) {
        result = EngineNoAnswer{};
    } else if (found != m_engines.end()) {
        result =
            std::visit([](auto &&concrete) -> StreamStatusResult { return std::forward<decltype(concrete)>(concrete); },
                       found->second.status(query.stream));
    }
    post([this, stream = query.stream, result] { feed(StreamStatusAnswered{.stream = stream, .result = result}); });
}

} // namespace Carawaymill

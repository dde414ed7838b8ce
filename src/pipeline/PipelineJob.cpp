#include "pipeline/PipelineJob.h"

#include <algorithm>
#include <cassert>

namespace Carawaymill {

/// Added to a step's time limit for each position that it runs, for long prompts.
static constexpr Duration stepTimeoutPerPosition = 2ms;
/// The job's own time limits are longer than the adapter's by this, so that the adapter's verdict comes first.
static constexpr Duration adapterGrace = 250ms;

PipelineJob::PipelineJob(PipelineJobOptions options)
    : m_options(std::move(options))
{
}

std::vector<PipelineAction> PipelineJob::handle(const PipelineEvent &event, TimePoint now)
{
    Actions actions;
    if (!ended()) {
        std::visit([&](const auto &concrete) { on(concrete, now, actions); }, event);
    }
    return actions;
}

Chain PipelineJob::chain() const
{
    Chain chain;
    for (const Stage &stage : m_stages) {
        chain.stages.push_back(stage.stage);
    }
    return chain;
}

std::optional<TargetId> PipelineJob::pendingTarget() const
{
    return m_pending ? std::optional(m_stages[m_pending->stage].stage.target) : std::nullopt;
}

bool PipelineJob::uses(const TargetId &target) const
{
    return std::any_of(
        m_stages.begin(), m_stages.end(), [&](const Stage &stage) { return stage.stage.target == target; });
}

void PipelineJob::on(const JobStarted &, TimePoint, Actions &actions)
{
    requestChain(actions);
}

void PipelineJob::on(const ChainRouted &event, TimePoint now, Actions &actions)
{
    if (m_lifecycle.phase() != JobPhase::Routing) {
        return;
    }
    assert(covers(event.chain, m_options.layers));
    m_stages.clear();
    for (const ChainStage &stage : event.chain.stages) {
        m_stages.push_back(openStage(stage));
    }
    m_lifecycle.take(JobTransition::ChainFound);
    advance(now, actions);
}

void PipelineJob::on(const ReplacementRouted &event, TimePoint now, Actions &actions)
{
    if (m_lifecycle.phase() != JobPhase::Replacing) {
        return;
    }
    std::vector<Stage> replacement;
    for (const ChainStage &stage : event.stages) {
        replacement.push_back(openStage(stage));
    }
    const auto position = m_stages.erase(m_stages.begin() + static_cast<std::ptrdiff_t>(m_replacing));
    m_stages.insert(position, replacement.begin(), replacement.end());
    assert(covers(chain(), m_options.layers));
    m_lifecycle.take(JobTransition::ReplacementFound);
    advance(now, actions);
}

void PipelineJob::on(const ChainUnavailable &, TimePoint now, Actions &actions)
{
    if (m_lifecycle.phase() == JobPhase::Replacing) {
        restart(now, actions);
        return;
    }
    // A target that failed this job once is better than none at all.
    m_excluded.clear();
    m_pauseUntil = now + m_options.routePause;
}

void PipelineJob::on(const StepAnswered &event, TimePoint now, Actions &actions)
{
    const bool awaited = m_pending && event.stream == m_pending->step.stream;
    const auto *reply = std::get_if<StepReply>(&event.result);
    if (!awaited || (reply != nullptr && !answersPending(*reply))) {
        report(StageIncidentKind::ForeignAnswerDropped, TargetId(), actions);
        return;
    }
    m_ran = m_ran || !std::holds_alternative<EngineNotSent>(event.result);
    if (reply != nullptr) {
        // The answer came after all, before the stream said where it stands.
        if (m_lifecycle.phase() == JobPhase::Resuming) {
            m_lifecycle.take(JobTransition::StreamAnswered);
        }
        takeReply(*reply, now, actions);
        return;
    }
    if (m_lifecycle.phase() != JobPhase::Stepping) {
        return;
    }
    std::visit(Overloaded{[](const StepReply &) {},
                          [&](EngineNotSent) { loseStage(m_pending->stage, true, now, actions); },
                          [&](EngineNoAnswer) { resume(now, actions); },
                          [&](EngineRefusal refusal) { refused(refusal, now, actions); }},
               event.result);
}

void PipelineJob::on(const StreamStatusAnswered &event, TimePoint now, Actions &actions)
{
    if (m_lifecycle.phase() != JobPhase::Resuming || event.stream != m_pending->step.stream) {
        return;
    }
    if (const auto *status = std::get_if<StreamStatus>(&event.result)) {
        takeStatus(*status, now, actions);
        return;
    }
    const auto *refusal = std::get_if<EngineRefusal>(&event.result);
    const bool unknownStream = refusal != nullptr && refusal->kind == EngineRefusalKind::StreamUnknown;
    if (unknownStream && m_pending->step.first == TokenPosition(0)) {
        // The step that opens the stream never arrived. Should it arrive yet, the engine refuses the second copy.
        m_lifecycle.take(JobTransition::StreamAnswered);
        PendingStep pending = std::move(*m_pending);
        send(pending.stage, std::move(pending.step), now, actions);
        return;
    }
    loseStage(m_pending->stage, !unknownStream, now, actions);
}

void PipelineJob::on(const TargetLost &event, TimePoint now, Actions &actions)
{
    m_excluded.insert(event.target);
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        Stage &stage = m_stages[index];
        if (stage.stage.target != event.target || stage.lost) {
            continue;
        }
        stage.lost = true;
        const bool isPending = m_pending && m_pending->stage == index;
        if (isPending) {
            loseStage(index, true, now, actions);
        }
    }
}

void PipelineJob::on(const JobCancelled &, TimePoint, Actions &actions)
{
    fail(JobFailureKind::Cancelled, actions);
}

void PipelineJob::on(const Tick &, TimePoint now, Actions &actions)
{
    if (now >= m_options.deadline) {
        const bool neverRouted = m_stages.empty() && m_lifecycle.phase() == JobPhase::Routing;
        fail(neverRouted ? JobFailureKind::NoChain : JobFailureKind::DeadlineExceeded, actions);
        return;
    }
    if (m_pauseUntil && now >= *m_pauseUntil) {
        m_pauseUntil.reset();
        if (m_lifecycle.phase() == JobPhase::Routing) {
            requestChain(actions);
        } else if (m_pending && m_lifecycle.phase() == JobPhase::Stepping) {
            PendingStep pending = std::move(*m_pending);
            send(pending.stage, std::move(pending.step), now, actions);
        }
    }
    if (!m_pending || now < m_pending->giveUpAt) {
        return;
    }
    if (m_lifecycle.phase() == JobPhase::Stepping) {
        resume(now, actions);
    } else if (m_lifecycle.phase() == JobPhase::Resuming) {
        loseStage(m_pending->stage, true, now, actions);
    }
}

PipelineJob::Stage PipelineJob::openStage(const ChainStage &stage)
{
    ++m_streamsOpened;
    if (std::find(m_usedTargets.begin(), m_usedTargets.end(), stage.target) == m_usedTargets.end()) {
        m_usedTargets.push_back(stage.target);
    }
    return {.stage = stage,
            .stream = StreamId(m_options.job.value() + "." + std::to_string(m_streamsOpened)),
            .next = TokenPosition(0),
            .lost = false};
}

void PipelineJob::requestChain(Actions &actions)
{
    actions.emplace_back(RequestChain{.excluded = m_excluded});
}

TokenPosition PipelineJob::availableAt(std::size_t stage) const
{
    if (stage == 0) {
        return TokenPosition(m_promptPositions.value_or(1) + static_cast<std::uint32_t>(m_tokens.size()));
    }
    const auto journal = m_journals.find(m_stages[stage].stage.layers.first);
    return journal == m_journals.end() ? TokenPosition(0) : journal->second.end();
}

std::optional<std::size_t> PipelineJob::laggingStage() const
{
    for (std::size_t stage = 0; stage < m_stages.size(); ++stage) {
        if (m_stages[stage].next < availableAt(stage)) {
            return stage;
        }
    }
    return std::nullopt;
}

/// Sends the next step: the first stage that is behind what it could have run is the one to go on with.
void PipelineJob::advance(TimePoint now, Actions &actions)
{
    const std::optional<std::size_t> lagging = laggingStage();
    assert(lagging);
    const Stage &stage = m_stages[*lagging];
    if (stage.lost) {
        loseStage(*lagging, true, now, actions);
        return;
    }
    const auto journal = m_journals.find(stage.stage.layers.first);
    if (journal != m_journals.end() && stage.next < journal->second.begin()) {
        restart(now, actions);
        return;
    }
    send(*lagging, nextStep(*lagging), now, actions);
}

StepRequest PipelineJob::nextStep(std::size_t index) const
{
    const Stage &stage = m_stages[index];
    StepRequest step{.stream = stage.stream,
                     .job = m_options.job,
                     .attempt = m_attempt,
                     .model = m_options.model,
                     .version = m_options.version,
                     .adapter = m_options.adapter,
                     .priority = m_options.jobClass,
                     .layers = stage.stage.layers,
                     .first = stage.next,
                     .sample = index + 1 == m_stages.size()};
    if (index > 0) {
        step.activations = m_journals.at(stage.stage.layers.first).from(stage.next);
    } else if (stage.next == TokenPosition(0)) {
        step.prompt = m_options.prompt;
        step.tokens = m_tokens;
    } else {
        const auto known = static_cast<std::ptrdiff_t>(stage.next.value() - m_promptPositions.value());
        step.tokens.assign(m_tokens.begin() + known, m_tokens.end());
    }
    return step;
}

void PipelineJob::send(std::size_t stage, StepRequest step, TimePoint now, Actions &actions)
{
    const std::size_t positions =
        step.activations.size() + step.tokens.size()
        + (step.prompt ? m_promptPositions.value_or(static_cast<std::uint32_t>(step.prompt->size())) : 0);
    const Duration timeout = m_options.stepTimeout + stepTimeoutPerPosition * static_cast<Duration::rep>(positions);
    actions.emplace_back(SendStep{.target = m_stages[stage].stage.target, .step = step, .timeout = timeout});
    m_pending = PendingStep{.stage = stage, .step = std::move(step), .giveUpAt = now + timeout + adapterGrace};
}

bool PipelineJob::answersPending(const StepReply &reply) const
{
    const StepRequest &step = m_pending->step;
    const bool sameStep = reply.stream == step.stream && reply.job == step.job && reply.attempt == step.attempt
                          && reply.layers == step.layers && reply.first == step.first;
    if (!sameStep || reply.positions == 0 || reply.sampled.has_value() != step.sample) {
        return false;
    }
    if (!step.sample && reply.activations.size() != reply.positions) {
        return false;
    }
    if (!step.prompt) {
        return reply.positions == step.activations.size() + step.tokens.size();
    }
    return !m_promptPositions || reply.positions == *m_promptPositions + step.tokens.size();
}

void PipelineJob::takeReply(const StepReply &reply, TimePoint now, Actions &actions)
{
    const PendingStep pending = std::move(*m_pending);
    m_pending.reset();
    if (pending.step.prompt && !m_promptPositions) {
        m_promptPositions = reply.positions - static_cast<std::uint32_t>(pending.step.tokens.size());
    }
    Stage &stage = m_stages[pending.stage];
    stage.next = TokenPosition(reply.first.value() + reply.positions);
    if (reply.sampled) {
        accept(*reply.sampled, now, actions);
        return;
    }
    ActivationJournal &journal = m_journals[stage.stage.layers.end];
    journal.append(reply.first, reply.activations);
    trimJournals();
    advance(now, actions);
}

void PipelineJob::accept(const SampledToken &token, TimePoint now, Actions &actions)
{
    m_tokens.push_back(token.token);
    m_text += token.text;
    actions.emplace_back(TokenAccepted{.text = token.text});
    if (token.finished || m_tokens.size() >= m_options.maximumTokens.value()) {
        complete(actions);
        return;
    }
    advance(now, actions);
}

void PipelineJob::refused(EngineRefusal refusal, TimePoint now, Actions &actions)
{
    switch (refusal.kind) {
    case EngineRefusalKind::PositionMismatch:
        resume(now, actions);
        return;
    case EngineRefusalKind::Overloaded:
        m_pending->giveUpAt = TimePoint::max();
        m_pauseUntil = now + m_options.routePause;
        return;
    case EngineRefusalKind::StreamUnknown:
        loseStage(m_pending->stage, false, now, actions);
        return;
    case EngineRefusalKind::LayersNotHeld:
    case EngineRefusalKind::Malformed:
        loseStage(m_pending->stage, true, now, actions);
        return;
    }
}

void PipelineJob::resume(TimePoint now, Actions &actions)
{
    const TargetId &target = m_stages[m_pending->stage].stage.target;
    report(StageIncidentKind::StepUncertain, target, actions);
    m_ran = true;
    m_lifecycle.take(JobTransition::StepUncertain);
    m_pending->giveUpAt = now + m_options.statusTimeout + adapterGrace;
    actions.emplace_back(
        QueryStream{.target = target, .stream = m_pending->step.stream, .timeout = m_options.statusTimeout});
}

void PipelineJob::takeStatus(const StreamStatus &status, TimePoint now, Actions &actions)
{
    if (status.lastReply && answersPending(*status.lastReply)) {
        report(StageIncidentKind::AnswerRecovered, m_stages[m_pending->stage].stage.target, actions);
        m_lifecycle.take(JobTransition::StreamAnswered);
        takeReply(*status.lastReply, now, actions);
        return;
    }
    if (status.next != m_pending->step.first) {
        loseStage(m_pending->stage, false, now, actions);
        return;
    }
    if (++m_repairs > m_options.repairLimit) {
        fail(JobFailureKind::TooManyRepairs, actions);
        return;
    }
    // The stream has not run the step, and would refuse a second copy of it: sending it again is safe.
    m_lifecycle.take(JobTransition::StreamAnswered);
    PendingStep pending = std::move(*m_pending);
    send(pending.stage, std::move(pending.step), now, actions);
}

void PipelineJob::loseStage(std::size_t index, bool exclude, TimePoint now, Actions &actions)
{
    Stage &stage = m_stages[index];
    stage.lost = true;
    report(StageIncidentKind::StageLost, stage.stage.target, actions);
    actions.emplace_back(CancelStream{.target = stage.stage.target, .stream = stage.stream});
    if (exclude) {
        m_excluded.insert(stage.stage.target);
    }
    m_pending.reset();
    m_pauseUntil.reset();
    if (++m_repairs > m_options.repairLimit) {
        fail(JobFailureKind::TooManyRepairs, actions);
        return;
    }
    const auto journal = m_journals.find(stage.stage.layers.first);
    if (index > 0 && journal != m_journals.end() && journal->second.begin() > TokenPosition(0)) {
        restart(now, actions);
        return;
    }
    m_replacing = index;
    m_lifecycle.take(JobTransition::StageLost);
    actions.emplace_back(RequestReplacement{.layers = stage.stage.layers, .excluded = m_excluded});
}

void PipelineJob::restart(TimePoint, Actions &actions)
{
    report(StageIncidentKind::NewAttempt, TargetId(), actions);
    cancelStreams(actions);
    m_stages.clear();
    m_journals.clear();
    m_pending.reset();
    m_attempt = m_attempt.next();
    m_lifecycle.take(JobTransition::AttemptRestarted);
    requestChain(actions);
}

/// Gives up the oldest activations when all journals together are too large; streams then can't be rebuilt from them.
void PipelineJob::trimJournals()
{
    ByteCount total;
    for (const auto &[boundary, journal] : m_journals) {
        total += journal.bytes();
    }
    if (total <= m_options.journalLimit) {
        return;
    }
    for (const Stage &stage : m_stages) {
        if (const auto journal = m_journals.find(stage.stage.layers.first); journal != m_journals.end()) {
            journal->second.forgetBefore(stage.next);
        }
    }
}

void PipelineJob::cancelStreams(Actions &actions)
{
    for (const Stage &stage : m_stages) {
        if (!stage.lost) {
            actions.emplace_back(CancelStream{.target = stage.stage.target, .stream = stage.stream});
        }
    }
}

void PipelineJob::fail(JobFailureKind kind, Actions &actions)
{
    cancelStreams(actions);
    const bool ran = m_ran || m_pending.has_value();
    m_pending.reset();
    m_lifecycle.take(JobTransition::JobEnded);
    actions.emplace_back(JobFailed{.kind = kind, .ran = ran});
}

void PipelineJob::complete(Actions &actions)
{
    cancelStreams(actions);
    m_lifecycle.take(JobTransition::JobEnded);
    actions.emplace_back(JobCompleted{.text = m_text,
                                      .promptTokens = TokenCount(m_promptPositions.value()),
                                      .generatedTokens = TokenCount(m_tokens.size())});
}

void PipelineJob::report(StageIncidentKind kind, const TargetId &target, Actions &actions)
{
    actions.emplace_back(StageIncident{.job = m_options.job, .kind = kind, .target = target});
}

static const char *incidentText(StageIncidentKind kind)
{
    switch (kind) {
    case StageIncidentKind::ForeignAnswerDropped:
        return "dropped an answer that was not awaited";
    case StageIncidentKind::StepUncertain:
        return "asks a stream where it stands";
    case StageIncidentKind::AnswerRecovered:
        return "recovered an answer from its stream";
    case StageIncidentKind::StageLost:
        return "lost a stage";
    case StageIncidentKind::NewAttempt:
        return "begins a new attempt";
    }
    return "";
}

std::string describe(const StageIncident &incident)
{
    std::string line = "Pipeline: job " + incident.job.value() + " " + incidentText(incident.kind);
    if (!incident.target.value().empty()) {
        line += " on " + incident.target.value();
    }
    return line + ".";
}

} // namespace Carawaymill

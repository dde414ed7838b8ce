#include "forwarding/tests/PausedEngines.h"

#include "support/Variant.h"

#include <algorithm>

namespace Carawaymill {

static constexpr Duration stepLength = 10ms;
static constexpr Duration tickInterval = 20ms;
static constexpr Duration eventInterval = 50ms;
static constexpr Duration roundTrip = 2ms;
static constexpr std::uint64_t eventsPerStream = 80;
static constexpr std::size_t chainsPerDomain = 6;

PausedEngines::PausedEngines(PausedEnginesOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    const LayerRange lower{LayerIndex(0), LayerIndex(4)};
    const LayerRange upper{LayerIndex(4), LayerIndex(8)};
    for (std::size_t host = 0; host < m_options.hosts; ++host) {
        ForwarderOptions forwarder;
        forwarder.targets.seed = options.seed * m_options.hosts + host;
        auto &fixture = *m_hosts.emplace_back(std::make_unique<ForwarderFixture>(forwarder));
        for (const std::string domain : {"a", "b"}) {
            // a1, a2, b1 and b2 are listed already.
            for (std::size_t chain = 1; chain < chainsPerDomain; ++chain) {
                const std::size_t number = 2 * chain + 1;
                fixture.forwarder.targetListed(fixture.engine(domain + std::to_string(number), lower), fixture.router);
                fixture.forwarder.targetListed(fixture.engine(domain + std::to_string(number + 1), upper),
                                               fixture.router);
            }
        }
    }
}

void PausedEngines::start(Duration period)
{
    const std::size_t all = m_options.hosts * m_options.streamsPerHost;
    const Duration interval = period / static_cast<Duration::rep>(all);
    TimePoint next = m_now;
    for (std::size_t stream = 0; stream < all; ++stream) {
        for (next += interval; m_now < next;) {
            step();
        }
        const std::size_t host = stream % m_options.hosts;
        const ForwardRequested request = ForwarderFixture::request(stream + 1, "/stream/x");
        m_streams[{host, request.id}] = {.deadline = m_now + *request.request.timeLeft};
        deliver(host, request);
    }
}

void PausedEngines::runFor(Duration period)
{
    for (const TimePoint end = m_now + period; m_now < end;) {
        step();
    }
}

void PausedEngines::pause(const std::string &failureDomains, Duration duration)
{
    m_pausedDomains = failureDomains;
    m_pausedUntil = m_now + duration;
}

bool PausedEngines::isPaused(const std::string &address) const
{
    return m_now < m_pausedUntil && m_pausedDomains.find(address.front()) != std::string::npos;
}

std::optional<std::string> PausedEngines::pausedStage(const ForwardToTarget &dispatch) const
{
    const auto paused =
        std::ranges::find_if(dispatch.path, [this](const PathStage &stage) { return isPaused(stage.address); });
    return paused == dispatch.path.end() ? std::nullopt : std::optional(paused->address);
}

void PausedEngines::deliver(std::size_t host, const ForwarderEvent &event)
{
    m_hosts[host]->now = m_now;
    perform(host, m_hosts[host]->handle(event));
}

void PausedEngines::perform(std::size_t host, const std::vector<ForwarderAction> &actions)
{
    for (const ForwarderAction &action : actions) {
        std::visit(Overloaded{[&](const ForwardToTarget &dispatch) {
                                  m_streams.at({host, dispatch.id}).dispatches += 1;
                                  m_runs[{host, dispatch.id, dispatch.attempt}] = {
                                      .host = host, .dispatch = dispatch, .sentAt = m_now};
                              },
                              [&](const AbandonAttempt &abandoned) {
                                  // What lies in a paused engine's kernel is read all the same.
                                  const AttemptKey key{host, abandoned.id, abandoned.attempt};
                                  if (const auto run = m_runs.find(key); run != m_runs.end() && run->second.read) {
                                      m_runs.erase(run);
                                  }
                              },
                              [&](const QueryProgress &progress) { query(host, progress); },
                              [&](const ProbeTarget &target) { probe(host, target); },
                              [&](const WriteStream &written) { recordEvents(host, written); },
                              [&](const EndStream &ended) {
                                  m_whole += m_streams.at({host, ended.id}).events == eventsPerStream ? 1 : 0;
                              },
                              [&](const AbortStream &) { ++m_failed; },
                              [&](const RefuseCaller &) { ++m_failed; },
                              [](const auto &) {}},
                   action);
    }
}

void PausedEngines::query(std::size_t host, const QueryProgress &query)
{
    ++m_queries;
    ProgressReported report{.id = query.id, .attempt = query.attempt, .answered = !isPaused(query.address)};
    if (const auto run = m_runs.find({host, query.id, query.attempt}); report.answered && run != m_runs.end()) {
        report.blockedAtAddress = pausedStage(run->second.dispatch);
    }
    m_answers.push_back(
        {.host = host, .at = m_now + (report.answered ? roundTrip : query.timeout), .event = std::move(report)});
}

void PausedEngines::probe(std::size_t host, const ProbeTarget &probe)
{
    ++m_queries;
    const bool reached = !isPaused(probe.address);
    m_answers.push_back({.host = host,
                         .at = m_now + (reached ? roundTrip : probe.timeout),
                         .event = TargetProbed{.target = probe.target, .reached = reached, .purpose = probe.purpose}});
}

void PausedEngines::recordEvents(std::size_t host, const WriteStream &written)
{
    Stream &stream = m_streams.at({host, written.id});
    for (std::size_t at = written.chunk.find("id: "); at != std::string::npos;
         at = written.chunk.find("id: ", at + 1)) {
        ++stream.events;
    }
    m_longestGap = std::max(m_longestGap, m_now - stream.lastEventAt.value_or(m_now));
    stream.lastEventAt = m_now;
}

void PausedEngines::step()
{
    m_now += stepLength;
    std::vector<Answer> due;
    std::erase_if(m_answers, [&](Answer &answer) {
        const bool isDue = m_now >= answer.at;
        if (isDue) {
            due.push_back(std::move(answer));
        }
        return isDue;
    });
    for (const Answer &answer : due) {
        deliver(answer.host, answer.event);
    }
    std::vector<AttemptKey> runs;
    for (const auto &[key, run] : m_runs) {
        runs.push_back(key);
    }
    for (const AttemptKey &key : runs) {
        advance(key);
    }
    if (m_now.time_since_epoch() % tickInterval == Duration::zero()) {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            deliver(host, Tick{});
        }
    }
}

void PausedEngines::advance(const AttemptKey &key)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || isPaused(found->second.dispatch.address)) {
        return;
    }
    Run &run = found->second;
    const std::size_t host = run.host;
    const ForwardToTarget dispatch = run.dispatch;
    if (!run.read) {
        run.read = true;
        run.next = dispatch.resumeAfter ? dispatch.resumeAfter->value() + 1 : 1;
        run.nextAt = m_now + eventInterval;
        const Stream &stream = m_streams.at({host, dispatch.id});
        if (dispatch.attempt.value() > 1) {
            m_repeats.push_back(
                {.waited = m_now - run.sentAt, .beyondDeadline = m_now + *dispatch.timeLeft - stream.deadline});
        }
        deliver(host, ForwarderFixture::started(dispatch));
        return;
    }
    if (m_now < run.nextAt || pausedStage(dispatch)) {
        return;
    }
    run.nextAt = m_now + eventInterval;
    if (run.next > eventsPerStream) {
        m_runs.erase(found);
        deliver(host, ForwarderFixture::ended(dispatch));
        return;
    }
    const std::uint64_t position = run.next++;
    deliver(host, ForwarderFixture::event(dispatch, position));
}

} // namespace Carawaymill

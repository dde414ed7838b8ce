#include "routing/BurstModel.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>

namespace Carawaymill {

namespace {

struct Server
{
    double layerTokensPerSecond = 0;
    double linkBytesPerSecond = 0;
    TimePoint freeAt{};
    TimePoint linkFreeAt{};
    std::uint32_t steps = 0;
};

struct Job
{
    std::size_t host = 0;
    Chain chain;
    std::size_t stage = 0;
    std::uint64_t tokensDone = 0;
    TimePoint stageBegan{};
};

struct JobEnd
{
    TimePoint at{};
    /// Layers times tokens that the whole fleet had run by then.
    double layerTokens = 0;
};

enum class Occurrence {
    /// The activation has arrived at the target.
    Arrived,
    /// The target has run the stage.
    Ran,
    Report,
};

struct Event
{
    TimePoint at{};
    std::uint64_t number = 0;
    Occurrence occurrence = Occurrence::Report;
    std::size_t job = 0;

    bool operator>(const Event &other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
};

class Burst
{
public:
    Burst(const BurstScene &scene, const BurstOptions &options, const BurstPolicyMaker &maker);
    BurstResult run();

private:
    static Duration duration(double seconds) { return Duration(std::llround(seconds * 1e6)); }

    void schedule(TimePoint at, Occurrence occurrence, std::size_t job);
    void startNextJob(std::size_t host);
    void beginStage(std::size_t job);
    void arrived(std::size_t job);
    void ran(std::size_t job);
    void report();
    [[nodiscard]] std::uint64_t tokensOf(const Job &job) const;

    const BurstScene &m_scene;
    const BurstOptions &m_options;
    std::vector<std::unique_ptr<BurstPolicy>> m_policies;
    std::map<TargetId, Server> m_servers;
    std::vector<Job> m_jobs;
    std::vector<std::size_t> m_waiting;
    std::vector<JobEnd> m_ends;
    double m_layerTokens = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::map<TargetId, std::uint32_t> m_lastCounts;
    std::uint64_t m_number = 0;
    TimePoint m_now{};
};

Burst::Burst(const BurstScene &scene, const BurstOptions &options, const BurstPolicyMaker &maker)
    : m_scene(scene)
    , m_options(options)
    , m_waiting(options.hosts, options.jobs / options.hosts)
{
    for (std::size_t i = 0; i < scene.targets.size(); ++i) {
        const PlacementTarget &target = scene.targets[i];
        const bool degraded = options.degradedLinks && i % 10 == 0;
        m_servers[target.id] = {.layerTokensPerSecond = target.layerTokensPerSecond,
                                .linkBytesPerSecond = target.linkBytesPerSecond / (degraded ? 100 : 1)};
    }
    for (std::size_t host = 0; host < options.hosts; ++host) {
        m_policies.push_back(maker(scene, host + 1));
    }
}

void Burst::schedule(TimePoint at, Occurrence occurrence, std::size_t job)
{
    m_events.push({.at = at, .number = ++m_number, .occurrence = occurrence, .job = job});
}

void Burst::startNextJob(std::size_t host)
{
    if (m_waiting[host] == 0) {
        return;
    }
    --m_waiting[host];
    m_jobs.push_back({.host = host, .chain = m_policies[host]->choose(m_now)});
    beginStage(m_jobs.size() - 1);
}

std::uint64_t Burst::tokensOf(const Job &job) const
{
    return job.tokensDone == 0 ? m_scene.promptTokens.value() : 1;
}

void Burst::beginStage(std::size_t position)
{
    Job &job = m_jobs[position];
    Server &server = m_servers[job.chain.stages[job.stage].target];
    const double bytes = 2.0 * static_cast<double>(tokensOf(job) * m_scene.demand.activationBytes.value());
    job.stageBegan = m_now;
    server.linkFreeAt = std::max(server.linkFreeAt, m_now) + duration(bytes / server.linkBytesPerSecond);
    server.steps += 1;
    schedule(server.linkFreeAt + 300us, Occurrence::Arrived, position);
}

void Burst::arrived(std::size_t position)
{
    const Job &job = m_jobs[position];
    const ChainStage &stage = job.chain.stages[job.stage];
    Server &server = m_servers[stage.target];
    const auto work = static_cast<double>(tokensOf(job) * stage.layers.size());
    server.freeAt = std::max(server.freeAt, m_now) + duration(work / server.layerTokensPerSecond);
    schedule(server.freeAt + 300us, Occurrence::Ran, position);
}

void Burst::ran(std::size_t position)
{
    Job &job = m_jobs[position];
    const ChainStage &stage = job.chain.stages[job.stage];
    m_servers[stage.target].steps -= 1;
    m_layerTokens += static_cast<double>(tokensOf(job) * stage.layers.size());
    const StageWork work{.tokens = TokenCount(tokensOf(job)), .activationBytes = m_scene.demand.activationBytes};
    m_policies[job.host]->measured(stage, work, m_now - job.stageBegan, m_now);
    job.stage += 1;
    if (job.stage == job.chain.stages.size()) {
        job.stage = 0;
        job.tokensDone += tokensOf(job);
        if (job.tokensDone >= m_scene.promptTokens.value() + m_scene.answerTokens.value()) {
            m_policies[job.host]->ended(job.chain);
            m_ends.push_back({.at = m_now, .layerTokens = m_layerTokens});
            startNextJob(job.host);
            return;
        }
    }
    beginStage(position);
}

void Burst::report()
{
    for (auto &[target, server] : m_servers) {
        // What arrives now was counted one lag ago.
        for (const auto &policy : m_policies) {
            policy->reported(target, m_lastCounts[target], m_now);
        }
        m_lastCounts[target] = server.steps;
    }
    schedule(m_now + m_options.reportInterval, Occurrence::Report, 0);
}

BurstResult Burst::run()
{
    for (std::size_t i = 0; i < m_options.jobsInProgressPerHost; ++i) {
        for (std::size_t host = 0; host < m_options.hosts; ++host) {
            startNextJob(host);
        }
    }
    report();
    while (m_ends.size() < m_options.jobs) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        switch (event.occurrence) {
        case Occurrence::Arrived:
            arrived(event.job);
            break;
        case Occurrence::Ran:
            ran(event.job);
            break;
        case Occurrence::Report:
            report();
            break;
        }
    }
    const JobEnd &begin = m_ends[m_ends.size() * 15 / 100];
    const JobEnd &end = m_ends[m_ends.size() * 85 / 100];
    const auto perSecond = [&](const JobEnd &from, const JobEnd &to) {
        const double time = std::chrono::duration<double>(to.at - from.at).count();
        return (to.layerTokens - from.layerTokens) / m_scene.demand.layers / time;
    };
    return {.tokensPerSecond = perSecond(begin, end),
            .wholeTokensPerSecond = perSecond(JobEnd(), m_ends.back()),
            .cleared = m_ends.back().at - TimePoint()};
}

} // namespace

BurstResult runBurst(const BurstScene &scene, const BurstOptions &options, const BurstPolicyMaker &maker)
{
    return Burst(scene, options, maker).run();
}

} // namespace Carawaymill

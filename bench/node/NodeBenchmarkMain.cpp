#include "catalogue/StoredRecord.h"
#include "node/Node.h"
#include "pipeline/EngineMessages.h"
#include "standins/KeyValueStore.h"
#include "support/Hash.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <deque>
#include <fstream>

/// Measures what one entry node spends: memory of the catalogue and of jobs, processor time of a tick, of a step and of
/// its JSON. One line of `name key=value ...` per result.
using namespace Carawaymill;

namespace {

constexpr std::uint32_t modelLayers = 80;
constexpr std::uint32_t chainStages = 4;
constexpr Duration benchTick = 10ms;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double residentMegabytes()
{
    std::ifstream statistics("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statistics >> total >> resident;
    constexpr double pageKilobytes = 4;
    return static_cast<double>(resident) * pageKilobytes / 1024;
}

struct Size
{
    std::size_t organisations = 10;
    std::size_t targets = 40;
    std::size_t jobs = 100;
    std::size_t activationBytes = 16;
    /// Whether the node gets every lease that it wants: then it places all regions and owns all shards by itself.
    bool holder = false;
};

/// One node whose service, targets and engines answer at once.
class Bench
{
public:
    explicit Bench(const Size &size)
        : m_size(size)
        , m_store({})
        , m_node(std::get<0>(Node::create({.host = HostId("entry-1"),
                                           .failureDomain = FailureDomainId("fukuoka"),
                                           .region = RegionId("kyushu"),
                                           .peerAddress = "entry-1",
                                           .incarnation = IncarnationNumber(1),
                                           .operatorTokenHash = sha256Hex("token"),
                                           .firstStartOfDeployment = true,
                                           .maximumConcurrentJobs = 100'000},
                                          m_now)))
    {
        seedAll();
    }

    void run(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end;) {
            m_now += benchTick;
            const double start = processorSeconds();
            feed(Tick{});
            m_tickSeconds += processorSeconds() - start;
            ++m_ticks;
            drain();
        }
    }

    void startJobs()
    {
        for (std::size_t job = 0; job < m_size.jobs; ++job) {
            const nlohmann::json body = {
                {"model", "entry-0"}, {"prompt", std::string(1600, 'x')}, {"max_tokens", 4000}};
            feed(CallerRequest{.id = RequestId(++m_requests),
                               .request = {.method = "POST",
                                           .target = "/v1/completions",
                                           .headers = {{"Authorization", "Bearer token-0"}},
                                           .body = body.dump()},
                               .receivedAt = WallClockSeconds(0)});
        }
    }

    /// Answers steps until so many were answered; returns the node's processor seconds for them.
    double answerSteps(std::size_t count)
    {
        double spent = 0;
        for (std::size_t step = 0; step < count && !m_steps.empty(); ++step) {
            const RunStep run = std::move(m_steps.front());
            m_steps.pop_front();
            const StepReturned returned{.job = run.job, .stream = run.step.stream, .result = replyTo(run.step)};
            const double start = processorSeconds();
            feed(returned);
            spent += processorSeconds() - start;
        }
        return spent;
    }

    void resetTicks()
    {
        m_tickSeconds = 0;
        m_ticks = 0;
    }

    [[nodiscard]] double secondsPerTick() const { return m_tickSeconds / static_cast<double>(m_ticks); }

    [[nodiscard]] std::size_t waitingSteps() const { return m_steps.size(); }

    [[nodiscard]] bool ready() const { return m_node->ready(m_now); }

private:
    void write(const CatalogueRecord &record)
    {
        const std::string key = catalogueKey(record);
        (void)m_store.apply(
            Commit{{WriteOperation{
                .key = key, .value = encodeStoredRecord({.record = record, .edits = {}}), .expected = Revision(0)}}},
            m_now);
    }

    void seedAll()
    {
        const Limits wide{.requestsPerSecond = 1e6, .tokensPerSecond = 1e9, .jobsInProgress = 1'000'000};
        for (std::size_t index = 0; index < m_size.organisations; ++index) {
            const std::string number = std::to_string(index);
            write(OrganisationRecord{.id = OrganisationId("organisation-" + number),
                                     .tokenHashes = {sha256Hex("token-" + number)},
                                     .limits = wide});
            write(EntryRecord{.id = EntryId("entry-" + number),
                              .owner = OrganisationId("organisation-" + number),
                              .jobClass = JobClass::Standard,
                              .limits = wide,
                              .backEnd = ModelEntry{.model = ModelId("model-0"), .version = "1", .adapter = ""}});
        }
        write(ModelRecord{.id = ModelId("model-0"),
                          .layers = modelLayers,
                          .bytesPerLayer = ByteCount(1),
                          .activationBytes = ByteCount(m_size.activationBytes)});
        for (std::size_t index = 0; index < m_size.targets; ++index) {
            write(TargetRecord{.id = TargetId("target-" + std::to_string(index)),
                               .kind = TargetKind::Engine,
                               .address = std::to_string(index),
                               .failureDomain = FailureDomainId("domain-" + std::to_string(index % 24)),
                               .region = RegionId("region-" + std::to_string(index % 7)),
                               .memory = ByteCount(1'000'000'000),
                               .layerTokensPerSecond = 1e5,
                               .linkBytesPerSecond = 1e9});
        }
        (void)m_store.apply(Commit{{WriteOperation{
                                .key = catalogueHeadKey, .value = encodeCatalogueHead({}), .expected = Revision(0)}}},
                            m_now);
    }

    void feed(const NodeEvent &event)
    {
        for (NodeAction &action : m_node->handle(event, m_now)) {
            if (auto *step = std::get_if<RunStep>(&action)) {
                m_steps.push_back(std::move(*step));
            } else if (std::holds_alternative<KeyValueCall>(action)
                       || std::holds_alternative<RequestTargetReport>(action)) {
                m_waiting.push_back(std::move(action));
            }
        }
    }

    void drain()
    {
        std::deque<NodeAction> waiting = std::exchange(m_waiting, {});
        for (NodeAction &action : waiting) {
            if (const auto *call = std::get_if<KeyValueCall>(&action)) {
                if (!std::holds_alternative<WatchRange>(call->request)) {
                    feed(KeyValueReply{.id = call->id, .result = answerTo(call->request)});
                }
                continue;
            }
            const auto &ask = std::get<RequestTargetReport>(action);
            feed(
                TargetReported{.target = ask.target, .outcome = PollOutcome::Answered, .report = reportOf(ask.target)});
        }
    }

    [[nodiscard]] KeyValueResult answerTo(const KeyValueRequest &request)
    {
        const bool isRead = std::holds_alternative<ReadRange>(request);
        return isRead || m_size.holder ? m_store.apply(request, m_now) : KeyValueResult(ServiceUnavailable{});
    }

    /// Each target holds one quarter of the model.
    [[nodiscard]] static EngineReport reportOf(const TargetId &target)
    {
        const auto index = static_cast<std::uint32_t>(std::stoul(target.value().substr(target.value().find('-') + 1)));
        constexpr std::uint32_t part = modelLayers / chainStages;
        const std::uint32_t first = index % chainStages * part;
        EngineReport report;
        report.state = {.target = target, .incarnation = IncarnationNumber(1)};
        report.state.held.push_back({.model = ModelId("model-0"),
                                     .version = "1",
                                     .adapter = "",
                                     .layers = {LayerIndex(first), LayerIndex(first + part)}});
        return report;
    }

    [[nodiscard]] StepReply replyTo(const StepRequest &step) const
    {
        const std::size_t positions = step.prompt ? 400 : step.activations.size() + step.tokens.size();
        StepReply reply{.stream = step.stream,
                        .job = step.job,
                        .attempt = step.attempt,
                        .layers = step.layers,
                        .first = step.first,
                        .positions = static_cast<std::uint32_t>(positions)};
        if (step.sample) {
            reply.sampled = SampledToken{.token = TokenId(7), .text = "tow "};
        } else {
            reply.activations.assign(positions, std::string(m_size.activationBytes, 'a'));
        }
        return reply;
    }

    Size m_size;
    TimePoint m_now{};
    KeyValueStore m_store;
    std::unique_ptr<Node> m_node;
    std::deque<NodeAction> m_waiting;
    std::deque<RunStep> m_steps;
    std::uint64_t m_requests = 0;
    std::uint64_t m_ticks = 0;
    double m_tickSeconds = 0;
};

void measureNode(const Size &size)
{
    const double before = residentMegabytes();
    Bench bench(size);
    bench.run(10s);
    const double loaded = residentMegabytes();
    bench.resetTicks();
    bench.run(5s);
    const double idleTick = bench.secondsPerTick();
    bench.startJobs();
    constexpr std::size_t warmRounds = 40;
    (void)bench.answerSteps(size.jobs * warmRounds);
    const double withJobs = residentMegabytes();
    const std::size_t steps = size.jobs * 100;
    const double spent = bench.answerSteps(steps);
    bench.resetTicks();
    bench.run(1s);
    std::printf(
        "node holder=%d organisations=%zu targets=%zu jobs=%zu activationBytes=%zu ready=%d catalogueMegabytes=%.1f "
        "jobsMegabytes=%.1f microsecondsPerStep=%.2f idleTickMicroseconds=%.1f busyTickMicroseconds=%.1f\n",
        size.holder ? 1 : 0,
        size.organisations,
        size.targets,
        size.jobs,
        size.activationBytes,
        bench.ready() ? 1 : 0,
        loaded - before,
        withJobs - loaded,
        spent * 1e6 / static_cast<double>(steps),
        idleTick * 1e6,
        bench.secondsPerTick() * 1e6);
}

/// The JSON of one step there and back, as the engine adapter makes it.
void measureJson(std::size_t activationBytes)
{
    StepRequest request{.stream = StreamId("entry-1-1-1.1"), .job = JobId("entry-1-1-1"), .model = ModelId("model-0")};
    request.activations.assign(1, std::string(activationBytes, 'a'));
    StepReply reply{.stream = request.stream, .job = request.job, .positions = 1, .activations = request.activations};
    constexpr int rounds = 5000;
    std::size_t bytes = 0;
    const double start = processorSeconds();
    for (int round = 0; round < rounds; ++round) {
        bytes += nlohmann::json(request).dump().size();
        const auto read = decode<StepReply>(nlohmann::json::parse(nlohmann::json(reply).dump()));
        bytes += std::get<StepReply>(read).activations.size();
    }
    std::printf("json activationBytes=%zu microsecondsPerStep=%.2f requestBytes=%zu\n",
                activationBytes,
                (processorSeconds() - start) * 1e6 / rounds,
                bytes / rounds);
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    measureNode({.organisations = 10, .targets = 40, .jobs = 100, .holder = true});
    measureNode({.organisations = 10, .targets = 157, .jobs = 100, .holder = true});
    measureNode({.organisations = 10, .targets = 40, .jobs = 100});
    measureNode({.organisations = 550, .targets = 275, .jobs = 100});
    measureNode({.organisations = 1100, .targets = 550, .jobs = 200});
    measureNode({.organisations = 2200, .targets = 1100, .jobs = 200});
    measureNode({.organisations = 10, .targets = 40, .jobs = 100, .activationBytes = 4096});
    measureNode({.organisations = 10, .targets = 40, .jobs = 200, .activationBytes = 4096});
    measureJson(16);
    measureJson(4096);
    measureJson(16384);
}

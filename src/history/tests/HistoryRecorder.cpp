#include "HistoryRecorder.h"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace Carawaymill {

static constexpr std::uint32_t modelLayers = 12;
static constexpr const char *completionsPath = "/v1/completions";
static constexpr const char *servicesPath = "/v1/services/";

static bool isModelCall(const CallerView &view)
{
    return view.request.target == completionsPath;
}

static bool isServiceCall(const CallerView &view)
{
    return view.request.target.starts_with(servicesPath);
}

static std::string promptOf(const CallerView &view)
{
    return nlohmann::json::parse(view.request.body).at("prompt").get<std::string>();
}

void HistoryRecorder::sample()
{
    for (const std::string &name : m_world.hosts()) {
        const HostCondition condition = m_world.condition(name);
        const IncarnationNumber life(condition.starts);
        sampleConnection(name, life, isConnected(name));
        if (condition.up) {
            sampleCatalogue(name, life);
        }
    }
}

/// A host is connected when it reaches the service, or another host that does. While nobody reaches the service, hosts
/// that reach each other are connected.
bool HistoryRecorder::isConnected(const std::string &name) const
{
    const auto runs = [](const HostCondition &host) { return host.up && !host.frozen; };
    const HostCondition host = m_world.condition(name);
    if (!runs(host)) {
        return false;
    }
    const bool outage = m_world.store().faults().outage;
    if (!outage && !host.cutFromService) {
        return true;
    }
    const std::vector<std::string> names = m_world.hosts();
    return !host.cutFromPeers && std::ranges::any_of(names, [&](const std::string &otherName) {
        const HostCondition other = m_world.condition(otherName);
        return otherName != name && runs(other) && !other.cutFromPeers && (outage || !other.cutFromService);
    });
}

void HistoryRecorder::sampleConnection(const std::string &host, IncarnationNumber life, bool connected)
{
    const auto open = m_connected.find(host);
    if (open != m_connected.end()) {
        open->second.to = m_world.now();
        if (connected && open->second.life == life) {
            return;
        }
        m_history.connected.push_back(open->second);
        m_connected.erase(open);
    }
    if (connected) {
        m_connected.emplace(
            host, ConnectedPeriod{.host = HostId(host), .life = life, .from = m_world.now(), .to = m_world.now()});
    }
}

void HistoryRecorder::sampleCatalogue(const std::string &host, IncarnationNumber life)
{
    const CatalogueTable &table = m_world.node(host).catalogue().table();
    const auto [hash, isNew] = m_stateHashes.try_emplace(host, table.stateHash());
    if (!isNew && std::exchange(hash->second, table.stateHash()) == table.stateHash()) {
        return;
    }
    for (const auto &[key, item] : table.items()) {
        const auto [known, isNewKey] = m_revisions.try_emplace({host, life, key}, item.revision);
        if (!isNewKey && std::exchange(known->second, item.revision) == item.revision) {
            continue;
        }
        m_history.revisions.push_back({.host = HostId(host),
                                       .life = life,
                                       .key = key,
                                       .revision = item.revision,
                                       .value = item.value,
                                       .at = m_world.now()});
    }
}

void HistoryRecorder::departureShown(std::variant<HostId, TargetId> who)
{
    m_history.departures.push_back({.who = std::move(who), .at = m_world.now()});
}

void HistoryRecorder::shutdownAsked(const std::string &host)
{
    m_history.shutdowns.push_back({.host = HostId(host), .askedAt = m_world.now(), .endedAt = std::nullopt});
}

void HistoryRecorder::shutdownEnded(const std::string &host)
{
    m_history.shutdowns.back().endedAt = m_world.now();
    m_world.killHost(host);
}

void HistoryRecorder::editAsked(std::size_t call, const std::string &key, Revision expected)
{
    m_edits.emplace(call, Edit{.key = key, .expected = expected});
}

/// Collects what the events of a stream say, as a caller that reads them would.
static void readStream(const CallerView &view, RequestSeen &request, ModelAsk &ask)
{
    bool hasEndMarker = false;
    std::optional<ProblemSeen> problem;
    std::istringstream lines(view.streamed);
    for (std::string line; std::getline(lines, line);) {
        const std::string prefix = "data: ";
        if (!line.starts_with(prefix)) {
            continue;
        }
        const std::string text = line.substr(prefix.size());
        if (text == "[DONE]") {
            hasEndMarker = true;
            continue;
        }
        const auto data = nlohmann::json::parse(text);
        if (data.contains("ran")) {
            problem = ProblemSeen{.ran = data.at("ran") == "no" ? RanClaim::No : RanClaim::Unknown,
                                  .type = data.at("type").get<std::string>()};
            continue;
        }
        request.job = JobId(data.at("id").get<std::string>());
        ask.receivedText += data.at("choices").at(0).at("text").get<std::string>();
        if (data.contains("usage")) {
            ask.promptTokens = data.at("usage").at("prompt_tokens").get<TokenCount>();
            ask.generatedTokens = data.at("usage").at("completion_tokens").get<TokenCount>();
        }
    }
    if (problem) {
        request.end = *problem;
    } else if (hasEndMarker) {
        request.end = WholeAnswerSeen{};
    } else if (view.streamEnded) {
        request.end = StreamEndedEarly{};
    }
}

/// The request that a service run was made for.
static RequestNumber requestOf(const ServiceRun &run)
{
    return RequestNumber(std::stoull(headerValue(run.request.headers, requestNumberHeader)));
}

static void readResponse(const HttpResponse &response, const std::vector<ServiceRun> &runs, RequestSeen &request)
{
    const auto body = nlohmann::json::parse(response.body);
    if (response.status != 200) {
        const std::string ran = body.value("ran", "unknown");
        request.end = ProblemSeen{.ran = ran == "no"    ? RanClaim::No
                                         : ran == "yes" ? RanClaim::Yes
                                                        : RanClaim::Unknown,
                                  .type = body.value("type", "")};
        return;
    }
    request.end = WholeAnswerSeen{};
    if (auto *service = std::get_if<ServiceAsk>(&request.ask)) {
        // The stand-in service answers with the number of its run, which begins at 1.
        service->answersRequest = requestOf(runs.at(body.at("run").get<std::size_t>() - 1));
    }
    if (auto *ask = std::get_if<ModelAsk>(&request.ask)) {
        request.job = JobId(body.at("id").get<std::string>());
        ask->receivedText = body.at("choices").at(0).at("text").get<std::string>();
        ask->promptTokens = body.at("usage").at("prompt_tokens").get<TokenCount>();
        ask->generatedTokens = body.at("usage").at("completion_tokens").get<TokenCount>();
    }
}

void HistoryRecorder::addRequest(std::size_t call, const CallerView &view)
{
    RequestSeen request{.number = RequestNumber(call),
                        .host = HostId(view.host),
                        .organisation = OrganisationId("thermal-ridge"),
                        .sentAt = view.sentAt,
                        .endedAt = view.answeredAt.value_or(TimePoint()),
                        .end = NoEndSeen{},
                        .ask = {},
                        .job = std::nullopt};
    if (isModelCall(view)) {
        request.ask = ModelAsk{.expectedText = NodeSimulation::expectedAnswer(promptOf(view)),
                               .receivedText = {},
                               .promptTokens = {},
                               .generatedTokens = {},
                               .layers = modelLayers};
    } else {
        request.ask = ServiceAsk{.idempotent = view.request.method == "GET",
                                 .key = IdempotencyKey(headerValue(view.request.headers, "Idempotency-Key")),
                                 .answersRequest = std::nullopt};
    }
    if (view.cut) {
        request.end = ConnectionCut{};
    } else if (view.response) {
        readResponse(*view.response, m_world.serviceRuns(), request);
    }
    if (!view.streamed.empty()) {
        readStream(view, request, std::get<ModelAsk>(request.ask));
        if (view.cut) {
            request.end = ConnectionCut{};
        }
    }
    m_history.requests.push_back(std::move(request));
}

void HistoryRecorder::addEdits()
{
    for (const auto &[call, edit] : m_edits) {
        const CallerView &view = m_world.view(call);
        if (view.response && view.response->status == 200) {
            const auto body = nlohmann::json::parse(view.response->body);
            m_history.edits.push_back({.key = edit.key,
                                       .expected = edit.expected,
                                       .revision = body.at("revision").get<Revision>(),
                                       .acceptedAt = *view.answeredAt});
        }
    }
}

void HistoryRecorder::addRuns()
{
    std::map<std::string, RequestNumber> prompts;
    for (std::size_t call = 0; call < m_world.views().size(); ++call) {
        if (isModelCall(m_world.view(call))) {
            prompts.emplace(promptOf(m_world.view(call)), RequestNumber(call));
        }
    }
    for (const StreamBegun &begun : m_world.streamsBegun()) {
        m_history.workGiven.push_back({.target = begun.target, .job = begun.job, .at = begun.at});
        if (begun.prompt) {
            const auto found = prompts.find(*begun.prompt);
            m_history.jobs.push_back(
                {.job = begun.job,
                 .request = found == prompts.end() ? std::nullopt : std::optional<RequestNumber>(found->second)});
        }
    }
    for (const ServiceRun &run : m_world.serviceRuns()) {
        m_history.serviceRuns.push_back({.target = run.target, .request = requestOf(run), .at = run.at});
        m_history.workGiven.push_back({.target = run.target, .job = JobId(), .at = run.at});
    }
    for (const EngineLog &log : m_world.engineLogs()) {
        for (const LayerRun &run : log.runs) {
            m_history.layerRuns.push_back({.target = log.target,
                                           .life = log.incarnation,
                                           .job = run.job,
                                           .stream = run.stream.value(),
                                           .position = run.position,
                                           .layer = run.layer});
        }
    }
}

void HistoryRecorder::usageAsked(std::size_t call, const OrganisationId &organisation)
{
    UsageSeen usage{.organisation = organisation, .jobs = 0, .tokens = {}};
    if (const CallerView &view = m_world.view(call); view.response && view.response->status == 200) {
        const auto body = nlohmann::json::parse(view.response->body);
        for (const auto &[period, sum] : body.at("periods").items()) {
            usage.jobs += sum.at("jobs").get<std::uint64_t>();
            usage.tokens += sum.at("tokens").get<TokenCount>();
        }
    }
    m_history.usage.push_back(usage);
}

History HistoryRecorder::finish()
{
    sample();
    for (const auto &[host, period] : std::exchange(m_connected, {})) {
        m_history.connected.push_back(period);
    }
    for (std::size_t call = 0; call < m_world.views().size(); ++call) {
        const CallerView &view = m_world.view(call);
        if (isModelCall(view) || isServiceCall(view)) {
            addRequest(call, view);
        }
    }
    addEdits();
    addRuns();
    m_history.end = m_world.now();
    return std::move(m_history);
}

} // namespace Carawaymill

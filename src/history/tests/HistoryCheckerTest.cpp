#include "history/HistoryChecker.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

/// The clock starts at nought.
static TimePoint at(Duration sinceStart)
{
    return TimePoint(sinceStart);
}

static const HostId hostA("entry-1");
static const TargetId engine("engine-1");
static const TargetId service("billing-1");
static const OrganisationId organisation("thermal-ridge");
static const IncarnationNumber life(1);

/// Two layers, a prompt of one token and an answer of two.
static RequestSeen modelRequest(std::size_t number)
{
    return {.number = RequestNumber(number),
            .host = hostA,
            .organisation = organisation,
            .sentAt = at(Duration(number * 100'000)),
            .endedAt = at(Duration(number * 100'000 + 50'000)),
            .end = WholeAnswerSeen{},
            .ask = ModelAsk{.expectedText = "tow " + std::to_string(number),
                            .receivedText = "tow " + std::to_string(number),
                            .promptTokens = TokenCount(1),
                            .generatedTokens = TokenCount(2),
                            .layers = 2},
            .job = JobId("job-" + std::to_string(number))};
}

static RequestSeen serviceRequest(std::size_t number, const std::string &key)
{
    return {.number = RequestNumber(number),
            .host = hostA,
            .organisation = organisation,
            .sentAt = at(Duration(number * 100'000)),
            .endedAt = at(Duration(number * 100'000 + 50'000)),
            .end = WholeAnswerSeen{},
            .ask = ServiceAsk{.idempotent = false, .key = IdempotencyKey(key), .answersRequest = RequestNumber(number)},
            .job = std::nullopt};
}

static LayerRunSeen layerRun(const JobId &job, std::uint32_t position, std::uint32_t layer)
{
    return {.target = engine,
            .life = life,
            .job = job,
            .stream = job.value() + "-a",
            .position = TokenPosition(position),
            .layer = LayerIndex(layer)};
}

/// Requests 1 and 2 to a model, 3 and 4 to a service, an edit, a departure and a shutdown: all as promised.
static History goodHistory()
{
    History history;
    for (std::size_t number : {1U, 2U}) {
        const RequestSeen request = modelRequest(number);
        history.jobs.push_back({.job = *request.job, .request = request.number});
        for (std::uint32_t position = 0; position < 2; ++position) {
            history.layerRuns.push_back(layerRun(*request.job, position, 0));
            history.layerRuns.push_back(layerRun(*request.job, position, 1));
        }
        history.requests.push_back(request);
    }
    history.requests.push_back(serviceRequest(3, "tow-17"));
    history.requests.push_back(serviceRequest(4, "tow-17"));
    std::get<ServiceAsk>(history.requests.back().ask).answersRequest = RequestNumber(3);
    history.serviceRuns.push_back({.target = service, .request = RequestNumber(3), .at = at(310ms)});
    history.workGiven.push_back({.target = engine, .job = JobId("job-1"), .at = at(110ms)});
    history.departures.push_back({.who = engine, .at = at(200ms)});
    history.departures.push_back({.who = hostA, .at = at(1s)});
    history.shutdowns.push_back({.host = hostA, .askedAt = at(120ms), .endedAt = at(1s)});
    history.edits.push_back(
        {.key = "catalogue/entry/a", .expected = Revision(3), .revision = Revision(5), .acceptedAt = at(1s)});
    history.connected.push_back({.host = hostA, .life = life, .from = at(0s), .to = at(60s)});
    for (std::uint64_t revision : {3U, 5U}) {
        history.revisions.push_back({.host = hostA,
                                     .life = life,
                                     .key = "catalogue/entry/a",
                                     .revision = Revision(revision),
                                     .value = "v" + std::to_string(revision),
                                     .at = at(Duration(revision * 300'000))});
    }
    history.limits.push_back({.organisation = organisation, .requestsPerSecond = 10, .burst = 2, .statedError = 0.1});
    history.usage.push_back({.organisation = organisation, .jobs = 2, .tokens = TokenCount(6)});
    history.end = at(300s);
    return history;
}

/// The one violation that the checker finds, or none if it finds another number of them or another kind.
template<typename Kind>
static std::optional<Kind> onlyViolation(const History &history)
{
    const auto violations = HistoryChecker(history, {}).checkAll();
    for (const Violation &violation : violations) {
        INFO(describe(violation));
        CHECK(std::holds_alternative<Kind>(violation));
    }
    if (violations.size() != 1 || !std::holds_alternative<Kind>(violations.front())) {
        return std::nullopt;
    }
    return std::get<Kind>(violations.front());
}

TEST_CASE("a history that keeps every promise has no violation")
{
    CHECK(HistoryChecker(goodHistory(), {}).checkAll().empty());
}

TEST_CASE("layers: twice, left out, out of order or on another job's stream is rejected")
{
    History history = goodHistory();
    SUBCASE("a layer runs twice")
    {
        history.layerRuns.insert(history.layerRuns.begin() + 1, history.layerRuns.front());
    }
    SUBCASE("a position runs twice")
    {
        history.layerRuns.push_back(layerRun(JobId("job-2"), 1, 0));
    }
    SUBCASE("a stream does not begin at the first position")
    {
        LayerRunSeen run = layerRun(JobId("job-2"), 3, 0);
        run.stream = "late";
        history.layerRuns.push_back(run);
    }
    SUBCASE("a stream's run belongs to another job")
    {
        LayerRunSeen run = layerRun(JobId("job-1"), 2, 0);
        run.job = JobId("job-2");
        history.layerRuns.push_back(run);
    }
    CHECK(onlyViolation<LayersOutOfOrder>(history));
}

TEST_CASE("layers: swapped layers and positions are rejected")
{
    History history = goodHistory();
    SUBCASE("layers")
    {
        std::swap(history.layerRuns[0], history.layerRuns[1]);
    }
    SUBCASE("positions")
    {
        std::swap(history.layerRuns[0], history.layerRuns[2]);
    }
    CHECK_FALSE(HistoryChecker(history, {}).checkLayers().empty());
}

TEST_CASE("layers: an answer without a layer for some token is rejected")
{
    History history = goodHistory();
    history.layerRuns.pop_back();
    const auto violation = onlyViolation<LayerNotRun>(history);
    REQUIRE(violation);
    CHECK(violation->request == RequestNumber(2));
    CHECK(violation->position == TokenPosition(1));
    CHECK(violation->layer == LayerIndex(1));
}

TEST_CASE("answers: a wrong, foreign, broken or missing answer is rejected")
{
    History history = goodHistory();
    RequestSeen &request = history.requests.front();
    auto &ask = std::get<ModelAsk>(request.ask);
    SUBCASE("a part is given as the whole")
    {
        ask.receivedText = "to";
        CHECK(onlyViolation<WrongAnswer>(history));
    }
    SUBCASE("the text of another request streams in before a cut")
    {
        request.end = ConnectionCut{};
        ask.receivedText = "summary";
        history.usage.clear();
        CHECK(onlyViolation<WrongAnswer>(history));
    }
    SUBCASE("a stream ends without its end marker")
    {
        request.end = StreamEndedEarly{};
        ask.receivedText = "to";
        history.usage.clear();
        CHECK(onlyViolation<FragmentGiven>(history));
    }
    SUBCASE("a stream with an end marker is the answer of another job")
    {
        request.job = JobId("job-2");
        CHECK(onlyViolation<AnswerOfOtherRequest>(history));
    }
    SUBCASE("a service's answer to another call")
    {
        std::get<ServiceAsk>(history.requests[3].ask).key = IdempotencyKey("tow-18");
        CHECK(onlyViolation<AnswerOfOtherRequest>(history));
    }
    SUBCASE("no answer ever comes")
    {
        request.end = NoEndSeen{};
        ask.receivedText.clear();
        history.usage.clear();
        history.shutdowns.clear();
        CHECK(onlyViolation<RequestLost>(history));
    }
}

TEST_CASE("not run: a model's layer or a service's run behind such a refusal is rejected")
{
    History history = goodHistory();
    RequestSeen *request = &history.requests[2];
    SUBCASE("model")
    {
        request = &history.requests.front();
        std::get<ModelAsk>(request->ask).receivedText.clear();
        history.usage.clear();
    }
    SUBCASE("service") { }
    request->end = ProblemSeen{.ran = RanClaim::No, .type = "urn:carawaymill:problem:no-target"};
    CHECK(onlyViolation<RanAfterAll>(history));
    request->end = ProblemSeen{.ran = RanClaim::Unknown, .type = "urn:carawaymill:problem:outcome-unknown"};
    CHECK(HistoryChecker(history, {}).checkAll().empty());
}

TEST_CASE("at most once: a second run with the same key, or of one call without a key, is rejected")
{
    History history = goodHistory();
    SUBCASE("the repeat of a caller with the same key runs again")
    {
        history.serviceRuns.push_back({.target = service, .request = RequestNumber(4), .at = at(410ms)});
    }
    SUBCASE("one call without a key runs on two targets")
    {
        history.requests.push_back(serviceRequest(5, ""));
        history.serviceRuns.push_back({.target = service, .request = RequestNumber(5), .at = at(510ms)});
        history.serviceRuns.push_back({.target = TargetId("b"), .request = RequestNumber(5), .at = at(520ms)});
    }
    const auto violation = onlyViolation<RanTwice>(history);
    REQUIRE(violation);
    CHECK(violation->runs == 2);
}

TEST_CASE("departures: new work after the bound is rejected, and before it is not")
{
    History history = goodHistory();
    SUBCASE("target")
    {
        history.workGiven.push_back({.target = engine, .job = JobId("job-9"), .at = at(5200ms)});
        CHECK(HistoryChecker(history, {}).checkAll().empty());
        history.workGiven.push_back({.target = engine, .job = JobId("job-9"), .at = at(5201ms)});
    }
    SUBCASE("host")
    {
        RequestSeen request = serviceRequest(9, "");
        request.sentAt = at(6s);
        history.requests.push_back(request);
        CHECK(HistoryChecker(history, {}).checkAll().empty());
        history.requests.back().sentAt = at(6001ms);
    }
    CHECK(onlyViolation<WorkAfterDeparture>(history));
}

TEST_CASE("shutdown: cutting or refusing a request that was in progress is rejected")
{
    History history = goodHistory();
    RequestSeen &request = history.requests.front();
    history.usage.clear();
    std::get<ModelAsk>(request.ask).receivedText.clear();
    SUBCASE("cut")
    {
        request.end = ConnectionCut{};
        request.endedAt = at(1s);
    }
    SUBCASE("refused")
    {
        request.end = ProblemSeen{.ran = RanClaim::Unknown, .type = "urn:carawaymill:problem:draining"};
    }
    CHECK(onlyViolation<CutByShutdown>(history));
}

TEST_CASE("catalogue: an edit that is late on a connected host is rejected, on a cut off one it is not")
{
    History history = goodHistory();
    history.revisions.back().at = at(5s);
    CHECK(HistoryChecker(history, {}).checkAll().empty());
    history.revisions.back().at = at(5001ms);
    CHECK(onlyViolation<EditLate>(history));
    history.connected.front().to = at(4s);
    CHECK(HistoryChecker(history, {}).checkAll().empty());
    history.revisions.pop_back();
    history.connected.front().to = at(60s);
    CHECK(onlyViolation<EditLate>(history));
}

TEST_CASE("catalogue: reverts, lost updates and ambiguous revisions are rejected")
{
    History history = goodHistory();
    SUBCASE("a host goes back to an older revision")
    {
        RevisionSeen older = history.revisions.front();
        older.at = at(20s);
        history.revisions.push_back(older);
        CHECK(onlyViolation<RevisionReverted>(history));
    }
    SUBCASE("two operators replace the same revision")
    {
        EditSeen other = history.edits.front();
        other.revision = Revision(4);
        history.edits.push_back(other);
        CHECK(onlyViolation<EditsBothAccepted>(history));
    }
    SUBCASE("two hosts differ about one revision")
    {
        RevisionSeen other = history.revisions.back();
        other.host = HostId("entry-2");
        other.value = "forged";
        history.revisions.push_back(other);
        CHECK(onlyViolation<RevisionAmbiguous>(history));
    }
}

TEST_CASE("limits: what the stated error allows passes, and one request more is rejected")
{
    History history = goodHistory();
    history.limits.front().statedError = 0.25;
    history.usage.clear();
    history.limits.front().requestsPerSecond = 0;
    history.limits.front().burst = 4;
    history.requests.push_back(serviceRequest(5, ""));
    CHECK(HistoryChecker(history, {}).checkAll().empty());
    history.requests.push_back(serviceRequest(6, ""));
    const auto violation = onlyViolation<LimitPassed>(history);
    REQUIRE(violation);
    CHECK(violation->admitted == 6);
    history.requests.back().end = ProblemSeen{.ran = RanClaim::No, .type = "urn:carawaymill:problem:limit-reached"};
    CHECK(HistoryChecker(history, {}).checkAll().empty());
}

TEST_CASE("limits: a cut request was admitted if a target was given it, and not if it was still waiting")
{
    History history = goodHistory();
    history.limits.front() = {.organisation = organisation, .requestsPerSecond = 0, .burst = 4, .statedError = 0};
    history.requests.push_back(serviceRequest(5, ""));
    history.requests.back().end = ConnectionCut{};
    std::get<ServiceAsk>(history.requests.back().ask).answersRequest.reset();
    CHECK(HistoryChecker(history, {}).checkLimits().empty());
    SUBCASE("a service ran it")
    {
        history.serviceRuns.push_back({.target = service, .request = RequestNumber(5), .at = at(510ms)});
    }
    SUBCASE("an engine began it")
    {
        history.jobs.push_back({.job = JobId("job-5"), .request = RequestNumber(5)});
    }
    CHECK(HistoryChecker(history, {}).checkLimits().size() == 1);
}

TEST_CASE("bills: one too many, one too few or wrong tokens are rejected")
{
    History history = goodHistory();
    SUBCASE("billed twice")
    {
        ++history.usage.front().jobs;
    }
    SUBCASE("not billed")
    {
        --history.usage.front().jobs;
    }
    SUBCASE("wrong tokens")
    {
        history.usage.front().tokens += TokenCount(1);
    }
    SUBCASE("billed without an answer")
    {
        history.requests.front().end =
            ProblemSeen{.ran = RanClaim::Unknown, .type = "urn:carawaymill:problem:deadline-exceeded"};
        std::get<ModelAsk>(history.requests.front().ask).receivedText.clear();
    }
    CHECK(onlyViolation<WronglyBilled>(history));
}

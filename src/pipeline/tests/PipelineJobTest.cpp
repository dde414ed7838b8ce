#include "PipelineDriver.h"

#include "enginestandin/StandInModel.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const std::string launchLog = "0914 aerotow VH-GOA tuggie Ines release 600 metres circuit landing runway 23";
static constexpr std::uint32_t modelLayers = 12;
static constexpr TokenCount maximumTokens(40);

static PipelineJobOptions jobOptions()
{
    return {.job = JobId("job-1"),
            .model = ModelId("glider"),
            .version = "1",
            .adapter = "",
            .layers = modelLayers,
            .prompt = launchLog,
            .maximumTokens = maximumTokens,
            .deadline = TimePoint(600s)};
}

static std::string expectedAnswer()
{
    return StandInModel(modelLayers).referenceAnswer(launchLog, maximumTokens, weightsName(ModelId("glider"), "1", ""));
}

static void addFleet(PipelineDriver &driver)
{
    driver.addEngine("a1", {LayerIndex(0), LayerIndex(5)});
    driver.addEngine("a2", {LayerIndex(0), LayerIndex(4)});
    driver.addEngine("b1", {LayerIndex(4), LayerIndex(9)});
    driver.addEngine("b2", {LayerIndex(3), LayerIndex(8)});
    driver.addEngine("c1", {LayerIndex(8), LayerIndex(12)});
    driver.addEngine("c2", {LayerIndex(7), LayerIndex(12)});
}

static void checkWhole(const PipelineDriver &driver)
{
    REQUIRE(driver.completed().has_value());
    CHECK(driver.completed()->text == expectedAnswer());
    CHECK(driver.streamedText() == expectedAnswer());
    CHECK(driver.everyStreamRanInOrder());
}

TEST_CASE("a job gives the reference answer over ranges that overlap")
{
    PipelineDriver driver(jobOptions(), 1);
    addFleet(driver);
    driver.run();
    checkWhole(driver);
    CHECK(driver.incidents().empty());
    const auto generated = driver.completed()->generatedTokens.value();
    const auto prompt = driver.completed()->promptTokens.value();
    CHECK(driver.runLog().size() == (prompt + generated - 1) * modelLayers);
}

TEST_CASE("a stage that dies at any step leaves the answer whole and runs only its own part again")
{
    for (std::size_t step = 1; step <= 40; ++step) {
        for (const bool afterRunning : {false, true}) {
            CAPTURE(step);
            CAPTURE(afterRunning);
            PipelineDriver driver(jobOptions(), step);
            addFleet(driver);
            driver.killAtStep(step, afterRunning);
            driver.run();
            checkWhole(driver);
            CHECK(driver.count(StageIncidentKind::StageLost) == 1);
            CHECK(driver.count(StageIncidentKind::NewAttempt) == 0);
        }
    }
}

TEST_CASE("without a journal a lost middle stage costs a new attempt, and the accepted tokens stay")
{
    PipelineJobOptions options = jobOptions();
    options.journalLimit = ByteCount(0);
    PipelineDriver driver(options, 1);
    addFleet(driver);
    driver.killAtStep(20, false);
    driver.run();
    checkWhole(driver);
    CHECK(driver.count(StageIncidentKind::NewAttempt) == 1);
}

TEST_CASE("an answer that is lost after the step ran is recovered and the step not run again")
{
    PipelineDriver driver(jobOptions(), 5, {.loseAnswer = 0.1});
    addFleet(driver);
    driver.run();
    checkWhole(driver);
    CHECK(driver.count(StageIncidentKind::AnswerRecovered) > 0);
    CHECK(driver.count(StageIncidentKind::StageLost) == 0);
}

TEST_CASE("doubled and late answers are recognised and dropped")
{
    PipelineDriver driver(jobOptions(), 6, {.doubleAnswer = 0.5, .delay = 20ms});
    addFleet(driver);
    driver.run();
    checkWhole(driver);
    CHECK(driver.count(StageIncidentKind::ForeignAnswerDropped) > 0);
}

TEST_CASE("an answer of another job, attempt or position is never taken")
{
    PipelineJob job(jobOptions());
    (void)job.handle(JobStarted{}, TimePoint{});
    const Chain whole{{{TargetId("a"), {LayerIndex(0), LayerIndex(modelLayers)}}}};
    const auto actions = job.handle(ChainRouted{whole}, TimePoint{});
    const auto &step = std::get<SendStep>(actions.front()).step;
    const StepReply right{.stream = step.stream,
                          .job = step.job,
                          .attempt = step.attempt,
                          .layers = step.layers,
                          .first = step.first,
                          .positions = 14,
                          .activations = {},
                          .sampled = SampledToken{.token = TokenId(1), .text = "tow "}};
    const auto isDropped = [&](StepReply reply) {
        const auto taken = job.handle(StepAnswered{.stream = step.stream, .result = std::move(reply)}, TimePoint{});
        const auto *incident = taken.size() == 1 ? std::get_if<StageIncident>(&taken.front()) : nullptr;
        return incident != nullptr && incident->kind == StageIncidentKind::ForeignAnswerDropped;
    };
    StepReply wrong = right;
    wrong.job = JobId("job-2");
    CHECK(isDropped(wrong));
    wrong = right;
    wrong.attempt = AttemptNumber(2);
    CHECK(isDropped(wrong));
    wrong = right;
    wrong.first = TokenPosition(1);
    CHECK(isDropped(wrong));
    wrong = right;
    wrong.layers.end = LayerIndex(3);
    CHECK(isDropped(wrong));
    wrong = right;
    wrong.sampled.reset();
    CHECK(isDropped(wrong));
    CHECK_FALSE(isDropped(right));
}

TEST_CASE("a job without any chain says at its deadline that it did not run")
{
    PipelineDriver driver(jobOptions(), 1);
    driver.addEngine("a1", {LayerIndex(0), LayerIndex(5)});
    driver.run();
    REQUIRE(driver.failed().has_value());
    CHECK(driver.failed()->kind == JobFailureKind::NoChain);
    CHECK_FALSE(driver.failed()->ran);
}

TEST_CASE("under all faults at once an answer is either whole or none")
{
    std::size_t whole = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        PipelineDriver driver(jobOptions(),
                              seed,
                              {.loseStep = 0.02,
                               .loseAnswer = 0.02,
                               .doubleAnswer = 0.05,
                               .doubleStep = 0.05,
                               .loseStatus = 0.05,
                               .refuseConnection = 0.01,
                               .killEngine = 0.005,
                               .delay = 3ms});
        addFleet(driver);
        driver.run();
        CHECK(driver.everyStreamRanInOrder());
        CHECK(expectedAnswer().starts_with(driver.streamedText()));
        if (driver.completed()) {
            checkWhole(driver);
            ++whole;
        } else {
            CHECK(driver.failed().has_value());
        }
    }
    // Two engines hold each layer, so that most jobs outlive the engines that die here.
    CHECK(whole > 100);
}

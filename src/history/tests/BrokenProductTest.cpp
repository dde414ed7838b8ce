#include "FaultRun.h"

#include "history/HistoryChecker.h"

#include <doctest/doctest.h>

#include <algorithm>

/// Nodes whose decisions are replaced on their way to the world, so that they break a promise.
using namespace Carawaymill;

using ReplaceAction = std::function<std::vector<NodeAction>(const std::string &, NodeAction)>;
using ReplaceEvent = std::function<NodeEvent(const std::string &, NodeEvent)>;

static FaultPlan planOf(Fault fault)
{
    return {.seed = 7, .faults = {{.fault = fault, .at = 500ms, .length = 3s}}};
}

static std::vector<Violation>
violationsOf(const FaultPlan &plan, ReplaceAction replaceAction, ReplaceEvent replaceEvent)
{
    FaultRun run(
        plan, {.seed = plan.seed, .replaceAction = std::move(replaceAction), .replaceEvent = std::move(replaceEvent)});
    const History history = run.run();
    return HistoryChecker(history, {}).checkAll();
}

template<typename Kind>
static bool anyOf(const std::vector<Violation> &violations)
{
    return std::ranges::any_of(violations, [](const Violation &it) { return std::holds_alternative<Kind>(it); });
}

static std::vector<NodeAction> unchanged(NodeAction action)
{
    std::vector<NodeAction> actions;
    actions.push_back(std::move(action));
    return actions;
}

TEST_CASE("a product that hands each service call over twice is rejected")
{
    const auto twice = [](const std::string &, NodeAction action) {
        std::vector<NodeAction> actions = unchanged(std::move(action));
        if (std::holds_alternative<CallTarget>(actions.front())) {
            actions.push_back(actions.front());
        }
        return actions;
    };
    CHECK(anyOf<RanTwice>(violationsOf({.seed = 7, .faults = {}}, twice, {})));
}

TEST_CASE("a product that leaves out the last layer is rejected")
{
    static constexpr LayerIndex end(12);
    const auto shorten = [](const std::string &, NodeAction action) {
        if (auto *run = std::get_if<RunStep>(&action); run != nullptr && run->step.layers.end == end) {
            run->step.layers.end = LayerIndex(end.value() - 1);
        }
        return unchanged(std::move(action));
    };
    const auto hide = [](const std::string &, NodeEvent event) {
        if (auto *returned = std::get_if<StepReturned>(&event)) {
            if (auto *reply = std::get_if<StepReply>(&returned->result); reply != nullptr && reply->sampled) {
                reply->layers.end = end;
            }
        }
        return event;
    };
    const auto violations = violationsOf({.seed = 7, .faults = {}}, shorten, hide);
    CHECK(anyOf<LayerNotRun>(violations));
    CHECK(anyOf<WrongAnswer>(violations));
}

TEST_CASE("hosts that do not learn of edits are rejected")
{
    std::map<std::string, KeyValueRecord> firstRead;
    const auto deaf = [&firstRead](const std::string &, NodeEvent event) -> NodeEvent {
        if (std::holds_alternative<PeerMessage>(event)) {
            return Tick{};
        }
        auto *reply = std::get_if<KeyValueReply>(&event);
        if (auto *changed = reply == nullptr ? nullptr : std::get_if<RangeChanged>(&reply->result)) {
            std::erase_if(changed->written, [](const auto &record) { return record.key.starts_with(cataloguePrefix); });
        }
        if (auto *read = reply == nullptr ? nullptr : std::get_if<RangeRead>(&reply->result)) {
            for (KeyValueRecord &record : read->records) {
                record = firstRead.try_emplace(record.key, record).first->second;
            }
        }
        return event;
    };
    CHECK(anyOf<EditLate>(violationsOf(planOf(Fault::OperatorsRace), {}, deaf)));
}

TEST_CASE("a product that says 'not run' of what may have run is rejected")
{
    const auto lie = [](const std::string &, NodeAction action) {
        if (auto *respond = std::get_if<Respond>(&action)) {
            const std::string doubt = "\"ran\":\"unknown\"";
            if (const std::size_t found = respond->response.body.find(doubt); found != std::string::npos) {
                respond->response.body.replace(found, doubt.size(), "\"ran\":\"no\"");
            }
        }
        return unchanged(std::move(action));
    };
    CHECK(anyOf<RanAfterAll>(violationsOf(planOf(Fault::ServiceAnswersLost), lie, {})));
}

TEST_CASE("a product that gives callers the answer before theirs is rejected")
{
    HttpResponse last;
    const auto confuse = [&last](const std::string &, NodeAction action) {
        if (auto *respond = std::get_if<Respond>(&action);
            respond != nullptr && respond->response.body.find("\"choices\"") != std::string::npos) {
            const HttpResponse own = respond->response;
            respond->response = last.body.empty() ? own : last;
            last = own;
        }
        return unchanged(std::move(action));
    };
    const auto violations = violationsOf({.seed = 7, .faults = {}}, confuse, {});
    CHECK(anyOf<WrongAnswer>(violations));
    CHECK(anyOf<AnswerOfOtherRequest>(violations));
}

TEST_CASE("a product whose streams lack the end marker is rejected")
{
    const auto truncate = [](const std::string &, NodeAction action) {
        if (const auto *write = std::get_if<WriteStream>(&action);
            write != nullptr && write->chunk.ends_with("[DONE]\n\n")) {
            return std::vector<NodeAction>();
        }
        return unchanged(std::move(action));
    };
    CHECK(anyOf<FragmentGiven>(violationsOf({.seed = 7, .faults = {}}, truncate, {})));
}

TEST_CASE("a product that does not heed leaving targets is rejected")
{
    const auto ignore = [](const std::string &, NodeEvent event) {
        if (auto *list = std::get_if<HostListRead>(&event)) {
            list->targets.clear();
        }
        return event;
    };
    CHECK(anyOf<WorkAfterDeparture>(violationsOf(planOf(Fault::EngineLeaves), {}, ignore)));
}

TEST_CASE("a host that ends its process with answers not given is rejected")
{
    std::set<std::string> draining;
    const auto swallow = [&draining](const std::string &host, NodeAction action) {
        if (const auto *log = std::get_if<WriteLog>(&action); log != nullptr && log->line == "Node: drains.") {
            draining.insert(host);
        }
        const bool isEnd = std::holds_alternative<Respond>(action) || std::holds_alternative<EndStream>(action);
        if (isEnd && draining.contains(host)) {
            return std::vector<NodeAction>();
        }
        return unchanged(std::move(action));
    };
    FaultPlan plan = planOf(Fault::HostShutsDown);
    // A burst, so that the host is busy when it is told to end.
    plan.burst = 40;
    CHECK(anyOf<CutByShutdown>(violationsOf(plan, swallow, {})));
}

TEST_CASE("a product that loses bills is rejected")
{
    const auto lose = [](const std::string &host, NodeAction action) {
        if (const auto *send = std::get_if<SendToPeer>(&action);
            send != nullptr && host == "entry-1" && send->message.at(0) == static_cast<int>(PeerChannel::Ledger)) {
            return std::vector<NodeAction>();
        }
        return unchanged(std::move(action));
    };
    CHECK(anyOf<WronglyBilled>(violationsOf({.seed = 7, .faults = {}}, lose, {})));
}

TEST_CASE("the same runs with the product as it is break nothing")
{
    for (const Fault fault : {Fault::OperatorsRace, Fault::ServiceAnswersLost, Fault::EngineLeaves}) {
        for (const Violation &violation : violationsOf(planOf(fault), {}, {})) {
            FAIL_CHECK(describe(violation));
        }
    }
    FaultPlan plan = planOf(Fault::HostShutsDown);
    plan.burst = 40;
    for (const Violation &violation : violationsOf(plan, {}, {})) {
        FAIL_CHECK(describe(violation));
    }
}

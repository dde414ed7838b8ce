#include "ledger/LedgerMessages.h"

#include "support/ArrayCodec.h"

#include <map>

/// Each message is an array that starts with its name; fields follow in the order of the struct.
namespace Carawaymill {

static nlohmann::json verdictJson(const ClaimVerdict &verdict)
{
    using nlohmann::json;
    return std::visit(Overloaded{
                          [](const ClaimGranted &) { return json::array({"granted"}); },
                          [](const AlreadyClaimed &claimed) {
                              return std::visit(Overloaded{
                                                    [](const ClaimInProgress &) { return json::array({"inProgress"}); },
                                                    [](const auto &outcome) {
                                                        return json::array({"ended", ClaimOutcome(outcome)});
                                                    },
                                                },
                                                claimed.state);
                          },
                          [](const KeyMismatch &) { return json::array({"mismatch"}); },
                          [](const ClaimUnavailable &refused) {
                              return json::array({"unavailable", refused.retryAfter.count(), refused.mayBeRecorded});
                          },
                      },
                      verdict);
}

static ClaimVerdict endedVerdict(const nlohmann::json &json)
{
    const auto outcome = json.get<ClaimOutcome>();
    if (const auto *answered = std::get_if<ClaimAnswered>(&outcome)) {
        return AlreadyClaimed{.state = *answered};
    }
    return AlreadyClaimed{.state = ClaimOutcomeUnknown{}};
}

static ClaimVerdict verdictFrom(const nlohmann::json &json)
{
    const auto kind = json.at(0).get<std::string>();
    if (kind == "granted") {
        return ClaimGranted{};
    }
    if (kind == "inProgress") {
        return AlreadyClaimed{.state = ClaimInProgress{}};
    }
    if (kind == "ended") {
        return endedVerdict(json.at(1));
    }
    if (kind == "mismatch") {
        return KeyMismatch{};
    }
    if (kind == "unavailable") {
        return ClaimUnavailable{.retryAfter = Duration(json.at(1).get<Duration::rep>()),
                                .mayBeRecorded = json.at(2).get<bool>()};
    }
    throw nlohmann::json::other_error::create(501, "/0: unknown verdict " + kind, &json);
}

void to_json(nlohmann::json &json, const LedgerMessage &message)
{
    const auto array = [](auto &&...fields) { return nlohmann::json::array({fields...}); };
    json = std::visit(
        Overloaded{
            [&](const ClaimRequested &m) { return array("claim", m.shard, m.attempt, m.key, m.request, m.period); },
            [&](const ClaimDecided &m) { return array("decided", m.shard, m.attempt, verdictJson(m.verdict)); },
            [&](const ClaimPeriodStale &m) { return array("stale", m.shard, m.attempt, m.period); },
            [&](const OutcomeReported &m) { return array("outcome", m.shard, m.attempt, m.key, m.outcome); },
            [&](const OutcomeRecorded &m) { return array("recorded", m.shard, m.attempt, m.answered); },
            [&](const BillsReported &m) { return array("bills", m.shard, m.stream, m.first, m.bills); },
            [&](const BillsRecorded &m) { return array("billed", m.shard, m.stream, m.through); },
            [&](const BillsCopied &m) { return array("copies", m.stream, m.first, m.bills, m.recordedThrough); },
            [&](const BillCopiesKept &m) { return array("kept", m.stream, m.through); },
        },
        message);
}

template<typename Message, typename... Fields>
static LedgerMessage readMessage(const nlohmann::json &json, Fields Message::*...fields)
{
    Message message;
    readArray(json, 1, message.*fields...);
    return message;
}

static LedgerMessage readDecided(const nlohmann::json &json)
{
    ClaimDecided decided{.shard = {}, .attempt = {}, .verdict = verdictFrom(json.at(3))};
    readArray(json, 1, decided.shard, decided.attempt);
    return decided;
}

void from_json(const nlohmann::json &json, LedgerMessage &message)
{
    using Reader = LedgerMessage (*)(const nlohmann::json &);
    static const std::map<std::string, Reader> readers{
        {"claim",
         [](const nlohmann::json &j) {
             using M = ClaimRequested;
             return readMessage(j, &M::shard, &M::attempt, &M::key, &M::request, &M::period);
         }},
        {"decided", readDecided},
        {"stale",
         [](const nlohmann::json &j) {
             using M = ClaimPeriodStale;
             return readMessage(j, &M::shard, &M::attempt, &M::period);
         }},
        {"outcome",
         [](const nlohmann::json &j) {
             using M = OutcomeReported;
             return readMessage(j, &M::shard, &M::attempt, &M::key, &M::outcome);
         }},
        {"recorded",
         [](const nlohmann::json &j) {
             using M = OutcomeRecorded;
             return readMessage(j, &M::shard, &M::attempt, &M::answered);
         }},
        {"bills",
         [](const nlohmann::json &j) {
             using M = BillsReported;
             return readMessage(j, &M::shard, &M::stream, &M::first, &M::bills);
         }},
        {"billed",
         [](const nlohmann::json &j) {
             using M = BillsRecorded;
             return readMessage(j, &M::shard, &M::stream, &M::through);
         }},
        {"copies",
         [](const nlohmann::json &j) {
             using M = BillsCopied;
             return readMessage(j, &M::stream, &M::first, &M::bills, &M::recordedThrough);
         }},
        {"kept",
         [](const nlohmann::json &j) { return readMessage(j, &BillCopiesKept::stream, &BillCopiesKept::through); }},
    };
    const auto name = json.at(0).get<std::string>();
    const auto reader = readers.find(name);
    if (reader == readers.end()) {
        throw nlohmann::json::other_error::create(501, "/0: unknown message " + name, &json);
    }
    message = reader->second(json);
}

} // namespace Carawaymill

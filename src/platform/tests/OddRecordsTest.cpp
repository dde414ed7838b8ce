#include "forwarding/DirectoryReplica.h"
#include "platform/EngineCodec.h"
#include "platform/Publications.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace Carawaymill;

static constexpr TimePoint start{1h};

static const nlohmann::json soundRecord{{"Service", "a"},
                                        {"Address", "10.0.0.1:80"},
                                        {"Zone", "z"},
                                        {"Capacity", 6},
                                        {"State", "ready"},
                                        {"RouteType", "l4"},
                                        {"born", 17},
                                        {"LayerCount", {{{"Source", 20}, {"Target", 31}, {"Version", 1}}}}};

/// The sound record with one field as JSON text, which may be a number that no variable holds.
static std::string with(const std::string &field, const std::string &text)
{
    nlohmann::json record = soundRecord;
    record[field] = "placeholder";
    std::string dumped = record.dump();
    const std::string placeholder = "\"placeholder\"";
    return dumped.replace(dumped.find(placeholder), placeholder.size(), text);
}

static std::string nested(const std::string &open, const std::string &close, std::size_t levels)
{
    std::string text;
    for (std::size_t level = 0; level < levels; ++level) {
        text += open;
    }
    for (std::size_t level = 0; level < levels; ++level) {
        text += close;
    }
    return text;
}

/// Records that name no target. A record has at most 1 MiB.
static std::vector<std::string> oddRecords()
{
    static constexpr std::size_t deepest = 300'000;
    std::vector<std::string> records = {"",
                                        "\xff\xfe",
                                        "null",
                                        "[]",
                                        "17",
                                        nested("[", "]", deepest),
                                        nested("[", "", deepest),
                                        nested("{\"a\":", "", deepest),
                                        with("Zone", nested("[", "]", deepest)),
                                        with("Unknown", nested("[", "]", deepest)),
                                        with("LayerCount", nested("[", "]", 50)),
                                        with("LayerCount", "[{\"Source\":0,\"Target\":4294967295}]"),
                                        with("LayerCount", "[{\"Source\":0,\"Target\":18446744073709551615}]"),
                                        with("LayerCount", "[{\"Source\":0,\"Target\":1e300}]"),
                                        with("LayerCount", "[{\"Source\":-1,\"Target\":9}]"),
                                        with("LayerCount", "[{\"Source\":0,\"Target\":9,\"Version\":-1}]"),
                                        with("LayerCount", "\"all\"")};
    for (const std::string number :
         {"-1", "1e300", "1e400", "4294967296", "18446744073709551616", "0.5", "\"6\"", "null", "{}"}) {
        records.push_back(with("Capacity", number));
        records.push_back(with("born", number == "4294967296" ? "1e12" : number));
    }
    for (const std::string address : {"10.0.0.1",
                                      "10.0.0.1:",
                                      "10.0.0.1:0",
                                      "10.0.0.1:-1",
                                      "10.0.0.1:65536",
                                      "10.0.0.1:4294967376",
                                      "10.0.0.1:80 ",
                                      "10.0.0.1:80\\r\\nX: y",
                                      "10.0.0.256:80",
                                      "worker:80",
                                      ":80",
                                      ""}) {
        records.push_back(with("Address", "\"" + address + "\""));
    }
    records.push_back(with("Capacity", std::string(500'000, '9')));
    return records;
}

/// Guards against hosts that ended, or followed the directory no longer, because of one entry of another writer.
TEST_CASE("an odd worker record names no target and the other records hold")
{
    for (const std::string &odd : oddRecords()) {
        const std::string beginning = odd.substr(0, 120);
        CAPTURE(beginning);
        DirectoryReplica replica({.format = platformPublicationFormat()});
        const auto call = [&](TimePoint now) {
            for (const DirectoryReplicaAction &action : replica.handle(Tick{}, now)) {
                if (const auto *issued = std::get_if<KeyValueCall>(&action)) {
                    return issued->id;
                }
            }
            return CallId();
        };
        const auto record = [](const std::string &id, const std::string &value) {
            return KeyValueRecord{.key = "servers/" + id, .value = value, .revision = Revision(1), .lease = {}};
        };
        nlohmann::json first = soundRecord;
        first["Address"] = "10.0.0.2:80";
        nlohmann::json second = soundRecord;
        second["Address"] = "10.0.0.3:80";
        (void)replica.handle(
            KeyValueReply{.id = call(start),
                          .result = RangeRead{.records = {record("a", first.dump()), record("odd", odd)},
                                              .storeRevision = Revision(1)}},
            start);
        CHECK(replica.targets().contains(TargetId("a")));
        CHECK(!replica.targets().contains(TargetId("odd")));
        // Later changes are followed.
        std::vector<DirectoryReplicaAction> actions = replica.handle(
            KeyValueReply{.id = call(start + 1s),
                          .result = RangeChanged{.written = {record("odd", odd), record("b", second.dump())},
                                                 .deletedKeys = {},
                                                 .storeRevision = Revision(2)}},
            start + 1s);
        CHECK(replica.targets().contains(TargetId("a")));
        CHECK(replica.targets().contains(TargetId("b")));
        CHECK(!replica.targets().contains(TargetId("odd")));
        for (const DirectoryReplicaAction &action : actions) {
            if (const auto *ignored = std::get_if<TargetRecordIgnored>(&action)) {
                CHECK(describe(*ignored).size() < 400);
            }
        }
    }
}

TEST_CASE("a worker id that would end a header names no target")
{
    const auto readTarget = platformPublicationFormat().readTarget;
    CHECK(std::holds_alternative<DirectoryTarget>(readTarget(TargetId("i-7f3a91c2"), soundRecord.dump())));
    for (const std::string id : {"", "a b", "a\r\nX-Tenant: b", "a\n", "\x7f"}) {
        CHECK(std::holds_alternative<DecodeFailure>(readTarget(TargetId(id), soundRecord.dump())));
    }
}

/// The same for what a faulty worker reports.
TEST_CASE("an odd report of a worker is no report and an odd list of blocked requests names none")
{
    const auto answer = [](const std::string &body) {
        return HttpResponse{.status = 200, .headers = {}, .body = body};
    };
    for (const std::string &odd : oddRecords()) {
        const std::string beginning = odd.substr(0, 120);
        CAPTURE(beginning);
        if (const auto report = readReport(TargetId("i"), answer(odd))) {
            CHECK(report->state.held.size() <= 1);
            CHECK(report->state.incarnation == IncarnationNumber(17));
        }
    }
    for (const std::string body : {R"({"Busy":1})",
                                   R"({"Sequence":-1})",
                                   R"({"Queued":1e300})",
                                   R"({"Active":"many"})",
                                   R"({"Sequence":18446744073709551616})"}) {
        CAPTURE(body);
        CHECK(!readReport(TargetId("i"), answer(body)));
    }
    const QueryProgress query{.id = RequestId(1), .attempt = AttemptNumber(1), .callerAttempt = "a1"};
    for (const std::string blocked : {"17",
                                      "{}",
                                      "[17]",
                                      R"([{"Id":17}])",
                                      R"([{"Id":"a1","Address":17}])",
                                      R"([{"Id":["a1"],"Address":"10.0.0.2:1"}])"}) {
        CAPTURE(blocked);
        const auto progress = readProgress(query, answer("{\"Blocked\":" + blocked + "}"));
        CHECK(progress.answered);
        CHECK(progress.blockedAtAddress.value_or("").empty());
    }
}

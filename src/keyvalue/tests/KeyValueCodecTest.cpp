#include "keyvalue/KeyValueCodec.h"
#include "keyvalue/KeyValueJson.h"
#include "support/Base64.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static KeyValueResult decodeText(const KeyValueRequest &request, const std::string &body, unsigned status = 200)
{
    return decodeKeyValueResponse(request, HttpResponse{.status = status, .headers = {}, .body = body});
}

TEST_CASE("base64 matches the RFC 4648 test vectors and incomplete input is rejected")
{
    CHECK(encodeBase64("foobar") == "Zm9vYmFy");
    CHECK(encodeBase64("foob") == "Zm9vYg==");
    CHECK(std::get<std::string>(decodeBase64("Zm9vYmE=")) == "fooba");
    CHECK(std::get<std::string>(decodeBase64("")).empty());
    for (const char *text : {"Zm9", "Zm9v\n", "Z===", "Zm=v"}) {
        CHECK(std::holds_alternative<DecodeFailure>(decodeBase64(text)));
    }
}

TEST_CASE("the end of a prefix is the first key after all keys with this prefix")
{
    CHECK(endOfPrefix("lease/") == "lease0");
    CHECK(endOfPrefix("a\xff") == "b");
    CHECK(endOfPrefix("") == std::string(1, '\0'));
}

TEST_CASE("calls are encoded as specified for the etcd gateway")
{
    const auto range = encodeKeyValueRequest(ReadRange{.prefix = "foo"});
    CHECK(range.target == "/v3/kv/range");
    CHECK(range.body == R"({"key":"Zm9v","range_end":"Zm9w"})");
    const auto commit = encodeKeyValueRequest(Commit{
        .operations = {WriteOperation{.key = "foo", .value = "bar", .expected = Revision(7), .lease = LeaseId("12")},
                       DeleteOperation{.key = "fop", .expected = Revision(8)},
                       CheckOperation{.key = "foq", .expected = Revision(0)}}});
    CHECK(commit.target == "/v3/kv/txn");
    const auto json = nlohmann::json::parse(commit.body);
    CHECK(json["compare"][0]
          == nlohmann::json{{"key", "Zm9v"}, {"mod_revision", "7"}, {"result", "EQUAL"}, {"target", "MOD"}});
    CHECK(json["compare"].size() == 3);
    CHECK(json["success"][0]["request_put"] == nlohmann::json{{"key", "Zm9v"}, {"value", "YmFy"}, {"lease", "12"}});
    CHECK(json["success"][1]["request_delete_range"]["key"] == "Zm9w");
    CHECK(encodeKeyValueRequest(GrantLease{.timeToLive = 1500ms}).body == R"({"TTL":"2"})");
    const auto watch = encodeKeyValueRequest(WatchRange{.prefix = "foo", .after = Revision(7), .wait = 2s});
    CHECK(nlohmann::json::parse(watch.body)["create_request"]["start_revision"] == "8");
}

TEST_CASE("responses as specified for the etcd gateway are decoded")
{
    const auto read = decodeText(
        ReadRange{.prefix = "foo"},
        R"({"header":{"cluster_id":"1","revision":"9"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"7",)"
        R"("version":"3","value":"YmFy","lease":"12"}],"count":"1"})");
    CHECK(std::get<RangeRead>(read).storeRevision == Revision(9));
    CHECK(std::get<RangeRead>(read).records.front()
          == KeyValueRecord{.key = "foo", .value = "bar", .revision = Revision(7), .lease = LeaseId("12")});
    const auto conflict = decodeText(
        Commit{}, R"({"header":{"revision":"9"},"responses":[{"response_range":{"kvs":[{"key":"Zm9v"}]}}]})");
    CHECK(std::get<CommitConflict>(conflict).currentRecords.size() == 1);
    const auto expired = decodeText(RenewLease{.lease = LeaseId("12")}, R"({"result":{"ID":"12"}})");
    CHECK(std::holds_alternative<LeaseNotFound>(expired));
}

TEST_CASE("the stream of a watch is reduced to the last change of each key")
{
    const WatchRange watch{.prefix = "foo", .after = Revision(7), .wait = 1s};
    const auto changed = decodeText(watch,
                                    "{\"result\":{\"header\":{\"revision\":\"7\"},\"created\":true}}\n"
                                    "{\"result\":{\"header\":{\"revision\":\"9\"},\"events\":["
                                    "{\"kv\":{\"key\":\"Zm9v\",\"value\":\"YmFy\",\"mod_revision\":\"8\"}},"
                                    "{\"type\":\"DELETE\",\"kv\":{\"key\":\"Zm9v\",\"mod_revision\":\"9\"}}]}}\n");
    CHECK(std::get<RangeChanged>(changed).written.empty());
    CHECK(std::get<RangeChanged>(changed).deletedKeys == std::vector<std::string>{"foo"});
    CHECK(std::get<RangeChanged>(changed).storeRevision == Revision(9));
    const auto compacted =
        decodeText(watch, R"({"result":{"header":{"revision":"20"},"canceled":true,"compact_revision":"15"}})");
    CHECK(std::holds_alternative<WatchCompacted>(compacted));
}

TEST_CASE("without a definite response a write has an unknown outcome and a read is unavailable")
{
    const Commit commit;
    const ReadRange read{.prefix = "foo"};
    CHECK(std::holds_alternative<ServiceUnavailable>(decodeKeyValueResponse(commit, HttpNotSent{})));
    CHECK(std::holds_alternative<OutcomeUnknown>(decodeKeyValueResponse(commit, HttpNoResponse{})));
    CHECK(std::holds_alternative<ServiceUnavailable>(decodeKeyValueResponse(read, HttpNoResponse{})));
    // Of these two errors, only "no leader" is returned before a write can have taken effect.
    const std::string noLeader = R"({"code":14,"message":"etcdserver: no leader"})";
    const std::string timedOut = R"({"code":14,"message":"etcdserver: request timed out"})";
    CHECK(std::holds_alternative<ServiceUnavailable>(decodeText(commit, noLeader, 503)));
    CHECK(std::holds_alternative<OutcomeUnknown>(decodeText(commit, timedOut, 503)));
    CHECK(std::holds_alternative<ServiceUnavailable>(decodeText(read, timedOut, 503)));
    for (const char *malformedBody : {"", "{", "[]", "{}", "{\"header\":3}", "{\"header\":{\"revision\":\"x\"}}"}) {
        CHECK(std::holds_alternative<OutcomeUnknown>(decodeText(commit, malformedBody)));
        CHECK(std::holds_alternative<ServiceUnavailable>(decodeText(read, malformedBody)));
    }
}

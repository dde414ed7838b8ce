#include "platform/CallerCodec.h"
#include "platform/EngineCodec.h"
#include "platform/MetadataStoreProtocol.h"
#include "platform/Publications.h"
#include "support/Base64.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static HttpResponse response(unsigned status, const nlohmann::json &body)
{
    return {.status = status, .headers = {}, .body = body.dump()};
}

TEST_CASE("key-value calls are encoded as requests to the metadata store")
{
    const KeyValueProtocol protocol = metadataStoreProtocol();
    CHECK(protocol.encode(ReadRange{"servers/"}, "").target == "/v1/kv-range?Prefix=servers/");
    CHECK(protocol.encode(ReadRange{"servers/"}, "servers/a b").target
          == "/v1/kv-range?Prefix=servers/&After=servers/a%20b");
    CHECK(protocol.encode(WatchRange{.prefix = "op/", .after = Revision(4), .wait = 1500ms}, "").target
          == "/v1/kv-watch?Prefix=op/&After=4&WaitMs=1500");
    const Commit commit{
        .operations = {WriteOperation{.key = "a", .value = "v", .expected = Revision(3), .lease = LeaseId("9")},
                       CheckOperation{.key = "b", .expected = Revision(0)},
                       DeleteOperation{.key = "c", .expected = Revision(5)}}};
    const nlohmann::json body = nlohmann::json::parse(protocol.encode(commit, "").body);
    CHECK(body["Precondition"].size() == 3);
    CHECK(body["Write"][0]["Value"] == encodeBase64("v"));
    CHECK(body["Write"][0]["LeaseId"] == 9);
    CHECK(body["Remove"] == nlohmann::json{"c"});
}

TEST_CASE("metadata store responses are decoded and a commit without a response has an unknown outcome")
{
    const KeyValueProtocol protocol = metadataStoreProtocol();
    const nlohmann::json item{
        {"Key", "a"}, {"Value", encodeBase64("v")}, {"Revision", 3}, {"Created", 3}, {"LeaseId", 9}};
    const auto read =
        protocol.decode(ReadRange{"a"}, response(200, {{"Entries", {item}}, {"Truncated", true}, {"At", 8}}));
    REQUIRE(std::holds_alternative<RangeRead>(read));
    CHECK(std::get<RangeRead>(read).records.front().value == "v");
    CHECK(std::get<RangeRead>(read).truncated);
    const nlohmann::json deleted{{"Key", "a"}, {"Revision", 9}, {"Deleted", true}};
    const auto changed =
        protocol.decode(WatchRange{.prefix = "a"}, response(200, {{"events", {item, deleted}}, {"At", 9}}));
    CHECK(std::get<RangeChanged>(changed).written.empty());
    CHECK(std::get<RangeChanged>(changed).deletedKeys == std::vector<std::string>{"a"});
    CHECK(std::holds_alternative<WatchCompacted>(
        protocol.decode(WatchRange{.prefix = "a"}, response(410, nlohmann::json::object()))));
    const auto conflict = protocol.decode(Commit{}, response(412, {{"Entries", {item}}}));
    CHECK(std::get<CommitConflict>(conflict).currentRecords.front().revision == Revision(3));
    CHECK(std::holds_alternative<OutcomeUnknown>(protocol.decode(Commit{}, HttpNoResponse{})));
    CHECK(std::holds_alternative<OutcomeUnknown>(protocol.decode(Commit{}, response(500, {}))));
    CHECK(std::holds_alternative<ServiceUnavailable>(protocol.decode(Commit{}, response(429, {}))));
    CHECK(std::holds_alternative<ServiceUnavailable>(protocol.decode(ReadRange{"a"}, HttpNoResponse{})));
    CHECK(std::holds_alternative<ServiceUnavailable>(
        protocol.decode(ReadRange{"a"}, HttpResponse{.status = 200, .headers = {}, .body = "no JSON"})));
}

TEST_CASE("every metadata store response states the era of the store and an unreadable era is unknown")
{
    const KeyValueProtocol protocol = metadataStoreProtocol();
    CHECK(protocol.era({.status = 200, .headers = {{"store-era", "3"}}, .body = {}}) == StoreEra(3));
    CHECK(protocol.era({.status = 503, .headers = {{"Store-Era", "4"}}, .body = {}}) == StoreEra(4));
    for (const std::string unreadable : {"", "-1", "4x"}) {
        CHECK(!protocol.era({.status = 200, .headers = {{"Store-Era", unreadable}}, .body = {}}));
    }
    CHECK(!protocol.era({.status = 200, .headers = {}, .body = {}}));
}

TEST_CASE("the platform's configuration is decoded into a routing configuration")
{
    const nlohmann::json json = nlohmann::json::parse(R"({"Version":7,
        "Routes":[
          {"Name":"s","Hostname":"h","Prefix":"/s/","RouteType":"streaming","TimeoutMs":20000,"TargetLatencyMs":500,
           "Priority":1,"Backends":[{"Service":"a","Weight":90},{"Service":"b","Weight":10}],"MaxAttempts":2,
           "Resumable":true,"TargetItlMs":200},
          {"Name":"m","Hostname":"h","Prefix":"/m/","RouteType":"mutating","TimeoutMs":800,"Service":"b"},
          {"Name":"i","Hostname":"h","Prefix":"/i/","RouteType":"idempotent","TimeoutMs":800,"Service":"b","Public":true}],
        "Services":[{"Name":"a","HealthPath":"/healthz","MaxConns":9,"Runtime":{"Capacity":192,"KvBytes":590000,
           "BandwidthMbps":8,"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.005,"read_per_s":196000,
           "delays":[{"delay_ms":0.42}],"usual":{"prompt":772,"answer":172},"LayerCount":80,"LayerMb":1750.0,
           "ActivationBytes":29500,"PipeMbps":9000.0,"Models":[{"Name":"m"}],
           "Types":[{"Name":"l4","SizeMb":21600.0,"pace":16.0,"ReadFactor":8.2}]}},{"Name":"b"}],
        "Limits":{"MaxBodyBytes":100,"IdleTimeoutMs":15000},
        "Tenants":[{"Name":"club","ApiKeys":["k"],"Priority":1}]})");
    auto read = platformPublicationFormat().readConfiguration(json.dump());
    REQUIRE(std::holds_alternative<RoutingConfiguration>(read));
    const auto &configuration = std::get<RoutingConfiguration>(read);
    CHECK(configuration.routes[0].responseKind == ResponseKind::EventStream);
    CHECK(configuration.routes[0].repeat == RepeatPolicy::Repeatable);
    CHECK(configuration.routes[0].services[1].weight == 10);
    CHECK(configuration.routes[1].repeat == RepeatPolicy::AtMostOnce);
    CHECK(configuration.routes[2].repeat == RepeatPolicy::Repeatable);
    CHECK(configuration.routes[2].isPublic);
    const EngineProfile &engine = *configuration.services.at(ServiceId("a")).engine;
    CHECK(engine.layers == 80);
    CHECK(engine.kinds.at("l4").memory == ByteCount(21'600'000'000));
    CHECK(engine.linkBytesPerSecond == doctest::Approx(1e6));
    CHECK(engine.domainDelay == 420us);
    CHECK(!configuration.services.at(ServiceId("b")).engine);
    CHECK(configuration.limits.idleTimeout == 15s);
    CHECK(configuration.organisations->front().priority == 1);
    CHECK(std::holds_alternative<DecodeFailure>(platformPublicationFormat().readConfiguration("{}")));
}

TEST_CASE("a valid worker record is decoded and one with a malformed field is rejected")
{
    const auto readTarget = platformPublicationFormat().readTarget;
    const nlohmann::json validRecord{{"Service", "a"},
                                     {"Address", "10.0.0.1:80"},
                                     {"Zone", "z"},
                                     {"Capacity", 6},
                                     {"State", "ready"},
                                     {"RouteType", "l4"},
                                     {"born", 17},
                                     {"LayerCount", {{{"Source", 20}, {"Target", 31}, {"Version", 1}}}}};
    const auto read = readTarget(TargetId("i"), validRecord.dump());
    REQUIRE(std::holds_alternative<DirectoryTarget>(read));
    const auto &target = std::get<DirectoryTarget>(read);
    CHECK(target.held.front().layers == LayerRange{LayerIndex(20), LayerIndex(31)});
    CHECK(target.incarnation == IncarnationNumber(17));
    CHECK(!target.leaving);
    for (const auto &[field, value] : std::map<std::string, nlohmann::json>{{"Service", 3},
                                                                            {"Address", nullptr},
                                                                            {"State", "asleep"},
                                                                            {"Capacity", "many"},
                                                                            {"LayerCount", {{1, 2}}}}) {
        nlohmann::json malformedRecord = validRecord;
        malformedRecord[field] = value;
        // The macro cannot capture a structured binding.
        const std::string &name = field;
        CAPTURE(name);
        CHECK(std::holds_alternative<DecodeFailure>(readTarget(TargetId("i"), malformedRecord.dump())));
    }
    CHECK(std::holds_alternative<DecodeFailure>(readTarget(TargetId("i"), "\xff\xfe")));
}

TEST_CASE("a caller's routing headers are read and connection headers are not forwarded")
{
    const ForwardRequest request = readForwardRequest({.method = "POST",
                                                       .target = "/s/x?y=1",
                                                       .headers = {{"Host", "h.example:80"},
                                                                   {"X-Attempt-Id", "a1"},
                                                                   {"X-Deadline-Ms", "1500"},
                                                                   {"Authorization", "Bearer key"},
                                                                   {"X-Token-Counts", "700,80"},
                                                                   {"X-Length-Hint", "44"},
                                                                   {"Last-Event-Id", "12"},
                                                                   {"X-Tenant", "someone else"},
                                                                   {"X-Hop-Count", "10.0.0.9:1=0-80"},
                                                                   {"Connection", "keep-alive, X-Mine"},
                                                                   {"X-Mine", "1"},
                                                                   {"X-Model", "m"}},
                                                       .body = "body"});
    CHECK(request.host == "h.example");
    CHECK(request.path == "/s/x");
    CHECK(request.key == "key");
    CHECK(request.timeLeft == 1500ms);
    CHECK(request.promptTokens == TokenCount(700));
    CHECK(request.expectedTokens == TokenCount(44));
    const auto sharedRequest = std::make_shared<const ForwardRequest>(request);
    const HttpRequest forwarded = targetRequest(
        {.target = TargetId("i-1"),
         .address = "10.0.0.1:1",
         .path = {{.target = TargetId("i-1"), .address = "10.0.0.1:1", .layers = {LayerIndex(0), LayerIndex(20)}},
                  {.target = TargetId("i-2"), .address = "10.0.0.2:1", .layers = {LayerIndex(20), LayerIndex(80)}}},
         .organisation = OrganisationId("club"),
         .timeLeft = 1200ms,
         .resumeAfter = StreamPosition(12),
         .request = sharedRequest});
    CHECK(forwarded.target == "/s/x?y=1");
    CHECK(headerValue(forwarded.headers, "X-Hop-Count") == "10.0.0.1:1=0-20,10.0.0.2:1=20-80");
    CHECK(headerValue(forwarded.headers, "X-Tenant") == "club");
    CHECK(headerValue(forwarded.headers, "X-Expect-Instance") == "i-1");
    CHECK(headerValue(forwarded.headers, "X-Deadline-Ms") == "1200");
    CHECK(headerValue(forwarded.headers, "Last-Event-Id") == "12");
    CHECK(headerValue(forwarded.headers, "X-Attempt-Id") == "a1");
    CHECK(headerValue(forwarded.headers, "Authorization").empty());
    CHECK(headerValue(forwarded.headers, "X-Mine").empty());
    CHECK(headerValue(forwarded.headers, "X-Model") == "m");
}

TEST_CASE("a refusal has status 503 if the request has not run and another status if it may have run")
{
    for (const auto reason : {ForwardFailure::NoTarget, ForwardFailure::Overloaded, ForwardFailure::TimeoutReached}) {
        CHECK(refusalResponse({.reason = reason, .mayHaveRun = false}).status == 503);
        CHECK(refusalResponse({.reason = reason, .mayHaveRun = true}).status >= 502);
        CHECK(refusalResponse({.reason = reason, .mayHaveRun = true}).status != 503);
    }
    const HttpResponse refusal =
        refusalResponse({.reason = ForwardFailure::Overloaded, .mayHaveRun = false, .retryAfter = 1050ms});
    CHECK(headerValue(refusal.headers, "Retry-After") == "1.050");
}

TEST_CASE("a progress query that is turned down does not count as silence")
{
    CHECK(readProgress({}, HttpResponse{.status = 503, .headers = {}, .body = {}}).answered);
    CHECK(!readProgress({}, HttpNoResponse{}).answered);
    CHECK(!readProgress({}, HttpNotSent{}).answered);
}

TEST_CASE("response headers of a target state that it leaves and for how long it wants no requests")
{
    const auto head = [](unsigned status, HttpHeaders headers) {
        return readResponseHead(RequestId(1), AttemptNumber(1), {.status = status, .headers = std::move(headers)});
    };
    CHECK(head(200, {{"Server-Leaving", "1"}}).leaving);
    CHECK(head(503, {{"server-leaving", "1"}}).leaving);
    CHECK(!head(200, {}).leaving);
    CHECK(head(503, {{"X-Not-Executed", "1"}, {"Retry-After", "2"}}).restFor == 2s);
    CHECK(head(503, {{"X-Not-Executed", "1"}, {"Retry-After", "0.75"}}).restFor == 750ms);
    CHECK(!head(503, {{"X-Not-Executed", "1"}}).restFor);
    CHECK(!head(503, {{"Retry-After", "soon"}}).restFor);
    CHECK(!head(503, {{"Retry-After", "-1"}}).restFor);
    CHECK(!head(429, {{"Retry-After", "2"}}).restFor);
    CHECK(!head(200, {{"Retry-After", "2"}}).restFor);
}

TEST_CASE("response headers of a target state how many requests a second it takes")
{
    const auto limitOf = [](const std::string &value) {
        return readResponseHead(RequestId(1),
                                AttemptNumber(1),
                                {.status = 200, .headers = {{"X-Server-Seal", "seal"}, {"Server-Limit", value}}})
            .requestsPerSecond;
    };
    CHECK(limitOf("6.9") == 6.9);
    CHECK(limitOf("12") == 12);
    CHECK(limitOf("0") == 0);
    for (const char *unreadable : {"", "-1", "few", "nan", "inf", "6.9x", "1e300"}) {
        CHECK(!limitOf(unreadable));
    }
    CHECK(!readResponseHead(RequestId(1), AttemptNumber(1), {.status = 200, .headers = {}}).requestsPerSecond);
}

TEST_CASE("response headers of a target state whether the request ran and whether the body is signed")
{
    const auto head = [](unsigned status, HttpHeaders headers) {
        return readResponseHead(RequestId(1), AttemptNumber(1), {.status = status, .headers = std::move(headers)});
    };
    CHECK(head(503, {{"X-Not-Executed", "1"}, {"At-Server", "10.0.0.2:1"}}).notRun);
    CHECK(head(503, {{"At-Server", "10.0.0.2:1"}}).addressAtFault == "10.0.0.2:1");
    CHECK(head(421, {}).notRun);
    CHECK(head(421, {}).misdirected);
    CHECK(!head(503, {{"X-Not-Executed", "1"}}).misdirected);
    CHECK(!head(503, {}).notRun);
    CHECK(!head(500, {{"X-Server-Seal", "s"}}).notRun);
    CHECK(head(200, {{"X-Server-Seal", "s"}}).sealed);
    CHECK(!head(200, {{"X-Server-Seal", "s"}, {"Content-Encoding", "gzip"}}).sealed);
    CHECK(!head(200, {}).sealed);
}

TEST_CASE("an order is encoded with its layer range and precondition and the response status gives its outcome")
{
    const EngineOrder order{.target = TargetId("i-1"),
                            .fencingNumber = FencingNumber(4),
                            .number = OrderNumber(2),
                            .loads = {{.layers = {LayerIndex(20), LayerIndex(31)}}},
                            .ordersAccepted = 5};
    const HttpRequest request = orderRequest(order);
    const nlohmann::json body = nlohmann::json::parse(request.body);
    CHECK(body["Source"] == 20);
    CHECK(body["Target"] == 31);
    CHECK(body["FencingToken"] == 4);
    CHECK(body["Precondition"] == 5);
    CHECK(headerValue(request.headers, "X-Expect-Instance") == "i-1");
    const auto outcome = [&](unsigned status) { return readOrderReply(order, response(status, {}))->outcome; };
    CHECK(outcome(202) == EngineOrderOutcome::Accepted);
    CHECK(outcome(409) == EngineOrderOutcome::StateDiffers);
    CHECK(outcome(412) == EngineOrderOutcome::OldFencingNumber);
    CHECK(readOrderReply(order, response(412, {}))->highestFencingNumber > order.fencingNumber);
    CHECK(!readOrderReply(order, HttpNoResponse{}));
}

TEST_CASE("a report is decoded into the held layers and the target that blocks a request")
{
    const nlohmann::json report{{"Busy", true},
                                {"Sequence", 3},
                                {"born", 17},
                                {"LayerCount", {{{"Source", 0}, {"Target", 9}}}},
                                {"Blocked", {{{"Id", "a1"}, {"Address", "10.0.0.2:1"}}}}};
    const auto read = readReport(TargetId("i"), response(200, report));
    REQUIRE(read);
    CHECK(read->state.busy);
    CHECK(read->state.ordersAccepted == 3);
    CHECK(read->state.held.front().layers.size() == 9);
    CHECK(!readReport(TargetId("i"), response(503, report)));
    const QueryProgress query{.id = RequestId(1), .attempt = AttemptNumber(1), .callerAttempt = "a1"};
    CHECK(readProgress(query, response(200, report)).blockedAtAddress == "10.0.0.2:1");
    CHECK(!readProgress(query, HttpNoResponse{}).answered);
}

TEST_CASE("the shared parts of a prompt are read without the last part, which belongs to the request")
{
    const auto partsOf = [](const std::string &value) {
        return readForwardRequest(
                   {.method = "POST", .target = "/s/x", .headers = {{"X-Prefix-Hash", value}}, .body = {}})
            .sharedParts;
    };
    CHECK(partsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == std::vector<std::string>{"5c1e07a2", "91bd3f06"});
    CHECK(partsOf("5c1e07a2:800, 91bd3f06:410, e4402b7d:250") == std::vector<std::string>{"5c1e07a2", "91bd3f06"});
    CHECK(partsOf("5c1e07a2:800").empty());
    CHECK(partsOf("").empty());
}

#include "standins/PlatformServer.h"
#include "hostlist/HostListCodec.h"
#include "hostlist/HostListHttpClient.h"
#include "http/HttpServer.h"
#include "keyvalue/KeyValueCodec.h"
#include "keyvalue/KeyValueHttpClient.h"
#include "standins/PlatformSettings.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

using namespace Carawaymill;

/// The stand-in behind a real listener, with a client; its clock is set by the test.
struct Served
{
    explicit Served(PlatformServerOptions options = {})
        : platform(std::move(options))
        , server(std::get<std::unique_ptr<HttpServer>>(
              HttpServer::create(context,
                                 {.limits = {.bodyBytes = platformBodyLimit}},
                                 [this](const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
                                     platform.handle(request, std::move(responder), now);
                                 })))
        , address("127.0.0.1:" + std::to_string(server->port()))
        , client(context)
        , keyValue(client, {.protocol = etcdGatewayProtocol(), .addresses = {address}})
    {
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            context.run_one_for(1ms);
            platform.tick(now);
        }
    }

    KeyValueResult call(const KeyValueRequest &request)
    {
        std::optional<KeyValueResult> result;
        keyValue.execute({.id = CallId(1), .request = request},
                         [&](const KeyValueReply &reply) { result = reply.result; });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    HttpResponse control(const std::string &method, const std::string &target, const std::string &body = {})
    {
        std::optional<HttpResult> result;
        client.send(address,
                    HttpRequest{.method = method, .target = target, .headers = {}, .body = body},
                    {},
                    [&](const HttpResult &answer) { result = answer; });
        runUntil([&] { return result.has_value(); });
        REQUIRE(std::holds_alternative<HttpResponse>(*result));
        return std::get<HttpResponse>(*result);
    }

    boost::asio::io_context context;
    TimePoint now;
    PlatformServer platform;
    std::unique_ptr<HttpServer> server;
    std::string address;
    HttpClient client;
    KeyValueHttpClient keyValue;
};

static Commit create(const std::string &key, std::optional<LeaseId> lease = std::nullopt)
{
    return Commit{
        .operations = {WriteOperation{
            .key = key, .value = std::string("\0v\xff", 3), .expected = Revision(0), .lease = std::move(lease)}}};
}

TEST_CASE("every kind of call goes over HTTP and back")
{
    Served served;
    const auto granted = std::get<LeaseGranted>(served.call(GrantLease{.timeToLive = 10s}));
    CHECK(granted.timeToLive == 10s);
    const auto committed = std::get<Committed>(served.call(create("a/1", granted.lease)));
    const auto conflict = std::get<CommitConflict>(served.call(create("a/1")));
    CHECK(conflict.currentRecords.front().revision == committed.revision);
    const auto read = std::get<RangeRead>(served.call(ReadRange{.prefix = "a/"}));
    CHECK(read.records.front().value == std::string("\0v\xff", 3));
    CHECK(read.records.front().lease == granted.lease);
    CHECK(std::get<RangeRead>(served.call(ReadRange{.prefix = ""})).records.size() == 1);
    CHECK(std::holds_alternative<LeaseRenewed>(served.call(RenewLease{.lease = granted.lease})));
    CHECK(std::holds_alternative<LeaseRevoked>(served.call(RevokeLease{.lease = granted.lease})));
    CHECK(std::holds_alternative<LeaseNotFound>(served.call(RevokeLease{.lease = granted.lease})));
    CHECK(std::holds_alternative<LeaseNotFound>(served.call(RenewLease{.lease = granted.lease})));
    CHECK(std::holds_alternative<LeaseNotFound>(served.call(create("a/2", granted.lease))));
    const auto changed =
        std::get<RangeChanged>(served.call(WatchRange{.prefix = "a/", .after = committed.revision, .wait = 1s}));
    CHECK(changed.deletedKeys == std::vector<std::string>{"a/1"});
    Commit large = create("a/3");
    std::get<WriteOperation>(large.operations.front()).value.assign(1024 * 1024 + 1, 'x');
    CHECK(std::holds_alternative<ValueTooLarge>(served.call(large)));
}

TEST_CASE("after a call that could not be sent the next one goes to the next address")
{
    Served served;
    // Nothing listens on port 1; the destroyed client's calls are still answered.
    auto keyValue = std::make_unique<KeyValueHttpClient>(
        served.client,
        KeyValueHttpClientOptions{.protocol = etcdGatewayProtocol(), .addresses = {"127.0.0.1:1", served.address}});
    std::vector<KeyValueResult> results;
    for (std::size_t call = 1; call <= 3; ++call) {
        keyValue->execute({.id = CallId(call), .request = ReadRange{.prefix = "a/"}},
                          [&](const KeyValueReply &reply) { results.push_back(reply.result); });
        if (call == 3) {
            keyValue.reset();
        }
        served.runUntil([&] { return results.size() == call; });
    }
    CHECK(std::holds_alternative<ServiceUnavailable>(results[0]));
    CHECK(std::holds_alternative<RangeRead>(results[1]));
    CHECK(std::holds_alternative<RangeRead>(results[2]));
}

TEST_CASE("a watch waits for a change, counts once, and ends after its wait")
{
    Served served;
    std::optional<KeyValueResult> result;
    const WatchRange watch{.prefix = "a/", .after = Revision(1), .wait = 1s};
    const auto start = [&] {
        result.reset();
        served.keyValue.execute({.id = CallId(2), .request = watch},
                                [&](const KeyValueReply &reply) { result = reply.result; });
        // Any call after it shows that the watch has arrived.
        served.control("GET", "/counts");
        CHECK_FALSE(result);
    };
    start();
    served.call(create("b/1"));
    CHECK_FALSE(result);
    served.now += 1s;
    served.runUntil([&] { return result.has_value(); });
    CHECK(std::get<RangeChanged>(*result).written.empty());
    start();
    served.call(create("a/1"));
    served.runUntil([&] { return result.has_value(); });
    CHECK(std::get<RangeChanged>(*result).written.front().key == "a/1");
    CHECK(nlohmann::json::parse(served.control("GET", "/counts").body)["watches"] == 2);
}

TEST_CASE("faults are set over HTTP, and unknown ones refused")
{
    Served served;
    CHECK(served.control("POST", "/faults", R"({"outage": true})").status == 200);
    CHECK(std::holds_alternative<ServiceUnavailable>(served.call(create("a/1"))));
    CHECK(served.control("POST", "/faults", R"({"outage": false, "nextAnswersLost": 1})").status == 200);
    CHECK(std::holds_alternative<OutcomeUnknown>(served.call(create("a/1"))));
    CHECK(std::holds_alternative<CommitConflict>(served.call(create("a/1"))));
    CHECK(served.control("POST", "/faults", R"({"outage": true, "storm": 1})").status == 400);
    CHECK(std::holds_alternative<Committed>(served.call(create("a/2"))));
    CHECK(served.control("POST", "/v3/kv/unknown", "{}").status == 400);
}

TEST_CASE("the host list shows changes after its lag, and the client passes them on")
{
    Served served({.hostListLag = 2s, .hosts = {.hosts = {}, .targets = {{.target = TargetId("old")}}}});
    std::optional<HostListRead> last;
    const HostListHttpClient reader(served.context,
                                    served.client,
                                    {.address = served.address, .interval = 1ms},
                                    [&](HostListRead list) { last = std::move(list); });
    served.runUntil([&] { return last.has_value(); });
    CHECK(last->targets.front().target == TargetId("old"));
    const HostListRead changed{.hosts = {}, .targets = {{.target = TargetId("new")}}};
    CHECK(served.control("PUT", "/hosts", nlohmann::json(changed).dump()).status == 200);
    last.reset();
    served.runUntil([&] { return last.has_value(); });
    CHECK(last->targets.front().target == TargetId("old"));
    served.now += 2s;
    served.runUntil([&] { return last->targets.front().target == TargetId("new"); });
}

TEST_CASE("all faults of the settings are reported together")
{
    const auto invalid = readPlatformSettings(R"({"keptChanges": -1, "hosts": 3, "lag": 2})");
    REQUIRE(std::holds_alternative<InvalidPlatformSettings>(invalid));
    CHECK(std::get<InvalidPlatformSettings>(invalid).faults.size() == 3);
    CHECK(std::holds_alternative<PlatformServerOptions>(readPlatformSettings(R"({"hostListLagMilliseconds": 5})")));
}

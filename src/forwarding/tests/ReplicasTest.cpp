#include "forwarding/ConfigurationReplica.h"
#include "forwarding/DirectoryReplica.h"
#include "forwarding/FleetRetryBudget.h"
#include "forwarding/HostRegistry.h"
#include "forwarding/RouteTable.h"

#include <doctest/doctest.h>

#include <set>

using namespace Carawaymill;

static constexpr TimePoint start{1h};

/// In these tests a configuration is stored as its version number, and a target as `address` or `address#incarnation`.
static PublicationFormat testFormat()
{
    return {.configurationKey = "op/config",
            .directoryPrefix = "servers/",
            .readConfiguration = [](const std::string &value) -> Result<RoutingConfiguration, DecodeFailure> {
                if (value.find_first_not_of("0123456789") != std::string::npos) {
                    return DecodeFailure{.field = "version"};
                }
                RoutingConfiguration configuration;
                configuration.version = ConfigurationVersion(std::stoull(value));
                return configuration;
            },
            .readTarget = [](const TargetId &id, const std::string &value) -> Result<DirectoryTarget, DecodeFailure> {
                if (value.empty()) {
                    return DecodeFailure{.field = "address"};
                }
                DirectoryTarget target;
                target.id = id;
                const std::size_t mark = value.find('#');
                target.address = value.substr(0, mark);
                if (mark != std::string::npos) {
                    target.incarnation = IncarnationNumber(std::stoull(value.substr(mark + 1)));
                }
                return target;
            }};
}

static KeyValueRecord record(const std::string &key, const std::string &value)
{
    return {.key = key, .value = value, .revision = Revision(1), .lease = {}};
}

template<typename Action, typename Actions>
static const Action *find(const Actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

static RangeRead read(std::vector<KeyValueRecord> records)
{
    return {.records = std::move(records), .storeRevision = Revision(10)};
}

TEST_CASE("the age of the configuration counts from the start of the call although its reply is delayed")
{
    ConfigurationReplica replica({.format = testFormat()});
    const auto actions = replica.handle(Tick{}, start);
    const auto *call = find<KeyValueCall>(actions);
    REQUIRE(call != nullptr);
    const auto changes =
        replica.handle(KeyValueReply{.id = call->id, .result = read({record("op/config", "7")})}, start + 700ms);
    CHECK(find<ConfigurationChanged>(changes) != nullptr);
    CHECK(replica.age(start + 700ms) == 700ms);
    CHECK(replica.fresh(start + 3500ms));
    CHECK(!replica.fresh(start + 3501ms));
}

TEST_CASE("an older or unreadable configuration is ignored")
{
    ConfigurationReplica replica({.format = testFormat()});
    const auto first = replica.handle(Tick{}, start);
    (void)replica.handle(KeyValueReply{.id = find<KeyValueCall>(first)->id, .result = read({record("op/config", "7")})},
                         start);
    TimePoint now = start;
    for (const std::string value : {"6", "not a number"}) {
        now += 10ms;
        const auto next = replica.handle(Tick{}, now);
        const auto *call = find<KeyValueCall>(next);
        REQUIRE(call != nullptr);
        const RangeChanged changed{
            .written = {record("op/config", value)}, .deletedKeys = {}, .storeRevision = Revision(11)};
        const auto actions = replica.handle(KeyValueReply{.id = call->id, .result = changed}, now);
        CHECK(find<ConfigurationChanged>(actions) == nullptr);
        CHECK(find<ConfigurationIgnored>(actions) != nullptr);
        CHECK(replica.configuration()->version == ConfigurationVersion(7));
    }
}

TEST_CASE("a host that cannot reach the service adopts the configuration and its confirmation from another host")
{
    ConfigurationReplica connected({.format = testFormat()});
    ConfigurationReplica disconnected({.format = testFormat()});
    const auto loadConfiguration = [](ConfigurationReplica &replica, const std::string &version, TimePoint now) {
        const auto actions = replica.handle(Tick{}, now);
        const auto *call = find<KeyValueCall>(actions);
        REQUIRE(call != nullptr);
        (void)replica.handle(KeyValueReply{.id = call->id, .result = read({record("op/config", version)})}, now);
    };
    // Messages cross the wire as JSON.
    const auto decoded = [](const ConfigurationMessage &message) {
        return std::get<ConfigurationMessage>(decode<ConfigurationMessage>(nlohmann::json(message)));
    };
    const auto answerOf = [&](const SendConfigurationMessage &request, TimePoint now) {
        const auto answered = connected.handle(
            ConfigurationMessageReceived{.from = HostId("cut"), .message = decoded(request.message)}, now);
        const auto *answer = find<SendConfigurationMessage>(answered);
        REQUIRE(answer != nullptr);
        CHECK(answer->to == HostId("cut"));
        return ConfigurationMessageReceived{.from = HostId("reaching"), .message = decoded(answer->message)};
    };
    (void)disconnected.handle(OtherHostsChanged{{HostId("reaching")}}, start);
    loadConfiguration(disconnected, "7", start);
    loadConfiguration(connected, "9", start + 1500ms);
    const auto query = disconnected.handle(Tick{}, start + 2s);
    const auto *confirmationRequest = find<SendConfigurationMessage>(query);
    REQUIRE(confirmationRequest != nullptr);
    CHECK(confirmationRequest->to == HostId("reaching"));
    const auto transfer = disconnected.handle(answerOf(*confirmationRequest, start + 2100ms), start + 2200ms);
    const auto *transferRequest = find<SendConfigurationMessage>(transfer);
    REQUIRE(transferRequest != nullptr);
    CHECK(transferRequest->to == HostId("reaching"));
    const auto adopted = disconnected.handle(answerOf(*transferRequest, start + 2300ms), start + 2400ms);
    REQUIRE(find<ConfigurationChanged>(adopted) != nullptr);
    CHECK(disconnected.configuration()->version == ConfigurationVersion(9));
    // The confirmation was 800 ms old when the other host sent it, and counts from the request at 2.2 s.
    CHECK(disconnected.age(start + 2200ms) == 800ms);
}

TEST_CASE("a newer configuration is adopted however late it arrives and confirms nothing if its request is forgotten")
{
    ConfigurationReplica replica({.format = testFormat()});
    (void)replica.handle(OtherHostsChanged{{HostId("b")}}, start);
    const auto query = replica.handle(Tick{}, start);
    const auto *request = find<SendConfigurationMessage>(query);
    REQUIRE(request != nullptr);
    const std::uint64_t number = std::get<ConfigurationRequest>(request->message).number;
    const auto answer = [&](std::uint64_t answered, std::uint64_t version) {
        return ConfigurationMessageReceived{.from = HostId("b"),
                                            .message =
                                                ConfigurationConfirmation{.number = answered,
                                                                          .version = ConfigurationVersion(version),
                                                                          .age = 100ms,
                                                                          .value = std::to_string(version)}};
    };
    (void)replica.handle(Tick{}, start + 300ms);
    (void)replica.handle(Tick{}, start + 600ms);
    // A response to the first of three queries counts from when that query was sent.
    REQUIRE(find<ConfigurationChanged>(replica.handle(answer(number, 7), start + 700ms)) != nullptr);
    CHECK(replica.age(start + 700ms) == 800ms);
    REQUIRE(find<ConfigurationChanged>(replica.handle(answer(number, 8), start + 4s)) != nullptr);
    CHECK(replica.configuration()->version == ConfigurationVersion(8));
    CHECK(!replica.fresh(start + 4s));
    CHECK(find<ConfigurationChanged>(replica.handle(answer(number, 7), start + 4s)) == nullptr);
    CHECK(replica.configuration()->version == ConfigurationVersion(8));
}

TEST_CASE("a host requests the configuration from one host at a time and waits longer after each failure")
{
    ConfigurationQueries queries({.transferTimeout = {.initial = 1s, .maximum = 4s}});
    std::vector<Duration> waits;
    TimePoint requestedAt = start;
    REQUIRE(queries.requestTransfer(HostId("a"), ConfigurationVersion(1), start));
    for (TimePoint now = start; waits.size() < 4; now += 10ms) {
        if (queries.requestTransfer(HostId("b"), ConfigurationVersion(1), now)) {
            waits.push_back(now - requestedAt);
            requestedAt = now;
        }
    }
    // Each is spread at random between half of its length and the whole of it.
    CHECK(waits[0] >= 500ms);
    CHECK(waits[1] >= 1s);
    CHECK(waits[2] >= 2s);
    CHECK(waits[3] <= 4010ms);
    queries.transferEnded();
    CHECK(queries.requestTransfer(HostId("b"), ConfigurationVersion(1), requestedAt + 10ms));
}

TEST_CASE("all hosts are queried in turn, a few in each round")
{
    ConfigurationQueries queries({.roundInterval = 300ms, .hostsPerRound = 6});
    std::set<HostId> hosts;
    for (int number = 0; number < 15; ++number) {
        hosts.insert(HostId("host-" + std::to_string(number)));
    }
    queries.setHosts({hosts.begin(), hosts.end()});
    std::set<HostId> asked;
    for (TimePoint now = start; now < start + 900ms; now += 20ms) {
        for (const SendConfigurationMessage &query : queries.nextRound(ConfigurationVersion(1), now)) {
            asked.insert(query.to);
        }
    }
    CHECK(asked == hosts);
}

TEST_CASE("hosts of an earlier release request and receive the configuration with its confirmation")
{
    const auto request = decode<ConfigurationMessage>(nlohmann::json{"asked", 3, 7});
    REQUIRE(std::holds_alternative<ConfigurationMessage>(request));
    CHECK(std::get<ConfigurationRequest>(std::get<ConfigurationMessage>(request)).withValue);
    // They read the first three elements of a query.
    const nlohmann::json query =
        ConfigurationMessage(ConfigurationRequest{.number = 3, .version = ConfigurationVersion(7), .withValue = false});
    CHECK(query.at(0) == "asked");
    CHECK(query.at(1) == 3);
    CHECK(query.at(2) == 7);
}

TEST_CASE("a host whose configuration is too old sends no confirmation")
{
    ConfigurationReplica replica({.format = testFormat()});
    const auto actions = replica.handle(Tick{}, start);
    (void)replica.handle(
        KeyValueReply{.id = find<KeyValueCall>(actions)->id, .result = read({record("op/config", "7")})}, start);
    const ConfigurationMessageReceived request{
        .from = HostId("b"), .message = ConfigurationRequest{.number = 1, .version = ConfigurationVersion(7)}};
    CHECK(find<SendConfigurationMessage>(replica.handle(request, start + 3s)) != nullptr);
    CHECK(find<SendConfigurationMessage>(replica.handle(request, start + 4s)) == nullptr);
}

TEST_CASE("a watch reads the range again after its history was compacted and retries a failed call after a delay")
{
    RangeWatch watch({.prefix = "a/"});
    auto call = watch.nextCall(start);
    REQUIRE(call);
    CHECK(std::holds_alternative<ReadRange>(call->request));
    CHECK(!watch.nextCall(start));
    REQUIRE(watch.handle({.id = call->id, .result = read({})}, start));
    call = watch.nextCall(start);
    REQUIRE(call);
    CHECK(std::get<WatchRange>(call->request).after == Revision(10));
    CHECK(!watch.handle({.id = call->id, .result = WatchCompacted{}}, start));
    CHECK(!watch.nextCall(start));
    call = watch.nextCall(start + 1s);
    REQUIRE(call);
    CHECK(std::holds_alternative<ReadRange>(call->request));
    // The service does not reply to this call.
    CHECK(!watch.nextCall(start + 2s));
    CHECK(!watch.nextCall(start + 5s));
    CHECK(watch.failures() == 2);
    CHECK(watch.nextCall(start + 6s));
}

TEST_CASE("a watch that follows failed calls is short and its compacted history is read again without their delay")
{
    RangeWatch watch({.prefix = "a/"});
    auto call = watch.nextCall(start);
    REQUIRE(call);
    REQUIRE(watch.handle({.id = call->id, .result = read({})}, start));
    TimePoint now = start;
    for (int failure = 0; failure < 5; ++failure) {
        now += 1s;
        call = watch.nextCall(now);
        REQUIRE(call);
        CHECK(std::get<WatchRange>(call->request).wait == (failure == 0 ? 1000ms : 100ms));
        CHECK(!watch.handle({.id = call->id, .result = ServiceUnavailable{}}, now));
    }
    now += 1s;
    call = watch.nextCall(now);
    REQUIRE(call);
    CHECK(!watch.handle({.id = call->id, .result = WatchCompacted{}}, now));
    call = watch.nextCall(now + 100ms);
    REQUIRE(call);
    CHECK(std::holds_alternative<ReadRange>(call->request));
}

TEST_CASE("the next watch starts after the minimum interval or at once if the last one took longer")
{
    RangeWatch watch({.prefix = "a/", .minimumInterval = 250ms});
    auto call = watch.nextCall(start);
    REQUIRE(watch.handle({.id = call->id, .result = read({})}, start + 10ms));
    CHECK(!watch.nextCall(start + 240ms));
    call = watch.nextCall(start + 250ms);
    REQUIRE(call);
    // The previous call took longer than the minimum interval, so the next one starts at once.
    const RangeChanged nothing{.written = {}, .deletedKeys = {}, .storeRevision = Revision(10)};
    REQUIRE(watch.handle({.id = call->id, .result = nothing}, start + 1250ms));
    CHECK(watch.nextCall(start + 1250ms));
}

TEST_CASE("a target whose record expired during an outage of the service is unlisted only after a grace period")
{
    DirectoryReplica replica({.format = testFormat()});
    TimePoint now = start;
    std::vector<DirectoryReplicaAction> pending = replica.handle(Tick{}, now);
    const auto reply = [&](const KeyValueResult &result) {
        const auto *call = find<KeyValueCall>(pending);
        REQUIRE(call != nullptr);
        pending = replica.handle(KeyValueReply{.id = call->id, .result = result}, now);
        std::vector<DirectoryReplicaAction> actions = pending;
        if (find<KeyValueCall>(pending) == nullptr) {
            now += 1s;
            pending = replica.handle(Tick{}, now);
        }
        return actions;
    };
    reply(read({record("servers/a", "a:1"), record("servers/b", "b:1")}));
    CHECK(replica.targets().size() == 2);
    // Without an outage, a target is unlisted as soon as its record is deleted.
    const auto removed =
        reply(RangeChanged{.written = {}, .deletedKeys = {"servers/b"}, .storeRevision = Revision(12)});
    CHECK(find<TargetUnlisted>(removed) != nullptr);
    reply(ServiceUnavailable{});
    reply(ServiceUnavailable{});
    reply(WatchCompacted{});
    reply(read({}));
    CHECK(replica.targets().size() == 1);
    const auto later = replica.handle(Tick{}, now + 2s);
    CHECK(find<TargetUnlisted>(later) != nullptr);
}

TEST_CASE("a missing target is unlisted at once if another host reached the service while this one could not")
{
    DirectoryReplica replica({.format = testFormat()});
    const auto first = find<KeyValueCall>(replica.handle(Tick{}, start))->id;
    (void)replica.handle(
        KeyValueReply{.id = first, .result = read({record("servers/a", "a:1"), record("servers/b", "b:1")})}, start);
    // No call of this host is answered until the first one that it makes 12 s later.
    std::optional<CallId> call;
    TimePoint now = start;
    while (!call) {
        now += 100ms;
        const auto pending = replica.handle(Tick{}, now);
        if (const auto *next = find<KeyValueCall>(pending); next != nullptr && now >= start + 12s) {
            call = next->id;
        }
        (void)replica.handle(ServiceResponded{now - 800ms}, now);
    }
    CHECK(replica.targets().size() == 2);
    const RangeChanged removed{.written = {}, .deletedKeys = {"servers/b"}, .storeRevision = Revision(12)};
    const auto actions = replica.handle(KeyValueReply{.id = *call, .result = removed}, now);
    CHECK(find<TargetUnlisted>(actions) != nullptr);
    CHECK(find<TargetMissing>(actions) == nullptr);
}

TEST_CASE("an unreadable target record is ignored and the other records are listed")
{
    DirectoryReplica replica({.format = testFormat()});
    const auto actions = replica.handle(Tick{}, start);
    const auto recordActions =
        replica.handle(KeyValueReply{.id = find<KeyValueCall>(actions)->id,
                                     .result = read({record("servers/a", ""), record("servers/b", "b:1")})},
                       start);
    CHECK(find<TargetRecordIgnored>(recordActions) != nullptr);
    CHECK(replica.targets().size() == 1);
}

TEST_CASE("of two listed processes with the same address only the newer incarnation is a target")
{
    const auto listAfter = [](const std::string &first, const std::string &second) {
        DirectoryReplica replica({.format = testFormat()});
        const auto call = find<KeyValueCall>(replica.handle(Tick{}, start))->id;
        (void)replica.handle(KeyValueReply{.id = call, .result = read({record("servers/" + first, "a:1#" + first)})},
                             start);
        const auto watch = find<KeyValueCall>(replica.handle(Tick{}, start + 1s))->id;
        const RangeChanged changed{.written = {record("servers/" + second, "a:1#" + second)},
                                   .deletedKeys = {},
                                   .storeRevision = Revision(12)};
        (void)replica.handle(KeyValueReply{.id = watch, .result = changed}, start + 1s);
        return replica.targets();
    };
    for (const auto &targets : {listAfter("1", "2"), listAfter("2", "1")}) {
        REQUIRE(targets.size() == 1);
        CHECK(targets.begin()->first == TargetId("2"));
    }
}

TEST_CASE("a host registers its record under a lease and requests a new lease when the old one has ended")
{
    HostRegistry registry({.self = {.host = HostId("h1"), .peerAddress = "tcp://h1:1"}});
    TimePoint now = start;
    std::vector<KeyValueCall> own;
    const auto collect = [&](const std::vector<HostRegistryAction> &actions) {
        for (const HostRegistryAction &action : actions) {
            if (const auto *call = std::get_if<KeyValueCall>(&action);
                call != nullptr && !std::holds_alternative<ReadRange>(call->request)) {
                own.push_back(*call);
            }
        }
    };
    const auto reply = [&](const KeyValueResult &result) {
        const CallId id = own.back().id;
        collect(registry.handle(KeyValueReply{.id = id, .result = result}, now));
    };
    collect(registry.handle(Tick{}, now));
    REQUIRE(std::holds_alternative<GrantLease>(own.back().request));
    reply(LeaseGranted{.lease = LeaseId("5"), .timeToLive = 3s});
    REQUIRE(std::holds_alternative<Commit>(own.back().request));
    const Commit &commit = std::get<Commit>(own.back().request);
    CHECK(std::get<WriteOperation>(commit.operations.front()).key == "hosts/h1");
    // The record of an earlier process of this host is overwritten at the revision that the conflict reports.
    reply(CommitConflict{.currentRecords = {record("hosts/h1", "{}")}, .storeRevision = Revision(9)});
    CHECK(std::get<WriteOperation>(std::get<Commit>(own.back().request).operations.front()).expected == Revision(1));
    reply(Committed{.revision = Revision(10)});
    now += 1s;
    collect(registry.handle(Tick{}, now));
    REQUIRE(std::holds_alternative<RenewLease>(own.back().request));
    reply(LeaseNotFound{});
    CHECK(std::holds_alternative<GrantLease>(own.back().request));
}

TEST_CASE("the route with the longest matching prefix of the host is selected and a key identifies its organisation")
{
    auto configuration = std::make_shared<RoutingConfiguration>();
    for (const std::string prefix : {"/", "/a/", "/a/b/"}) {
        configuration->routes.push_back({.name = prefix, .host = "h", .prefix = prefix});
    }
    configuration->organisations = {{.id = OrganisationId("club"), .keys = {"k1", "k2"}}};
    const RouteTable table(configuration);
    CHECK(table.route("h", "/a/b/c")->name == "/a/b/");
    CHECK(table.route("h", "/a/x")->name == "/a/");
    CHECK(table.route("h", "/b")->name == "/");
    CHECK(table.route("other", "/a/") == nullptr);
    CHECK(table.organisation("k2")->id == OrganisationId("club"));
    CHECK(table.organisation("k3") == nullptr);
}

/// Uses up the retry budget of a host that has received no request, and returns the number of retries.
static std::size_t spendRetries(FleetRetryBudget &budget, TimePoint now)
{
    std::size_t retries = 0;
    while (budget.tryRetry(ServiceId("desk"), now)) {
        ++retries;
    }
    return retries;
}

TEST_CASE("a host that no longer sees the records of the others takes no larger share of the retry burst")
{
    FleetRetryBudget budget({.window = 10s, .ratio = 0.2, .burst = 80});
    budget.setHosts(4, start - 10s);
    CHECK(spendRetries(budget, start) == 10);
    budget.setHosts(1, start);
    CHECK(spendRetries(budget, start + 1s) == 0);
}

TEST_CASE("a host that sees fewer records of hosts before its first retry takes no larger share of the retry burst")
{
    FleetRetryBudget budget({.window = 10s, .ratio = 0.2, .burst = 80});
    budget.setHosts(4, start - 10s);
    budget.setHosts(1, start + 1s);
    CHECK(spendRetries(budget, start + 1s) == 10);
    CHECK(spendRetries(budget, start + 12s) == 40);
}

TEST_CASE("a host that has not read the register of hosts takes no share of the retry burst")
{
    FleetRetryBudget budget({.window = 10s, .ratio = 0.2, .burst = 80});
    CHECK(spendRetries(budget, start) == 0);
}

TEST_CASE("hosts that use all of their retries stay within the bound of the fleet in every window")
{
    static constexpr double ratio = 0.2;
    static constexpr double burst = 20;
    static constexpr std::size_t hostCount = 4;
    const ServiceId service("desk");
    std::vector<FleetRetryBudget> hosts(hostCount, FleetRetryBudget({.window = 10s, .ratio = ratio, .burst = burst}));

    struct Event
    {
        TimePoint at;
        bool retry = false;
    };

    std::vector<Event> events;
    for (TimePoint now = start; now < start + 40s; now += 20ms) {
        for (std::size_t host = 0; host < hostCount; ++host) {
            hosts[host].setHosts(hostCount, now);
            // The load alternates: 5 s of requests, then 5 s without.
            if ((now - start) / 5s % 2 == 0) {
                hosts[host].recordRequest(service, now);
                events.push_back({.at = now});
            }
            while (hosts[host].tryRetry(service, now)) {
                events.push_back({.at = now, .retry = true});
            }
        }
    }
    for (TimePoint from = start; from < start + 30s; from += 500ms) {
        const auto count = [&](TimePoint begin, bool retry) {
            return static_cast<double>(std::ranges::count_if(events, [&](const Event &event) {
                return event.retry == retry && event.at >= begin && event.at < begin + 10s;
            }));
        };
        const double requests = std::max({count(from, false), count(from - 10s, false), count(from - 5s, false)});
        CHECK(count(from, true) <= ratio * requests + burst);
    }
}

/// Whether the retries of a fleet stay within its bound in every window of a minute. Every host uses all that it is
/// granted; `play` restarts hosts by replacing their budgets, and sets the number of hosts that each of them knows.
template<typename Play>
static bool staysWithinBound(std::size_t hostCount, bool hasRequests, Play play)
{
    static constexpr double ratio = 0.2;
    static constexpr double burst = 196;
    static constexpr Duration step = 100ms;
    static constexpr std::size_t stepsPerWindow = 100;
    const ServiceId service("desk");
    const FleetRetryBudgetOptions options{.window = 10s, .ratio = ratio, .burst = burst};
    std::vector<FleetRetryBudget> hosts(hostCount, FleetRetryBudget(options));
    std::vector<double> requests{0};
    std::vector<double> retries{0};
    for (TimePoint now = start; now < start + 60s; now += step) {
        play(hosts, options, now);
        requests.push_back(requests.back());
        retries.push_back(retries.back());
        for (FleetRetryBudget &host : hosts) {
            if (hasRequests) {
                host.recordRequest(service, now);
                requests.back() += 1;
            }
            while (host.tryRetry(service, now)) {
                retries.back() += 1;
            }
        }
    }
    for (std::size_t end = stepsPerWindow; end < retries.size(); ++end) {
        const std::size_t begin = end - stepsPerWindow;
        if (retries[end] - retries[begin] > ratio * (requests[end] - requests[begin]) + burst) {
            return false;
        }
    }
    return true;
}

TEST_CASE("hosts that are killed and started again in series take no new share of the retry burst")
{
    for (const std::size_t hostCount : {4U, 24U, 118U, 369U}) {
        CAPTURE(hostCount);
        std::size_t next = 0;
        CHECK(staysWithinBound(hostCount, true, [&](auto &hosts, const auto &options, TimePoint now) {
            if (now >= start + 20s) {
                // Each host is killed again after 2.5 s.
                for (std::size_t count = 0; count < std::max<std::size_t>(hostCount / 25, 1); ++count) {
                    hosts[next] = FleetRetryBudget(options);
                    next = (next + 1) % hostCount;
                }
            }
            for (FleetRetryBudget &host : hosts) {
                host.setHosts(hostCount, now);
            }
        }));
    }
}

TEST_CASE("hosts that start one after the other take no share of the retry burst for the hosts that are still missing")
{
    for (const std::size_t hostCount : {4U, 24U, 118U, 369U}) {
        CAPTURE(hostCount);
        CHECK(staysWithinBound(hostCount, false, [&](auto &hosts, const auto & /*options*/, TimePoint now) {
            const auto tenths = static_cast<std::size_t>((now - start) / 100ms);
            const std::size_t started = std::min(hostCount, (tenths + 1) * hostCount / 20 + 1);
            for (std::size_t host = 0; host < started; ++host) {
                hosts[host].setHosts(started, now);
            }
        }));
    }
}

/// Guards against hosts that ended because of one entry that is no host's.
TEST_CASE("an odd entry in the register of hosts names no host and the others hold")
{
    for (const std::string odd : {"",
                                  "null",
                                  "17",
                                  R"({"peerAddress":17})",
                                  R"({"peerAddress":"tcp://h2:1","region":["x"]})",
                                  R"({"peerAddress":null})"}) {
        CAPTURE(odd);
        HostRegistry registry({.self = {.host = HostId("h1")}});
        std::optional<KeyValueCall> readCall;
        for (const HostRegistryAction &action : registry.handle(Tick{}, start)) {
            if (const auto *call = std::get_if<KeyValueCall>(&action);
                call != nullptr && std::holds_alternative<ReadRange>(call->request)) {
                readCall = *call;
            }
        }
        REQUIRE(readCall);
        const KeyValueRecord sound = record("hosts/h3", R"({"peerAddress":"tcp://h3:1","failureDomain":"a"})");
        (void)registry.handle(KeyValueReply{.id = readCall->id, .result = read({record("hosts/h2", odd), sound})},
                              start);
        CHECK(registry.contains(HostId("h3")));
        CHECK(!registry.contains(HostId("h2")));
    }
}

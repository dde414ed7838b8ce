#include "forwarding/ConfigurationReplica.h"
#include "forwarding/DirectoryReplica.h"
#include "forwarding/HostRegistry.h"
#include "forwarding/RelayedWatchClient.h"
#include "forwarding/RelayedWatchServer.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Carawaymill;

static constexpr TimePoint start{1h};
static const HostId collector("collector");
static const HostId follower("follower");
static constexpr RelayedRange range = RelayedRange::Configuration;
static constexpr StoreEraChanged firstEra{.era = StoreEra(1), .restored = false};
static constexpr StoreEraChanged secondEra{.era = StoreEra(2), .restored = true};

/// A configuration is stored as its version number; a target as its incarnation, with `L` appended if it is leaving and
/// `H` if it holds layers.
static PublicationFormat testFormat()
{
    return {.configurationKey = "op/config",
            .directoryPrefix = "servers/",
            .readConfiguration = [](const std::string &value) -> Result<RoutingConfiguration, DecodeFailure> {
                RoutingConfiguration configuration;
                configuration.version = ConfigurationVersion(std::stoull(value));
                return configuration;
            },
            .readTarget = [](const TargetId &id, const std::string &value) -> Result<DirectoryTarget, DecodeFailure> {
                DirectoryTarget target;
                target.id = id;
                target.address = id.value() + ":1";
                target.incarnation = IncarnationNumber(std::stoull(value));
                target.leaving = value.find('L') != std::string::npos;
                if (value.find('H') != std::string::npos) {
                    target.held.emplace_back();
                }
                return target;
            }};
}

static KeyValueRecord record(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return {.key = key, .value = value, .revision = Revision(revision), .lease = {}};
}

static RangeRead read(std::vector<KeyValueRecord> records, std::uint64_t revision)
{
    return {.records = std::move(records), .storeRevision = Revision(revision)};
}

static RangeChanged
changed(std::vector<KeyValueRecord> records, std::uint64_t revision, std::vector<std::string> deleted = {})
{
    return {.written = std::move(records), .deletedKeys = std::move(deleted), .storeRevision = Revision(revision)};
}

/// The last call in the actions that satisfies the predicate.
template<typename Actions, typename Predicate>
static std::optional<KeyValueCall> findCall(const Actions &actions, Predicate isWanted)
{
    std::optional<KeyValueCall> found;
    for (const auto &action : actions) {
        if (const auto *call = std::get_if<KeyValueCall>(&action); call != nullptr && isWanted(*call)) {
            found = *call;
        }
    }
    return found;
}

template<typename Actions>
static std::optional<KeyValueCall> findCall(const Actions &actions)
{
    return findCall(actions, [](const KeyValueCall &) { return true; });
}

static bool isRead(const KeyValueCall &call)
{
    return std::holds_alternative<ReadRange>(call.request);
}

static bool isUnavailable(const std::vector<SendRangeWatchMessage> &messages)
{
    return messages.size() == 1 && std::holds_alternative<RangeWatchUnavailable>(messages.front().message);
}

static RangeWatchRequest watchRequest(std::uint64_t after, std::optional<StoreEra> era)
{
    return {.number = 7, .range = range, .after = Revision(after), .wait = 250ms, .era = era};
}

/// A server that has read the range at revision 100 in the first era.
static RelayedWatchServer serverOfFirstEra()
{
    RelayedWatchServer server({});
    (void)server.storeEraChanged(firstEra, start);
    (void)server.recordServiceReply(
        {.range = range, .id = CallId(1), .after = std::nullopt, .sentAt = start}, read({}, 100), start);
    return server;
}

TEST_CASE("a relayed watch keeps its era over the wire and a message without one has an unknown era")
{
    const RangeWatchMessage request = watchRequest(5, StoreEra(3));
    nlohmann::json json = request;
    CHECK(std::get<RangeWatchRequest>(std::get<RangeWatchMessage>(decode<RangeWatchMessage>(json))).era == StoreEra(3));
    json.erase(json.size() - 1);
    CHECK(!std::get<RangeWatchRequest>(std::get<RangeWatchMessage>(decode<RangeWatchMessage>(json))).era);
    const RangeWatchMessage response = RangeWatchResponse{.number = 7, .era = StoreEra(3)};
    json = response;
    CHECK(std::get<RangeWatchResponse>(std::get<RangeWatchMessage>(decode<RangeWatchMessage>(json))).era
          == StoreEra(3));
    json.back() = "three";
    CHECK(std::holds_alternative<DecodeFailure>(decode<RangeWatchMessage>(json)));
    json.erase(json.size() - 1);
    CHECK(!std::get<RangeWatchResponse>(std::get<RangeWatchMessage>(decode<RangeWatchMessage>(json))).era);
}

TEST_CASE("a relayed watch from a revision of another era is not confirmed")
{
    RelayedWatchServer server = serverOfFirstEra();
    CHECK(!isUnavailable(server.handleRequest(follower, watchRequest(100, StoreEra(1)), start)));
    // The pending request of the first era is ended by the change of the era.
    CHECK(isUnavailable(server.storeEraChanged(secondEra, start + 10ms)));
    CHECK(isUnavailable(server.handleRequest(follower, watchRequest(100, StoreEra(2)), start + 20ms)));
    (void)server.recordServiceReply(
        {.range = range, .id = CallId(2), .after = std::nullopt, .sentAt = start + 20ms}, read({}, 80), start + 30ms);
    CHECK(isUnavailable(server.handleRequest(follower, watchRequest(100, StoreEra(1)), start + 40ms)));
    CHECK(isUnavailable(server.handleRequest(follower, watchRequest(100, std::nullopt), start + 40ms)));
    CHECK(server.handleRequest(follower, watchRequest(80, StoreEra(2)), start + 40ms).empty());
    const auto messages = server.tick(start + 400ms);
    REQUIRE(messages.size() == 1);
    CHECK(std::get<RangeWatchResponse>(messages.front().message).era == StoreEra(2));
}

TEST_CASE("an answer of another host is not taken if it is of another era or its request was sent before the rise")
{
    RelayedWatchClient client({});
    client.storeEraChanged(firstEra);
    const KeyValueCall watch{.id = CallId(4), .request = WatchRange{.prefix = "p/", .after = Revision(3), .wait = 1s}};
    client.recordConfirmed(range, start);
    const auto sent = client.relay(range, watch, collector, start);
    REQUIRE(sent);
    const auto &request = std::get<RangeWatchRequest>(sent->message);
    CHECK(request.era == StoreEra(1));
    RangeWatchResponse response{.number = request.number, .range = range, .era = StoreEra(2)};
    CHECK(!client.handleResponse(collector, response));
    response.era.reset();
    CHECK(!client.handleResponse(collector, response));
    client.storeEraChanged(secondEra);
    response.era = StoreEra(1);
    CHECK(!client.handleResponse(collector, response));
    // Its call is void, so it is not sent to the service either.
    CHECK(client.takeTimedOut(start + 10s).empty());
}

TEST_CASE("after a restore of the store the configuration is read again and a late reply of before is ignored")
{
    ConfigurationReplica replica({.format = testFormat()});
    auto call = findCall(replica.handle(Tick{}, start));
    (void)replica.handle(KeyValueReply{.id = call->id, .result = read({record("op/config", "7", 90)}, 100)}, start);
    const auto watch = findCall(replica.handle(Tick{}, start + 10ms));
    REQUIRE(watch);
    (void)replica.handle(secondEra, start + 20ms);
    call = findCall(replica.handle(Tick{}, start + 30ms));
    REQUIRE(call);
    CHECK(isRead(*call));
    (void)replica.handle(KeyValueReply{.id = watch->id, .result = changed({}, 200)}, start + 500ms);
    CHECK(replica.age(start + 500ms) == 500ms);
    (void)replica.handle(KeyValueReply{.id = call->id, .result = read({record("op/config", "6", 80)}, 85)},
                         start + 510ms);
    CHECK(replica.configuration()->version == ConfigurationVersion(7));
    const auto next = findCall(replica.handle(Tick{}, start + 520ms));
    REQUIRE(next);
    CHECK(std::get<WatchRange>(next->request).after == Revision(85));
}

TEST_CASE("a host that starts or sees a restore asks the others for a newer configuration although it is confirmed")
{
    ConfigurationReplica replica({.format = testFormat()});
    (void)replica.handle(OtherHostsChanged{{HostId("b")}}, start);
    std::optional<KeyValueCall> pending;
    const auto asks = [&](TimePoint now) {
        const auto actions = replica.handle(Tick{}, now);
        if (auto call = findCall(actions)) {
            pending = std::move(call);
        }
        return std::ranges::any_of(
            actions, [](const auto &action) { return std::holds_alternative<SendConfigurationMessage>(action); });
    };
    const auto confirm = [&](TimePoint now) {
        // The first reply may be to an earlier call; the second one is to a call that is sent now.
        for (int replies = 0; replies < 2; ++replies) {
            (void)asks(now);
            REQUIRE(pending);
            const CallId id = pending->id;
            pending.reset();
            (void)replica.handle(KeyValueReply{.id = id, .result = read({record("op/config", "7", 90)}, 100)}, now);
        }
    };
    confirm(start);
    CHECK(asks(start + 400ms));
    confirm(start + 2s);
    CHECK(!asks(start + 2400ms));
    (void)replica.handle(secondEra, start + 2500ms);
    confirm(start + 2500ms);
    CHECK(asks(start + 2900ms));
    confirm(start + 4800ms);
    CHECK(!asks(start + 5200ms));
}

/// A replica of the directory that has read it and waits for changes.
class LoadedDirectory
{
public:
    explicit LoadedDirectory(std::vector<KeyValueRecord> records)
    {
        m_call = findCall(replica.handle(Tick{}, start));
        reply(read(std::move(records), 100));
    }

    /// Passes the reply to the pending call, and a tick late enough that the next call is made.
    void reply(const KeyValueResult &result)
    {
        REQUIRE(m_call);
        const CallId id = m_call->id;
        m_call.reset();
        keep(replica.handle(KeyValueReply{.id = id, .result = result}, now));
        advance(300ms);
    }

    void restore()
    {
        m_call.reset();
        keep(replica.handle(secondEra, now));
        advance(10ms);
        REQUIRE(m_call);
        CHECK(isRead(*m_call));
    }

    void advance(Duration duration)
    {
        now += duration;
        keep(replica.handle(Tick{}, now));
    }

    [[nodiscard]] const DirectoryTarget *target(const std::string &id) const
    {
        const auto found = replica.targets().find(TargetId(id));
        return found == replica.targets().end() ? nullptr : &found->second;
    }

    TimePoint now = start;
    DirectoryReplica replica{{.format = testFormat()}};

private:
    void keep(const std::vector<DirectoryReplicaAction> &actions)
    {
        if (auto call = findCall(actions)) {
            m_call = std::move(call);
        }
    }

    std::optional<KeyValueCall> m_call;
};

TEST_CASE("targets that an older copy of the directory lacks stay listed until they had time to write their records")
{
    LoadedDirectory directory({record("servers/a", "1", 90), record("servers/b", "1", 91)});
    directory.restore();
    directory.reply(read({}, 50));
    CHECK(directory.replica.targets().size() == 2);
    directory.reply(changed({record("servers/a", "1", 60)}, 60));
    directory.advance(2s);
    CHECK(directory.target("a") != nullptr);
    CHECK(directory.target("b") == nullptr);
}

TEST_CASE("a record of an older copy takes back neither leaving nor held layers until its target writes it again")
{
    LoadedDirectory directory({record("servers/a", "1L", 90), record("servers/b", "1H", 91)});
    directory.restore();
    directory.reply(read({record("servers/a", "1", 40), record("servers/b", "1", 41)}, 50));
    REQUIRE(directory.target("a") != nullptr);
    REQUIRE(directory.target("b") != nullptr);
    CHECK(directory.target("a")->leaving);
    CHECK(directory.target("b")->held.size() == 1);
    directory.reply(changed({record("servers/b", "1", 60)}, 60));
    CHECK(directory.target("b")->held.empty());
    // A new process under the same name is taken at once.
    directory.restore();
    directory.reply(read({record("servers/a", "2", 40), record("servers/b", "1", 60)}, 61));
    CHECK(!directory.target("a")->leaving);
}

TEST_CASE("an older copy of the directory does not replace a process by an earlier one of the same target")
{
    LoadedDirectory directory({record("servers/a", "2", 90), record("servers/b", "2", 91)});
    directory.reply(changed({}, 101, {"servers/b"}));
    directory.restore();
    directory.reply(read({record("servers/a", "1", 40), record("servers/b", "1", 41)}, 50));
    REQUIRE(directory.target("a") != nullptr);
    CHECK(directory.target("a")->incarnation == IncarnationNumber(2));
    CHECK(directory.target("b") == nullptr);
}

TEST_CASE("a target that was removed does not return with an older copy of the directory until it writes again")
{
    LoadedDirectory directory({record("servers/a", "1", 90), record("servers/b", "1", 91)});
    directory.reply(changed({}, 101, {"servers/a", "servers/b"}));
    REQUIRE(directory.replica.targets().empty());
    directory.restore();
    directory.reply(read({record("servers/a", "1", 90), record("servers/b", "2", 95)}, 96));
    CHECK(directory.target("a") == nullptr);
    CHECK(directory.target("b") != nullptr);
    directory.reply(changed({record("servers/a", "1", 97)}, 97));
    CHECK(directory.target("a") != nullptr);
}

TEST_CASE("after a restore a host registers under a new lease at once and the other hosts stay listed for a while")
{
    HostRegistry registry({.self = {.host = HostId("h1"), .peerAddress = "tcp://h1:1"}});
    const auto isRange = [](const KeyValueCall &call) { return call.id.value() % 2 == 0; };
    const auto isOwn = [](const KeyValueCall &call) { return call.id.value() % 2 == 1; };
    auto actions = registry.handle(Tick{}, start);
    const auto rangeRead = findCall(actions, isRange);
    auto own = findCall(actions, isOwn);
    (void)registry.handle(KeyValueReply{.id = rangeRead->id,
                                        .result = read({record("hosts/h2", "{}", 5), record("hosts/h3", "{}", 6)}, 9)},
                          start);
    own = findCall(
        registry.handle(KeyValueReply{.id = own->id, .result = LeaseGranted{.lease = LeaseId("5"), .timeToLive = 3s}},
                        start),
        isOwn);
    (void)registry.handle(KeyValueReply{.id = own->id, .result = Committed{.revision = Revision(10)}}, start);
    const auto renewal = findCall(registry.handle(Tick{}, start + 1s), isOwn);
    REQUIRE(renewal);
    actions = registry.handle(secondEra, start + 1100ms);
    own = findCall(actions, isOwn);
    REQUIRE(own);
    CHECK(std::holds_alternative<GrantLease>(own->request));
    // The lease of the renewal may have been given out again.
    CHECK(registry.handle(KeyValueReply{.id = renewal->id, .result = LeaseRenewed{.timeToLive = 3s}}, start + 1200ms)
              .empty());
    const auto reread = findCall(actions, isRange);
    REQUIRE(reread);
    CHECK(isRead(*reread));
    (void)registry.handle(KeyValueReply{.id = reread->id, .result = read({}, 4)}, start + 1200ms);
    CHECK(registry.contains(HostId("h2")));
    const auto watch = findCall(registry.handle(Tick{}, start + 2300ms), isRange);
    REQUIRE(watch);
    (void)registry.handle(KeyValueReply{.id = watch->id, .result = changed({record("hosts/h2", "{}", 5)}, 5)},
                          start + 2300ms);
    actions = registry.handle(Tick{}, start + 5s);
    CHECK(registry.contains(HostId("h2")));
    CHECK(!registry.contains(HostId("h3")));
    CHECK(std::ranges::any_of(
        actions, [](const auto &action) { return std::holds_alternative<RegisteredHostsChanged>(action); }));
}

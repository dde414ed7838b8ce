#include "catalogue/CatalogueReplica.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const TimePoint start{10s};
static const std::string key = "catalogue/model/m";

static std::string modelValue(std::uint32_t layers)
{
    return encodeStoredRecord({.record = ModelRecord{.id = ModelId("m"), .layers = layers}});
}

static CatalogueReplica makeReplica(const std::string &host = "a")
{
    return std::get<CatalogueReplica>(
        CatalogueReplica::create({.host = HostId(host), .failureDomain = FailureDomainId("d"), .seed = 1}));
}

/// The calls among the actions whose request is of type `Request`.
template<typename Request>
static std::vector<KeyValueCall> callsOf(const std::vector<CatalogueReplicaAction> &actions)
{
    std::vector<KeyValueCall> calls;
    for (const auto &action : actions) {
        if (const auto *call = std::get_if<KeyValueCall>(&action);
            call != nullptr && std::holds_alternative<Request>(call->request)) {
            calls.push_back(*call);
        }
    }
    return calls;
}

static RangeRead readOf(std::uint32_t layers, std::uint64_t recordRevision, std::uint64_t storeRevision)
{
    return {.records = {{.key = key, .value = modelValue(layers), .revision = Revision(recordRevision)}},
            .storeRevision = Revision(storeRevision)};
}

static std::uint32_t layersOf(const CatalogueReplica &replica)
{
    const ModelRecord *model = replica.model(ModelId("m"));
    return model == nullptr ? 0 : model->layers;
}

/// A replica that has read model `m` with 5 layers at revision 7.
static CatalogueReplica makeLoadedReplica()
{
    CatalogueReplica replica = makeReplica();
    const auto reads = callsOf<ReadRange>(replica.handle(Tick{}, start));
    REQUIRE(reads.size() == 1);
    (void)replica.handle(KeyValueReply{.id = reads.front().id, .result = readOf(5, 7, 7)}, start);
    return replica;
}

TEST_CASE("a first read loads the catalogue and starts one watch and one poll")
{
    CatalogueReplica replica = makeLoadedReplica();
    CHECK(layersOf(replica) == 5);
    CHECK(replica.revision() == Revision(7));
    CHECK(replica.takesNewJobs(start));
    const auto actions = replica.handle(Tick{}, start);
    REQUIRE(callsOf<ReadRange>(actions).size() == 1);
    CHECK(std::get<ReadRange>(callsOf<ReadRange>(actions).front().request).prefix == catalogueHeadKey);
    REQUIRE(callsOf<WatchRange>(actions).size() == 1);
    CHECK(std::get<WatchRange>(callsOf<WatchRange>(actions).front().request).wait == Duration(30s));
    CHECK(replica.handle(Tick{}, start + 10ms).empty());
}

TEST_CASE("an older revision never replaces a newer one, neither from the service nor from a peer")
{
    CatalogueReplica replica = makeLoadedReplica();
    const CatalogueVersion older{.key = key, .revision = Revision(6), .value = modelValue(3)};
    (void)replica.handle(
        CatalogueMessageReceived{.from = HostId("b"), .message = CatalogueVersions{.versions = {older}}}, start);
    CHECK(layersOf(replica) == 5);

    const auto calls = callsOf<ReadRange>(replica.handle(Tick{}, start));
    const RangeRead olderState = readOf(3, 6, 6);
    const auto actions = replica.handle(KeyValueReply{.id = calls.front().id, .result = olderState}, start);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<CatalogueVersionIgnored>(actions.front()).reason == CatalogueVersionIgnored::Reason::OlderState);
    CHECK(layersOf(replica) == 5);
    CHECK(replica.revision() == Revision(7));
}

TEST_CASE("a deletion is a newer version, which a late older write does not undo")
{
    CatalogueReplica replica = makeLoadedReplica();
    const auto receive = [&](std::uint64_t revision, const std::string &value) {
        const CatalogueVersion version{.key = key, .revision = Revision(revision), .value = value};
        (void)replica.handle(
            CatalogueMessageReceived{.from = HostId("b"), .message = CatalogueVersions{.versions = {version}}}, start);
    };
    receive(9, encodeStoredRecord({}));
    CHECK(replica.model(ModelId("m")) == nullptr);
    receive(8, modelValue(6));
    CHECK(replica.model(ModelId("m")) == nullptr);
    receive(10, modelValue(8));
    CHECK(layersOf(replica) == 8);
}

TEST_CASE("a change that the watch skipped shows in the head and is read by its key")
{
    CatalogueReplica replica = makeLoadedReplica();
    const auto actions = replica.handle(Tick{}, start);
    (void)replica.handle(KeyValueReply{.id = callsOf<WatchRange>(actions).front().id,
                                       .result = RangeChanged{.storeRevision = Revision(9)}},
                         start);
    CHECK(replica.revision() == Revision(7));
    const std::string head = encodeCatalogueHead(headAfterChange({}, key));
    const RangeRead read{.records = {{.key = catalogueHeadKey, .value = head, .revision = Revision(9)}},
                         .storeRevision = Revision(9)};
    (void)replica.handle(KeyValueReply{.id = callsOf<ReadRange>(actions).front().id, .result = read}, start + 5ms);
    CHECK(replica.revision() == Revision(7));
    // The head alone does not make the host any fresher.
    const auto nextPoll = callsOf<ReadRange>(replica.handle(Tick{}, start + 2s));
    REQUIRE(std::get<ReadRange>(nextPoll.front().request).prefix == catalogueHeadKey);
    (void)replica.handle(KeyValueReply{.id = nextPoll.front().id, .result = read}, start + 2s);
    CHECK(replica.staleness(start + 2s) == Duration(2s));
    const std::vector<KeyValueCall> fetches(nextPoll.begin() + 1, nextPoll.end());
    REQUIRE(fetches.size() == 1);
    CHECK(std::get<ReadRange>(fetches.front().request).prefix == key);
    (void)replica.handle(KeyValueReply{.id = fetches.front().id, .result = readOf(6, 9, 9)}, start + 2s);
    CHECK(layersOf(replica) == 6);
    CHECK(replica.revision() == Revision(9));
}

TEST_CASE("an unreadable version leaves the old record in force and is passed on")
{
    CatalogueReplica replica = makeLoadedReplica();
    const CatalogueVersion version{.key = key, .revision = Revision(9), .value = "{"};
    (void)replica.handle(
        CatalogueMessageReceived{.from = HostId("b"), .message = CatalogueVersions{.versions = {version}}}, start);
    CHECK(layersOf(replica) == 5);
    CHECK(replica.table().item(key)->revision == Revision(9));
    CHECK(!replica.table().item(key)->readable);
}

TEST_CASE("a host cut off from the service and all peers takes no new jobs after the bound")
{
    CatalogueReplica replica = makeLoadedReplica();
    (void)replica.handle(CataloguePeersChanged{.peers = {{HostId("b"), FailureDomainId("d")}}}, start);
    CHECK(replica.takesNewJobs(start + 30s));
    CHECK(!replica.takesNewJobs(start + 31s));
}

TEST_CASE("a host that does not know the others yet does not claim that a revision is in force on all")
{
    CatalogueReplica replica = makeLoadedReplica();
    CHECK(!replica.inForceOn(Revision(7)));
    (void)replica.handle(CataloguePeersChanged{.peers = {{HostId("b"), FailureDomainId("d")}}}, start);
    CHECK(replica.inForceOn(Revision(7)) == InForceCount{.confirmed = 1, .hosts = 2});
    // A host that is cut off may in the end believe that there are no others.
    (void)replica.handle(CataloguePeersChanged{}, start + 31s);
    CHECK(!replica.takesNewJobs(start + 31s));
}

TEST_CASE("two hosts of each failure domain watch, and the others when nobody tells them anything")
{
    std::size_t watchers = 0;
    for (int self = 0; self < 16; ++self) {
        CatalogueReplica replica = makeReplica(std::to_string(self));
        std::vector<CataloguePeer> peers;
        for (int other = 0; other < 16; ++other) {
            if (other != self) {
                peers.push_back({HostId(std::to_string(other)), FailureDomainId("d")});
            }
        }
        (void)replica.handle(CataloguePeersChanged{.peers = peers}, start);
        const auto reads = callsOf<ReadRange>(replica.handle(Tick{}, start));
        (void)replica.handle(KeyValueReply{.id = reads.front().id, .result = readOf(5, 7, 7)}, start);
        watchers += replica.watches(start) ? 1 : 0;
        CHECK(replica.watches(start + 11s));
    }
    CHECK(watchers == 2);
}

TEST_CASE("messages survive packing")
{
    const CatalogueVersions versions{.versions = {{.key = key, .revision = Revision(3), .value = "x"}},
                                     .isRepair = true};
    const nlohmann::json json = CatalogueMessage{versions};
    const auto decoded = std::get<CatalogueMessage>(decode<CatalogueMessage>(json));
    CHECK(std::get<CatalogueVersions>(decoded).versions == versions.versions);
    CHECK(std::holds_alternative<DecodeFailure>(decode<CatalogueMessage>(nlohmann::json::array({"other"}))));
}

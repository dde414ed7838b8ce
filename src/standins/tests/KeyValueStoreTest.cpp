#include "standins/KeyValueStore.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const TimePoint start{};

static KeyValueResult put(KeyValueStore &store, const std::string &key, Revision expected)
{
    return store.apply(Commit{.operations = {WriteOperation{.key = key, .value = "v", .expected = expected}}}, start);
}

static Revision committed(const KeyValueResult &result)
{
    REQUIRE(std::holds_alternative<Committed>(result));
    return std::get<Committed>(result).revision;
}

static RangeChanged watch(KeyValueStore &store, Revision after)
{
    const auto result = store.apply(WatchRange{.prefix = "a/", .after = after, .wait = 1s}, start);
    REQUIRE(std::holds_alternative<RangeChanged>(result));
    return std::get<RangeChanged>(result);
}

TEST_CASE("a commit takes effect as a whole or not at all")
{
    KeyValueStore store({});
    const Revision first = committed(put(store, "a/1", Revision(0)));
    const auto result =
        store.apply(Commit{.operations = {WriteOperation{.key = "a/2", .value = "w", .expected = Revision(0)},
                                          CheckOperation{.key = "a/1", .expected = first.next()}}},
                    start);
    REQUIRE(std::holds_alternative<CommitConflict>(result));
    CHECK(std::get<CommitConflict>(result).currentRecords.size() == 1);
    CHECK_FALSE(store.record("a/2"));
    CHECK(store.revision() == first);
}

TEST_CASE("a lease that lapses deletes its records in one step, and renewal keeps them")
{
    KeyValueStore store({});
    const auto granted = store.apply(GrantLease{.timeToLive = 10s}, start);
    const LeaseId lease = std::get<LeaseGranted>(granted).lease;
    const auto write = [&](const std::string &key) {
        return store.apply(
            Commit{.operations = {WriteOperation{.key = key, .value = "", .expected = Revision(0), .lease = lease}}},
            start);
    };
    committed(write("a/1"));
    const Revision before = committed(write("a/2"));
    CHECK(std::holds_alternative<LeaseRenewed>(store.apply(RenewLease{.lease = lease}, start + 9s)));
    store.endDueLeases(start + 18s);
    CHECK(store.record("a/1"));
    store.endDueLeases(start + 19s);
    CHECK_FALSE(store.record("a/1"));
    CHECK(store.revision() == before.next());
    CHECK(watch(store, before).deletedKeys.size() == 2);
    CHECK(std::holds_alternative<LeaseNotFound>(store.apply(RenewLease{.lease = lease}, start + 19s)));
    CHECK(std::holds_alternative<LeaseNotFound>(write("a/3")));
}

TEST_CASE("a lost answer has taken effect and a lost call has not")
{
    KeyValueStore store({});
    store.faults().nextAnswersLost = 1;
    CHECK(std::holds_alternative<OutcomeUnknown>(put(store, "a/1", Revision(0))));
    CHECK(store.record("a/1"));
    store.faults().nextCallsLost = 1;
    CHECK(std::holds_alternative<OutcomeUnknown>(put(store, "a/2", Revision(0))));
    CHECK_FALSE(store.record("a/2"));
    store.faults().outage = true;
    CHECK(std::holds_alternative<ServiceUnavailable>(put(store, "a/3", Revision(0))));
    CHECK(store.counts().writes() == 1);
    CHECK(store.counts().refused == 1);
}

TEST_CASE("a watch reports the last change of each key, and says when it no longer knows")
{
    KeyValueStore store({.keptChanges = 3});
    const Revision first = committed(put(store, "a/1", Revision(0)));
    const Revision second = committed(put(store, "a/1", first));
    committed(put(store, "b/1", Revision(0)));
    CHECK(watch(store, first).written.size() == 1);
    CHECK(watch(store, second).written.empty());
    CHECK(watch(store, second).storeRevision == store.revision());
    committed(put(store, "a/2", Revision(0)));
    CHECK(std::holds_alternative<WatchCompacted>(
        store.apply(WatchRange{.prefix = "a/", .after = Revision(1), .wait = 1s}, start)));
}

TEST_CASE("faulty watches are silent or skip, and frozen reads are old")
{
    KeyValueStore store({});
    const Revision first = committed(put(store, "a/1", Revision(0)));
    store.freezeReads();
    committed(put(store, "a/2", Revision(0)));
    CHECK(std::get<RangeRead>(store.apply(ReadRange{.prefix = "a/"}, start)).records.size() == 1);
    store.thawReads();
    CHECK(std::get<RangeRead>(store.apply(ReadRange{.prefix = "a/"}, start)).records.size() == 2);
    store.faults().watches = WatchFault::Silent;
    CHECK(watch(store, first).storeRevision == first);
    store.faults().watches = WatchFault::Skipping;
    CHECK(watch(store, first).written.empty());
    CHECK(watch(store, first).storeRevision == store.revision());
}

TEST_CASE("a value above one mebibyte is refused")
{
    KeyValueStore store({});
    const std::string large(1024 * 1024 + 1, 'x');
    const Commit commit{.operations = {WriteOperation{.key = "a/1", .value = large, .expected = Revision(0)}}};
    CHECK(std::holds_alternative<ValueTooLarge>(store.apply(commit, start)));
}

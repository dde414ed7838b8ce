#include "CatalogueWorld.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static constexpr Duration inForceTarget = 4s;

static Revision acceptedAt(const EditOutcome &outcome)
{
    REQUIRE(std::holds_alternative<EditAccepted>(outcome));
    return std::get<EditAccepted>(outcome).revision;
}

static std::uint32_t layersOn(CatalogueWorld &world, std::size_t host)
{
    const ModelRecord *model = world.host(host).replica.model(ModelId("m"));
    return model == nullptr ? 0 : model->layers;
}

TEST_CASE("an accepted edit is in force on all hosts within the target, and its host can tell")
{
    CatalogueWorld world(4);
    world.run(5s);
    const Revision revision = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));
    (void)world.host(0).replica.handle(InForceAsked{.revision = revision}, world.now());
    CHECK(world.runUntilInForce(revision, inForceTarget) < inForceTarget);
    for (std::size_t host = 0; host < 4; ++host) {
        CHECK(layersOn(world, host) == 5);
    }
    world.run(1s);
    CHECK(world.host(0).replica.inForceOn(revision) == InForceCount{.confirmed = 4, .hosts = 4});
    CHECK(world.host(0).replica.inForceOn(revision.next())->confirmed == 0);
}

TEST_CASE("of two operators who race one wins, and the other gets the present state")
{
    CatalogueWorld world(4);
    world.run(5s);
    const Revision first = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));
    world.run(2s);
    world.ask(1, modelEdit("e2", "m", 6, first.value()));
    world.ask(2, modelEdit("e3", "m", 7, first.value()));
    world.run(1s);
    REQUIRE(world.finished().size() == 3);
    const auto &outcomes = world.finished();
    const bool e2Won = std::holds_alternative<EditAccepted>(outcomes.at(1).outcome);
    const EditFinished &loser = outcomes.at(e2Won ? 2 : 1);
    REQUIRE(std::holds_alternative<EditConflict>(loser.outcome));
    const auto &conflict = std::get<EditConflict>(loser.outcome);
    CHECK(std::get<ModelRecord>(*conflict.present).layers == layersOn(world, 0));
    CHECK(conflict.revision == world.store().record("catalogue/model/m")->revision);
}

TEST_CASE("edits of different records at the same time are all accepted")
{
    CatalogueWorld world(4);
    world.run(5s);
    for (std::size_t host = 0; host < 4; ++host) {
        world.ask(host, modelEdit("e" + std::to_string(host), "m" + std::to_string(host), 5, 0));
    }
    world.run(2s);
    REQUIRE(world.finished().size() == 4);
    for (const EditFinished &edit : world.finished()) {
        CHECK(std::holds_alternative<EditAccepted>(edit.outcome));
    }
}

TEST_CASE("an edit whose answer was lost is found, and a repeat of it is not applied again")
{
    CatalogueWorld world(4);
    world.run(5s);
    world.store().faults().nextAnswersLost = 1;
    const Revision first = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));
    CHECK(world.store().record("catalogue/model/m")->revision == first);

    // Others edit in between, as many as the record keeps.
    Revision last = first;
    for (std::size_t others = 1; others < maxKeptEdits; ++others) {
        last = acceptedAt(world.edit(2, modelEdit("other" + std::to_string(others), "m", 6, last.value())));
    }
    const EditOutcome repeat = world.edit(1, modelEdit("e1", "m", 5, 0));
    REQUIRE(std::holds_alternative<EditAlreadyApplied>(repeat));
    CHECK(std::get<EditAlreadyApplied>(repeat).revision == first);
    (void)acceptedAt(world.edit(2, modelEdit("one-more", "m", 7, last.value())));
    world.run(inForceTarget);
    CHECK(std::holds_alternative<EditConflict>(world.edit(1, modelEdit("e1", "m", 5, 0))));
    CHECK(layersOn(world, 2) == 7);
}

TEST_CASE("a lost call is made again; an edit without any answer is reported as unknown, then recognised")
{
    CatalogueWorld world(4);
    world.run(5s);
    world.store().faults().nextCallsLost = 1;
    const Revision first = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));

    world.store().faults().nextAnswersLost = 1;
    world.ask(0, modelEdit("e2", "m", 6, first.value()));
    world.store().faults().outage = true;
    world.run(8s);
    CHECK(std::holds_alternative<EditOutcomeUnknown>(world.finished().back().outcome));
    CHECK(std::holds_alternative<EditNotMade>(world.edit(1, modelEdit("e3", "m", 7, first.value()))));
    world.store().faults().outage = false;
    CHECK(std::holds_alternative<EditAlreadyApplied>(world.edit(0, modelEdit("e2", "m", 6, first.value()))));
}

TEST_CASE("a deleted record stays deleted and can be made anew")
{
    CatalogueWorld world(4);
    world.run(5s);
    const Revision first = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));
    const Revision deleted = acceptedAt(world.edit(1, modelEdit("e2", "m", 0, first.value())));
    CHECK(world.runUntilInForce(deleted, inForceTarget) < inForceTarget);
    CHECK(layersOn(world, 3) == 0);
    CHECK(std::holds_alternative<EditConflict>(world.edit(2, modelEdit("e3", "m", 0, deleted.value()))));
    CHECK(acceptedAt(world.edit(2, modelEdit("e4", "m", 6, 0))) > deleted);
}

TEST_CASE("a change is in force within the target while the watches are silent or skip")
{
    for (const WatchFault fault : {WatchFault::Silent, WatchFault::Skipping}) {
        CatalogueWorld world(4);
        world.run(5s);
        world.store().faults().watches = fault;
        for (std::size_t host = 0; host < 4; ++host) {
            // Without peers, so that only the service brings the change.
            world.host(host).reachesPeers = false;
        }
        const Revision revision = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));
        CHECK(world.runUntilInForce(revision, inForceTarget) < inForceTarget);
        CHECK(layersOn(world, 3) == 5);
    }
}

TEST_CASE("a read of an older state after an outage changes nothing")
{
    CatalogueWorld world(4);
    world.run(5s);
    const Revision first = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));
    world.store().freezeReads();
    const Revision second = acceptedAt(world.edit(0, modelEdit("e2", "m", 6, first.value())));
    world.run(1s);
    world.store().faults().outage = true;
    world.run(10s);
    world.store().faults().outage = false;
    world.run(100s);
    CHECK(layersOn(world, 3) == 6);
    // The editor, too, is shown the older state.
    world.store().faults().nextAnswersLost = 1;
    (void)acceptedAt(world.edit(1, modelEdit("e3", "m", 7, second.value())));
    CHECK(std::holds_alternative<EditConflict>(world.edit(2, modelEdit("e4", "m", 8, first.value()))));
}

TEST_CASE("a host cut off from the service learns from its peers, and says that it cannot edit")
{
    CatalogueWorld world(4);
    world.run(5s);
    world.host(3).reachesService = false;
    const Revision revision = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));
    CHECK(world.runUntilInForce(revision, inForceTarget) < inForceTarget);
    CHECK(layersOn(world, 3) == 5);
    world.run(60s);
    CHECK(world.host(3).replica.takesNewJobs(world.now()));
    CHECK(*world.host(3).replica.staleness(world.now()) < Duration(10s));
    CHECK(*world.host(3).replica.age(world.now()) > Duration(60s));
    const EditOutcome outcome = world.edit(3, modelEdit("e2", "m", 6, revision.value()));
    CHECK(!std::holds_alternative<EditAccepted>(outcome));
}

TEST_CASE("a host cut off from all is not ready, does not count as in force, and catches up when it is back")
{
    CatalogueWorld world(4);
    world.run(5s);
    world.host(3).reachesService = false;
    world.host(3).reachesPeers = false;
    world.run(35s);
    CHECK(!world.host(3).replica.takesNewJobs(world.now()));
    const Revision revision = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));
    (void)world.host(0).replica.handle(InForceAsked{.revision = revision}, world.now());
    world.run(inForceTarget);
    CHECK(world.host(0).replica.inForceOn(revision) == InForceCount{.confirmed = 3, .hosts = 4});
    world.host(3).reachesPeers = true;
    CHECK(world.runUntilInForce(revision, inForceTarget) < inForceTarget);
    world.run(inForceTarget);
    CHECK(world.host(3).replica.takesNewJobs(world.now()));
}

TEST_CASE("a host that was frozen catches up and takes nobody back")
{
    CatalogueWorld world(4);
    world.run(5s);
    Revision revision = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));
    world.run(2s);
    world.host(3).isFrozen = true;
    // More changes than the head lists.
    for (std::size_t count = 0; count < 2 * maxHeadChanges; ++count) {
        revision = acceptedAt(world.edit(0, modelEdit("f" + std::to_string(count), "m", 6, revision.value())));
    }
    revision = acceptedAt(world.edit(0, modelEdit("e3", "m", 0, revision.value())));
    world.run(120s);
    world.host(3).isFrozen = false;
    CHECK(world.runUntilInForce(revision, inForceTarget) < inForceTarget);
    CHECK(layersOn(world, 3) == 0);
    CHECK(layersOn(world, 0) == 0);
}

TEST_CASE("a host without peers that missed more than the head lists reads everything again, also without a watch")
{
    CatalogueWorld world(4);
    world.run(5s);
    world.host(3).reachesPeers = false;
    world.host(3).isFrozen = true;
    world.store().faults().watches = WatchFault::Silent;
    Revision revision = acceptedAt(world.edit(0, modelEdit("e1", "m", 5, 0)));
    for (std::size_t count = 0; count <= maxHeadChanges; ++count) {
        const std::string id = std::to_string(count);
        revision = acceptedAt(world.edit(0, modelEdit("f" + id, "other" + id, 6, 0)));
    }
    world.host(3).isFrozen = false;
    CHECK(world.runUntilInForce(revision, inForceTarget) < inForceTarget);
    CHECK(layersOn(world, 3) == 5);
}

TEST_CASE("an invalid record is refused with its field and never stored")
{
    CatalogueWorld world(4);
    world.run(5s);
    const EditAsked asked{.edit = EditId("e1"),
                          .key = "catalogue/entry/x",
                          .record =
                              EntryRecord{.id = EntryId("x"), .owner = OrganisationId("o"), .backEnd = ModelEntry{}}};
    const EditOutcome outcome = world.edit(0, asked);
    REQUIRE(std::holds_alternative<EditRefused>(outcome));
    CHECK(std::get<EditRefused>(outcome).reason
          == InvalidRecord{.field = "/owner", .fault = RecordFault::UnknownOrganisation});
    CHECK(!world.store().record(asked.key));
}

#include "CatalogueWorld.h"

#include <doctest/doctest.h>

#include <set>

using namespace Carawaymill;

static constexpr Duration inForceTarget = 4s;
static constexpr std::size_t hostCount = 5;
static constexpr std::uint64_t modelCount = 3;

/// Draws faults that leave every host connected to the service, or to host 0, which is connected to both.
static void drawFaults(CatalogueWorld &world, Random &random)
{
    KeyValueFaults faults;
    faults.outage = random.below(5) == 0;
    faults.answerLossProbability = random.below(3) == 0 ? 0.05 : 0;
    faults.callLossProbability = random.below(3) == 0 ? 0.05 : 0;
    faults.watches = static_cast<WatchFault>(random.below(3));
    world.store().faults() = faults;
    const bool readsOlderState = random.below(4) == 0;
    if (readsOlderState) {
        world.store().freezeReads();
    } else {
        world.store().thawReads();
    }
    for (std::size_t index = 0; index < world.hosts(); ++index) {
        CatalogueWorld::Host &host = world.host(index);
        host.reachesPeers = readsOlderState || faults.outage || random.below(4) != 0;
        host.reachesService = !host.reachesPeers || random.below(4) != 0;
        host.isFrozen = random.below(10) == 0;
    }
    CatalogueWorld::Host &bridge = world.host(0);
    bridge.reachesPeers = bridge.reachesService = true;
    bridge.isFrozen = false;
}

static void askRandomEdit(CatalogueWorld &world, Random &random, std::set<std::string> &edits)
{
    const std::size_t host = random.below(world.hosts());
    if (world.host(host).isFrozen) {
        return;
    }
    const std::string id = "m" + std::to_string(random.below(modelCount));
    const CatalogueTable::Item *item = world.host(host).replica.table().item("catalogue/model/" + id);
    // Often a racing or repeated edit: what this host knows may lag, and ids are drawn from few.
    const std::string edit = "e" + std::to_string(random.below(200));
    edits.insert(edit);
    world.ask(host,
              modelEdit(edit,
                        id,
                        static_cast<std::uint32_t>(random.below(5)),
                        item == nullptr || !item->record ? 0 : item->revision.value()));
}

/// The keys of the edits accepted since `from`, with their newest revision.
static std::map<std::string, Revision> acceptedSince(const CatalogueWorld &world, std::size_t from)
{
    std::map<std::string, Revision> keys;
    for (std::size_t index = from; index < world.finished().size(); ++index) {
        const EditFinished &finished = world.finished().at(index);
        if (const auto *accepted = std::get_if<EditAccepted>(&finished.outcome)) {
            keys[finished.key] = std::max(keys[finished.key], accepted->revision);
        }
    }
    return keys;
}

/// No two edits share a revision, so that none was overwritten unseen.
static void checkAcceptedEdits(const CatalogueWorld &world)
{
    std::map<Revision, EditId> byRevision;
    for (const EditFinished &finished : world.finished()) {
        if (const auto *accepted = std::get_if<EditAccepted>(&finished.outcome)) {
            const auto [position, isNew] = byRevision.emplace(accepted->revision, finished.edit);
            CHECK((isNew || position->second == finished.edit));
        }
    }
}

static void checkAllAgreeWithStore(CatalogueWorld &world)
{
    for (std::size_t index = 0; index < world.hosts(); ++index) {
        for (std::uint64_t model = 0; model < modelCount; ++model) {
            const std::string key = "catalogue/model/m" + std::to_string(model);
            const auto truth = world.store().record(key);
            const CatalogueTable::Item *item = world.host(index).replica.table().item(key);
            CHECK((item == nullptr) == !truth);
            if (item != nullptr && truth) {
                CHECK(item->revision == truth->revision);
                CHECK(item->value == truth->value);
            }
        }
    }
}

TEST_CASE(
    "under random faults nothing goes back, and what is accepted is in force on connected hosts within the target")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        CatalogueWorld world(hostCount, seed);
        world.run(5s);
        std::set<std::string> edits;
        for (int round = 0; round < 12; ++round) {
            CAPTURE(round);
            drawFaults(world, random);
            const std::size_t before = world.finished().size();
            for (int edit = 0; edit < 4; ++edit) {
                askRandomEdit(world, random, edits);
                world.run(Duration(random.below(300'000)));
            }
            CHECK(world.runUntilKnown(acceptedSince(world, before), inForceTarget) < inForceTarget);
        }
        world.store().faults() = {};
        world.store().thawReads();
        for (std::size_t index = 0; index < world.hosts(); ++index) {
            world.host(index).reachesService = true;
            world.host(index).reachesPeers = true;
            world.host(index).isFrozen = false;
        }
        world.run(12s);
        checkAllAgreeWithStore(world);
        checkAcceptedEdits(world);
    }
}

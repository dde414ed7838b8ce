#include "catalogue/Records.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static void checkRoundTrip(const CatalogueRecord &record)
{
    const auto decoded = decode<CatalogueRecord>(nlohmann::json(record));
    REQUIRE(std::holds_alternative<CatalogueRecord>(decoded));
    CHECK(std::get<CatalogueRecord>(decoded) == record);
}

TEST_CASE("every kind of record reads back as it was written")
{
    checkRoundTrip(
        OrganisationRecord{.id = OrganisationId("thermal-ridge"), .tokenHashes = {"ab"}, .limits = {1, 2, 3}});
    checkRoundTrip(EntryRecord{.id = EntryId("flight-summary"),
                               .owner = OrganisationId("thermal-ridge"),
                               .jobClass = JobClass::Critical,
                               .limits = {1, 2, 3},
                               .backEnd = ModelEntry{.model = ModelId("glider"), .version = "1", .adapter = ""}});
    checkRoundTrip(
        EntryRecord{.id = EntryId("booking"),
                    .owner = OrganisationId("hibana"),
                    .jobClass = JobClass::Standard,
                    .limits = {},
                    .backEnd = ServiceEntry{.targets = {TargetId("booking-1")}, .idempotentMethods = {"GET"}}});
    checkRoundTrip(ModelRecord{
        .id = ModelId("glider"), .layers = 12, .bytesPerLayer = ByteCount(9), .activationBytes = ByteCount(8)});
    checkRoundTrip(TargetRecord{.id = TargetId("engine-1"), .kind = TargetKind::Service, .address = "127.0.0.1:1"});
}

TEST_CASE("a key names the kind and the id")
{
    CHECK(catalogueKey(ModelRecord{.id = ModelId("glider")}) == "catalogue/model/glider");
}

TEST_CASE("a record of an unknown kind is refused")
{
    CHECK(std::holds_alternative<DecodeFailure>(decode<CatalogueRecord>(nlohmann::json{{"kind", "planet"}})));
}

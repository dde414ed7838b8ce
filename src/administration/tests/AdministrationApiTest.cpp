#include "administration/AdministrationApi.h"

#include "support/Hash.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const TimePoint start{10s};

namespace {

/// The interface over a replica that holds model `m` at revision 7.
struct Fixture
{
    CatalogueReplica catalogue = std::get<CatalogueReplica>(CatalogueReplica::create({.host = HostId("a")}));
    AdministrationApi api =
        std::get<AdministrationApi>(AdministrationApi::create({.tokenHash = sha256Hex("operators")}));

    Fixture()
    {
        const auto actions = catalogue.handle(Tick{}, start);
        const std::string value = encodeStoredRecord({.record = ModelRecord{.id = ModelId("m"), .layers = 5}});
        const RangeRead read{.records = {{.key = "catalogue/model/m", .value = value, .revision = Revision(7)}},
                             .storeRevision = Revision(8)};
        (void)catalogue.handle(KeyValueReply{.id = std::get<KeyValueCall>(actions.front()).id, .result = read}, start);
    }

    std::vector<AdministrationAction> ask(HttpRequest request, const std::string &token = "operators")
    {
        request.target = "/administration/v1/" + request.target;
        request.headers.emplace_back("Authorization", "Bearer " + token);
        return api.handle(AdministrationRequest{.id = CallId(1), .request = std::move(request)}, catalogue, start);
    }

    HttpResponse get(const std::string &path)
    {
        return std::get<AdministrationReply>(ask({.method = "GET", .target = path}).back()).response;
    }
};

HttpRequest put(const std::string &path, const nlohmann::json &body, HttpHeaders headers)
{
    return {.method = "PUT", .target = path, .headers = std::move(headers), .body = body.dump()};
}

std::string problemType(const AdministrationAction &action)
{
    const auto &response = std::get<AdministrationReply>(action).response;
    CHECK(headerValue(response.headers, "Content-Type") == "application/problem+json");
    return nlohmann::json::parse(response.body).at("type").get<std::string>();
}

} // namespace

TEST_CASE("nothing is shown without the operators' token")
{
    Fixture fixture;
    const auto actions = fixture.ask({.method = "GET", .target = "records"}, "other");
    REQUIRE(actions.size() == 1);
    CHECK(problemType(actions.front()) == "urn:carawaymill:problem:unauthorised");
    CHECK(std::get<AdministrationReply>(actions.front()).response.status == 401);
}

TEST_CASE("records are listed by kind and shown with their revision")
{
    Fixture fixture;
    CHECK(nlohmann::json::parse(fixture.get("records").body).at("records").size() == 1);
    CHECK(nlohmann::json::parse(fixture.get("records?kind=target").body).at("records").empty());
    const HttpResponse one = fixture.get("records/model/m");
    CHECK(headerValue(one.headers, "ETag") == "7");
    CHECK(nlohmann::json::parse(one.body).at("record").at("layers") == 5);
    CHECK(fixture.get("records/model/other").status == 404);
    CHECK(fixture.get("records/thing/m").status == 404);
}

TEST_CASE("an edit needs its id and the revision, and is answered when its outcome is known")
{
    Fixture fixture;
    const nlohmann::json body = CatalogueRecord(ModelRecord{.id = ModelId("m"), .layers = 6});
    const HttpHeaders headers{{"Edit-Id", "e1"}, {"If-Match", "7"}};
    CHECK(problemType(fixture.ask(put("records/model/m", body, {{"If-Match", "7"}})).front())
          == "urn:carawaymill:problem:bad-request");
    CHECK(problemType(fixture.ask(put("records/model/m", body, {{"Edit-Id", "e1"}})).front())
          == "urn:carawaymill:problem:precondition-required");

    const auto actions = fixture.ask(put("records/model/m", body, headers));
    REQUIRE(actions.size() == 1);
    const auto &asked = std::get<EditAsked>(actions.front());
    CHECK(asked.key == "catalogue/model/m");
    CHECK(asked.expected == Revision(7));
    const EditConflict conflict{.present = ModelRecord{.id = ModelId("m"), .layers = 9}, .revision = Revision(8)};
    const auto replies = fixture.api.handle(
        EditFinished{.edit = asked.edit, .key = asked.key, .outcome = conflict}, fixture.catalogue, start);
    REQUIRE(replies.size() == 1);
    CHECK(problemType(replies.front()) == "urn:carawaymill:problem:edit-conflict");
    const auto &response = std::get<AdministrationReply>(replies.front()).response;
    CHECK(response.status == 412);
    CHECK(nlohmann::json::parse(response.body).at("present").at("layers") == 9);
}

TEST_CASE("a record with an unknown field, an unknown name or a number that does not fit is refused")
{
    Fixture fixture;
    const HttpHeaders headers{{"Edit-Id", "e1"}, {"If-Match", "0"}};
    nlohmann::json unknown = CatalogueRecord(ModelRecord{.id = ModelId("m"), .layers = 6});
    unknown["layerz"] = 5;
    nlohmann::json negative = CatalogueRecord(ModelRecord{.id = ModelId("m"), .layers = 6});
    negative["layers"] = -1;
    nlohmann::json name = CatalogueRecord(EntryRecord{.id = EntryId("x"), .owner = OrganisationId("o")});
    name["jobClass"] = "urgent";
    const std::vector<std::pair<nlohmann::json, std::string>> records{
        {unknown, "/layerz"}, {negative, "/layers"}, {name, "/jobClass"}};
    for (const auto &[record, field] : records) {
        const auto actions = fixture.ask(put("records/model/m", record, headers));
        CHECK(problemType(actions.front()) == "urn:carawaymill:problem:invalid-record");
        const auto &response = std::get<AdministrationReply>(actions.front()).response;
        CHECK(nlohmann::json::parse(response.body).at("field") == field);
    }
}

TEST_CASE("a watch is answered by a change or after its time, a query by its answer or after its time")
{
    Fixture fixture;
    CHECK(fixture.ask({.method = "GET", .target = "watch?after=8"}).empty());
    CHECK(fixture.api.handle(Tick{}, fixture.catalogue, start + 24s).empty());
    CHECK(fixture.api.handle(Tick{}, fixture.catalogue, start + 25s).size() == 1);
    CHECK(nlohmann::json::parse(fixture.get("watch?after=6").body).at("changes").size() == 1);

    const auto queries = fixture.ask({.method = "GET", .target = "decisions/job-1"});
    CHECK(std::get<AdministrationQuery>(queries.front()).argument == "job-1");
    const AdministrationAnswer answer{.id = CallId(1), .result = nlohmann::json{{"decisions", 3}}};
    CHECK(fixture.api.handle(answer, fixture.catalogue, start).size() == 1);
    CHECK(fixture.api.handle(answer, fixture.catalogue, start).empty());
    CHECK(std::holds_alternative<AdministrationQuery>(fixture.ask({.method = "GET", .target = "status"}).front()));
    CHECK(problemType(fixture.api.handle(Tick{}, fixture.catalogue, start + 5s).front())
          == "urn:carawaymill:problem:outcome-unknown");
}

TEST_CASE("asking where a revision is in force has the hosts asked")
{
    Fixture fixture;
    const auto actions = fixture.ask({.method = "GET", .target = "in-force/8"});
    REQUIRE(actions.size() == 2);
    CHECK(std::get<InForceAsked>(actions.front()).revision == Revision(8));
    CHECK(nlohmann::json::parse(std::get<AdministrationReply>(actions.back()).response.body).at("hosts").is_null());
    (void)fixture.catalogue.handle(CataloguePeersChanged{.peers = {{.host = HostId("b")}}}, start);
    const auto body = nlohmann::json::parse(fixture.get("in-force/8").body);
    CHECK(body.at("confirmed") == 1);
    CHECK(body.at("hosts") == 2);
}

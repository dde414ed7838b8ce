#include "node/RouteQuestions.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Carawaymill;

static constexpr const char *path = "/administration/v1/explain-route";

/// The response to the query; `asked` gets the question if it could be read.
static HttpResponse ask(const std::string &query, const RouteExplanationResult &result, RouteQuestion *asked = nullptr)
{
    return respondToRouteQuestion(path + query, HostId("host-1"), [&](const RouteQuestion &question) {
        if (asked != nullptr) {
            *asked = question;
        }
        return result;
    });
}

TEST_CASE("queries that cannot be read are refused without an exception")
{
    // Guards against bytes in a query that end the daemon when they are repeated in a response.
    for (const std::string query : {"",
                                    "?",
                                    "?hostName=h",
                                    "?hostName=&path=/a/",
                                    "?hostName=%ff%fe&path=/a/",
                                    "?hostName=h&path=%4",
                                    "?hostName=h&path=%zz",
                                    "?hostName=h&path=/a/&keyHolder=\xff",
                                    "?hostName=h&path=/a/&\xff=%",
                                    "?hostName=h&path=/a/&promptTokens=-1",
                                    "?hostName=h&path=/a/&promptTokens=",
                                    "?hostName=h&path=/a/&expectedTokens=99999999999999999999"}) {
        CAPTURE(query);
        CHECK(ask(query, RouteTableMissing{}).status == 400);
    }
}

TEST_CASE("a query is decoded, and each failure has a type of its own")
{
    RouteQuestion asked;
    const std::string query = "?hostName=h&path=/a%20b&keyHolder=caf%C3%A9&promptTokens=7&expectedTokens=0";
    const HttpResponse unknown = ask(query, OrganisationMissing{.organisation = OrganisationId("caf\xc3\xa9")}, &asked);
    CHECK(asked.path == "/a b");
    CHECK(asked.organisation == OrganisationId("caf\xc3\xa9"));
    CHECK(asked.promptTokens == TokenCount(7));
    CHECK(asked.expectedTokens == TokenCount(0));
    CHECK(unknown.status == 404);
    CHECK(nlohmann::json::parse(unknown.body).at("type") == "urn:carawaymill:problem:organisation-unknown");
    CHECK(ask(query, RouteMissing{}).status == 404);
    CHECK(ask(query, RouteTableMissing{}).status == 503);
    const HttpResponse missing =
        ask(query, PathMissing{.service = ServiceId("s"), .layer = LayerIndex(3), .excluded = {}});
    CHECK(missing.status == 503);
    CHECK(nlohmann::json::parse(missing.body).at("layer") == 3);
    CHECK(!isRouteQuestion({.method = "GET", .target = "/metrics"}));
    CHECK(!isRouteQuestion({.method = "POST", .target = path}));
}

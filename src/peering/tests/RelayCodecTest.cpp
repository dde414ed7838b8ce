#include "peering/RelayCodec.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Carawaymill;

static RelayedRequest relayed()
{
    return {.target = TargetId("i-1"),
            .freshConnection = true,
            .request = {.method = "POST",
                        .target = "/a/b?c",
                        .headers = {{"Host", "callers.example"}, {"X-Attempt-Id", "7"}},
                        .body = "body"}};
}

TEST_CASE("a relayed request is decoded as it was, also with its headers in another order")
{
    HttpRequest encoded = encodeRelayedRequest(relayed(), "key");
    // The HTTP client adds the length of the body.
    encoded.headers.emplace_back("Content-Length", "4");
    std::ranges::reverse(encoded.headers);
    const auto decoded = decodeRelayedRequest(encoded, "key");
    REQUIRE(std::holds_alternative<RelayedRequest>(decoded));
    const auto &read = std::get<RelayedRequest>(decoded);
    CHECK(read.target == TargetId("i-1"));
    CHECK(read.freshConnection);
    CHECK(read.request.method == "POST");
    CHECK(read.request.target == "/a/b?c");
    CHECK(read.request.body == "body");
    CHECK(read.request.headers.size() == 2);
    CHECK(headerValue(read.request.headers, "X-Attempt-Id") == "7");
}

TEST_CASE("a relayed request that was changed or made with another key is rejected")
{
    const HttpRequest encoded = encodeRelayedRequest(relayed(), "key");
    const auto isRejected = [](const HttpRequest &request) {
        return std::holds_alternative<RelayAuthenticationFailure>(decodeRelayedRequest(request, "key"));
    };
    CHECK(isRejected(encodeRelayedRequest(relayed(), "other key")));
    CHECK(isRejected(relayed().request));
    HttpRequest changed = encoded;
    changed.body = "ydob";
    CHECK(isRejected(changed));
    changed = encoded;
    changed.target = "/a/b?d";
    CHECK(isRejected(changed));
    changed = encoded;
    changed.headers.emplace_back("X-Tenant", "other");
    CHECK(isRejected(changed));
    for (auto &[name, value] : changed.headers) {
        value = value == "i-1" ? "i-2" : value;
    }
    CHECK(isRejected(changed));
}

/// Guards against callers whose own headers lead their requests to another target or make them fail.
TEST_CASE("headers of a caller that are named like those of a relayed request are not passed on")
{
    RelayedRequest request = relayed();
    request.request.headers.emplace_back("Carawaymill-Relay-Target", "i-2");
    request.request.headers.emplace_back("carawaymill-relay-authentication", "00");
    const auto decoded = decodeRelayedRequest(encodeRelayedRequest(request, "key"), "key");
    REQUIRE(std::holds_alternative<RelayedRequest>(decoded));
    CHECK(std::get<RelayedRequest>(decoded).target == TargetId("i-1"));
    CHECK(std::get<RelayedRequest>(decoded).request.headers.size() == 2);
}

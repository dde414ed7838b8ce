#include "support/Codec.h"
#include "support/Hash.h"
#include "support/Identifiers.h"
#include "support/Units.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

TEST_CASE("a strong type travels through CBOR as its bare value")
{
    const nlohmann::json json = Revision(7);
    const auto unpacked = unpackCbor(packCbor(json));
    REQUIRE(std::holds_alternative<nlohmann::json>(unpacked));
    const auto decoded = decode<Revision>(std::get<nlohmann::json>(unpacked));
    REQUIRE(std::holds_alternative<Revision>(decoded));
    CHECK(std::get<Revision>(decoded) == Revision(7));
}

TEST_CASE("a document of the wrong kind is a typed failure")
{
    CHECK(std::holds_alternative<DecodeFailure>(decode<Revision>(nlohmann::json("seven"))));
    CHECK(std::holds_alternative<DecodeFailure>(parseJson("{")));
    CHECK(std::holds_alternative<DecodeFailure>(unpackCbor("\xff\xff")));
}

TEST_CASE("text that is nested too deep is not parsed, and brackets in strings do not count")
{
    const auto isRead = [](const std::string &text) { return std::holds_alternative<nlohmann::json>(parseJson(text)); };
    CHECK(isRead(std::string(100, '[') + std::string(100, ']')));
    CHECK(!isRead(std::string(101, '[') + std::string(101, ']')));
    CHECK(isRead("[\"" + std::string(200, '[') + "\\\"" + std::string(200, '{') + "\"]"));
    std::string flat = "[0";
    for (int element = 0; element < 200; ++element) {
        flat += ",[]";
    }
    CHECK(isRead(flat + "]"));
}

TEST_CASE("SHA-256 matches the published vector for the empty string")
{
    CHECK(sha256Hex("") == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

TEST_CASE("a layer range is half open")
{
    const LayerRange range{LayerIndex(2), LayerIndex(4)};
    CHECK(range.size() == 2);
    CHECK(range.contains(LayerIndex(3)));
    CHECK_FALSE(range.contains(LayerIndex(4)));
}

#include "daemon/DaemonSettings.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static nlohmann::json goodSettings()
{
    return {{"host", "entry-1"},
            {"failureDomain", "fukuoka"},
            {"region", "kyushu"},
            {"callers", {{"address", "127.0.0.1"}, {"port", 8080}}},
            {"operators", {{"address", "127.0.0.1"}, {"port", 8081}}},
            {"peerAddress", "tcp://127.0.0.1:7400"},
            {"peerKey", "0123456789abcdef"},
            {"operatorTokenHash", "ab"},
            {"keyValueService", "127.0.0.1:2379"},
            {"hostListService", "127.0.0.1:2379"}};
}

static std::string wrongField(const nlohmann::json &settings)
{
    const auto read = readDaemonSettings(settings.dump());
    const auto *invalid = std::get_if<InvalidSettings>(&read);
    return invalid == nullptr || invalid->faults.empty() ? "none" : invalid->faults.front().field;
}

TEST_CASE("good settings are read")
{
    const auto read = readDaemonSettings(goodSettings().dump());
    REQUIRE(std::holds_alternative<DaemonSettings>(read));
    CHECK(std::get<DaemonSettings>(read).callers.port == 8080);
}

TEST_CASE("wrong settings are refused with the field's name")
{
    nlohmann::json settings = goodSettings();
    settings.erase("host");
    CHECK(wrongField(settings) == "/host");

    settings = goodSettings();
    settings["callers"]["port"] = 65536;
    CHECK(wrongField(settings) == "/callers/port");

    settings = goodSettings();
    settings["peerKey"] = "short";
    CHECK(wrongField(settings) == "/peerKey");

    settings = goodSettings();
    settings["drainTimeout"] = 5;
    CHECK(wrongField(settings) == "/drainTimeout");

    settings = goodSettings();
    settings["peers"] = "entry-2";
    CHECK(wrongField(settings) == "/peers");

    settings = goodSettings();
    settings["peers"] = {{{"host", "entry-2"}}};
    CHECK(wrongField(settings) == "/peers/0/peerAddress");
}

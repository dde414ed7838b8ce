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

static nlohmann::json platformSettings()
{
    return {{"host", "10.1.0.40"},
            {"failureDomain", "seq-a"},
            {"region", "seq"},
            {"callers", "10.1.0.40:8227"},
            {"peerKey", "0123456789abcdef"},
            {"keyValueService", "10.200.1.7:8223"},
            {"forwarding",
             {{"readiness", "10.1.0.40:8220"},
              {"metricsPort", 9464},
              {"peerPort", 7340},
              {"relayPort", 7355},
              {"seedHosts", {"10.1.0.40:8229", "10.2.0.29:8229"}},
              {"retryRatio", 0.2},
              {"retryBurst", 196},
              {"retryWindowSeconds", 10},
              {"revocationMilliseconds", 5000},
              {"drainMilliseconds", 3000},
              {"configurationApplyMilliseconds", 2500},
              {"graceSeconds", 8}}}};
}

TEST_CASE("settings of a host on a platform are read")
{
    const auto read = readDaemonSettings(platformSettings().dump());
    REQUIRE(std::holds_alternative<DaemonSettings>(read));
    const auto &settings = std::get<DaemonSettings>(read);
    CHECK(settings.callers.port == 8227);
    CHECK(settings.forwarding->readiness.port == 8220);
    CHECK(settings.forwarding->configurationMaximumAge == 3500ms);
    CHECK(settings.forwarding->propagation.drainPeriod == 3s);
    CHECK(settings.forwarding->propagation.configurationApplyPeriod == 2500ms);
    CHECK(settings.forwarding->relay.port == 7355);
    CHECK(settings.peerAddress == "tcp://10.1.0.40:7340");
    REQUIRE(settings.peers.size() == 1);
    CHECK(settings.peers.front().peerAddress == "tcp://10.2.0.29:7340");
    CHECK(settings.drainTimeout == 7500ms);
}

/// Guards against requests that are taken so late in a drain that the stop of the process cuts them.
TEST_CASE("a host with a short grace time stops accepting requests early enough to complete them")
{
    for (const double grace : {1.5, 3.0, 5.0, 8.0, 30.0}) {
        CAPTURE(grace);
        nlohmann::json json = platformSettings();
        json["forwarding"]["graceSeconds"] = grace;
        const auto read = readDaemonSettings(json.dump());
        REQUIRE(std::holds_alternative<DaemonSettings>(read));
        const auto &settings = std::get<DaemonSettings>(read);
        CHECK(settings.forwarding->drainAcceptPeriod * 5 <= settings.drainTimeout * 2);
        CHECK(settings.forwarding->drainAcceptPeriod <= 2800ms);
    }
}

TEST_CASE("every fault of the settings is told at once")
{
    nlohmann::json settings = platformSettings();
    settings.erase("host");
    settings["callers"] = "nowhere";
    settings["forwarding"]["retryRatio"] = -1;
    settings["forwarding"]["seedHosts"] = {"x"};
    settings["forwarding"]["typo"] = 1;
    const auto read = readDaemonSettings(settings.dump());
    REQUIRE(std::holds_alternative<InvalidSettings>(read));
    std::vector<std::string> fields;
    for (const SettingFault &fault : std::get<InvalidSettings>(read).faults) {
        fields.push_back(fault.field);
    }
    CHECK(fields
          == std::vector<std::string>{
              "/host", "/callers", "/forwarding/seedHosts", "/forwarding/retryRatio", "/forwarding/typo"});
}

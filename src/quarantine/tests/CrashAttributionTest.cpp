#include "quarantine/CrashAttribution.h"
#include "support/Random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <set>

using namespace Carawaymill;

/// Hosts that exchange attribution messages over links that lose some of them.
class AttributionFleet
{
public:
    explicit AttributionFleet(std::size_t hosts, double lossShare = 0)
        : m_lossShare(lossShare)
    {
        for (std::size_t host = 0; host < hosts; ++host) {
            addHost();
        }
    }

    void addHost()
    {
        CrashAttributionOptions options;
        options.self = HostId("host" + std::to_string(m_hosts.size()));
        options.incarnation = IncarnationNumber(1);
        m_hosts.emplace_back(std::move(options));
    }

    void handle(std::size_t host, const CrashAttributionEvent &event)
    {
        for (const CrashAttributionAction &action : m_hosts.at(host).handle(event, now)) {
            if (const auto *broadcast = std::get_if<BroadcastAttributionMessage>(&action)) {
                // The messages pass the codec, as they do between processes.
                nlohmann::json json = broadcast->message;
                for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                    const bool connected = !isolated.contains(host) && !isolated.contains(to);
                    if (to != host && connected && random.fraction() >= m_lossShare) {
                        m_pending.emplace_back(to, json.get<AttributionMessage>());
                    }
                }
            }
        }
    }

    void advance(Duration time)
    {
        for (const TimePoint end = now + time; now < end;) {
            now += 20ms;
            for (const auto &[to, message] : std::exchange(m_pending, {})) {
                handle(to, AttributionMessageReceived{message});
            }
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                handle(host, Tick{});
            }
        }
    }

    [[nodiscard]] const CrashAttribution &host(std::size_t index) const { return m_hosts.at(index); }

    /// Number of hosts that refuse requests with these traits.
    [[nodiscard]] std::size_t refusing(const std::vector<RequestTrait> &traits) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            m_hosts, [&](const CrashAttribution &host) { return host.refusalTime(traits, now).has_value(); }));
    }

    [[nodiscard]] std::size_t condemned() const
    {
        std::size_t most = 0;
        for (const CrashAttribution &host : m_hosts) {
            most = std::max(most, host.condemnedTraits());
        }
        return most;
    }

    TimePoint now{1h};
    Random random{7};
    /// Hosts without a connection to the others.
    std::set<std::size_t> isolated;

private:
    double m_lossShare = 0;
    std::vector<CrashAttribution> m_hosts;
    std::vector<std::pair<std::size_t, AttributionMessage>> m_pending;
};

static std::vector<RequestTrait> traits(const std::string &body, const std::vector<std::string> &parts)
{
    return traitsOf(OrganisationId("club"), "/stream/x", body, parts);
}

static TargetId target(std::size_t number)
{
    return TargetId("target" + std::to_string(number));
}

static std::vector<RequestTrait> together(const std::vector<std::vector<RequestTrait>> &requests)
{
    std::vector<RequestTrait> all;
    for (const auto &request : requests) {
        all.insert(all.end(), request.begin(), request.end());
    }
    return all;
}

TEST_CASE("a part of a prompt that each of four crashes shares is refused by all hosts and its companions are not")
{
    AttributionFleet fleet(4, 0.2);
    const auto poison = [](int number) {
        return traits("poison" + std::to_string(number), {"first" + std::to_string(number % 3), "bad"});
    };
    for (int crash = 0; crash < 4; ++crash) {
        // The crash of one target breaks requests of two hosts. No sound request has run long enough to be proven.
        fleet.handle(crash % 4,
                     TargetCrashObserved{
                         .target = target(crash),
                         .traits = together({poison(crash), traits("a" + std::to_string(crash), {"first0", "x"})})});
        fleet.handle((crash + 1) % 4,
                     TargetCrashObserved{.target = target(crash),
                                         .traits = traits("b" + std::to_string(crash), {"first1", "y"})});
        for (int sound = 0; sound < 3; ++sound) {
            fleet.handle(sound, TraitsProvenSound{traits("c", {"first" + std::to_string(sound), "x", "y"})});
        }
        fleet.advance(1s);
    }
    CHECK(fleet.refusing(poison(100)) == 4);
    CHECK(fleet.condemned() == 1);
    CHECK(fleet.refusing(traits("d", {"first0", "x"})) == 0);
}

TEST_CASE("frequent crashes of targets for other reasons condemn no shared part")
{
    AttributionFleet fleet(4, 0.1);
    // In each second a twentieth of 40 targets crashes while 8 requests with one of 60 first parts are young on it.
    std::size_t request = 0;
    const auto sound = [&] {
        request += 1;
        return traits(
            "r" + std::to_string(request),
            {"first" + std::to_string(fleet.random.below(60)), "part" + std::to_string(fleet.random.below(200))});
    };
    for (std::size_t step = 0; step < 1200; ++step) {
        if (step % 5 == 0) {
            for (std::size_t host = 0; host < 4; ++host) {
                fleet.handle(host, TargetCrashObserved{.target = target(step), .traits = together({sound(), sound()})});
            }
        }
        for (std::size_t survivor = 0; survivor < 4; ++survivor) {
            fleet.handle(survivor, TraitsProvenSound{sound()});
        }
        fleet.advance(100ms);
    }
    CHECK(fleet.condemned() == 0);
}

TEST_CASE("with the same evidence the later part is refused and not the first part that came with it")
{
    AttributionFleet fleet(2);
    for (int crash = 0; crash < 3; ++crash) {
        fleet.handle(0,
                     TargetCrashObserved{.target = target(crash),
                                         .traits = traits("p" + std::to_string(crash), {"rare", "bad"})});
        fleet.advance(1s);
    }
    CHECK(fleet.refusing(traits("q", {"rare", "other"})) == 0);
    CHECK(fleet.refusing(traits("q", {"other", "bad"})) == 2);
}

TEST_CASE("a request that crashes each target is refused by itself and its parts are not")
{
    AttributionFleet fleet(4);
    for (int crash = 0; crash < 3; ++crash) {
        fleet.handle(crash,
                     TargetCrashObserved{.target = target(crash), .traits = traits("same", {"first", "second"})});
        fleet.advance(1s);
    }
    CHECK(fleet.refusing(traits("same", {"first", "second"})) == 4);
    CHECK(fleet.refusing(traits("another", {"first", "second"})) == 0);
}

TEST_CASE("requests that were at all crashes of another one are refused with it")
{
    AttributionFleet fleet(4);
    const auto poison = traits("poison", {"first"});
    const auto companion = traits("companion", {"first"});
    for (int crash = 0; crash < 3; ++crash) {
        fleet.handle(crash,
                     TargetCrashObserved{.target = target(crash),
                                         .traits = together({companion, traits(std::to_string(crash), {"first"})})});
        fleet.handle(3, TargetCrashObserved{.target = target(crash), .traits = poison});
        fleet.advance(1s);
    }
    CHECK(fleet.refusing(poison) == 4);
    CHECK(fleet.refusing(companion) == 4);
    CHECK(fleet.refusing(traits("sound", {"first"})) == 0);
}

TEST_CASE("a request that crashes a fourth target after another one was condemned in its place is refused")
{
    AttributionFleet fleet(4);
    const auto poison = traits("poison", {"first"});
    const auto companion = traits("companion", {"first"});
    // A host of an earlier release condemns one of two traits that have the same evidence.
    fleet.handle(0,
                 AttributionMessageReceived{TraitsCondemned{
                     {{.fingerprint = companion.front().fingerprint, .remainingMilliseconds = 600'000}}}});
    for (int crash = 0; crash < 3; ++crash) {
        fleet.handle(0, TargetCrashObserved{.target = target(crash), .traits = together({poison, companion})});
        fleet.advance(1s);
    }
    fleet.handle(1, TargetCrashObserved{.target = target(3), .traits = poison});
    fleet.advance(1s);
    CHECK(fleet.refusing(poison) == 4);
    CHECK(fleet.refusing(traits("sound", {"first"})) == 0);
}

TEST_CASE("more suspects with the same evidence than can be condemned are decided in bounded time")
{
    AttributionFleet fleet(1);
    std::size_t crash = 0;
    for (int group = 0; group < 3; ++group) {
        std::vector<std::vector<RequestTrait>> requests(200);
        for (std::size_t request = 0; request < requests.size(); ++request) {
            requests[request] = traits(std::to_string(group) + "-" + std::to_string(request), {});
        }
        for (int repeat = 0; repeat < 3; ++repeat) {
            fleet.handle(0, TargetCrashObserved{.target = target(crash++), .traits = together(requests)});
        }
    }
    fleet.advance(1s);
    CHECK(fleet.condemned() == CrashAttributionOptions().maximumCondemned);
}

TEST_CASE("a part that another host has proven sound is not condemned")
{
    AttributionFleet fleet(3, 0.3);
    fleet.handle(2, TraitsProvenSound{traits("sound", {"first"})});
    fleet.advance(5s);
    for (int crash = 0; crash < 5; ++crash) {
        fleet.handle(
            0, TargetCrashObserved{.target = target(crash), .traits = traits("p" + std::to_string(crash), {"first"})});
        fleet.advance(1s);
    }
    CHECK(fleet.condemned() == 0);
}

TEST_CASE("a condemned part that proves sound on one host is refused nowhere any more")
{
    AttributionFleet fleet(3, 0.3);
    for (int crash = 0; crash < 3; ++crash) {
        fleet.handle(
            0, TargetCrashObserved{.target = target(crash), .traits = traits("p" + std::to_string(crash), {"first"})});
        fleet.advance(1s);
    }
    REQUIRE(fleet.refusing(traits("q", {"first"})) == 3);
    fleet.handle(2, TraitsProvenSound{traits("running", {"first"})});
    fleet.advance(12s);
    CHECK(fleet.refusing(traits("q", {"first"})) == 0);
}

TEST_CASE("a host that starts later learns which parts are condemned within a second")
{
    AttributionFleet fleet(3, 0.3);
    for (int crash = 0; crash < 3; ++crash) {
        fleet.handle(
            0, TargetCrashObserved{.target = target(crash), .traits = traits("p" + std::to_string(crash), {"bad"})});
        fleet.advance(1s);
    }
    fleet.advance(30s);
    fleet.addHost();
    fleet.advance(1s);
    CHECK(fleet.refusing(traits("q", {"bad"})) == 4);
}

TEST_CASE("a host that is connected a second after its start learns soon which parts are condemned")
{
    AttributionFleet fleet(3, 0.3);
    for (int crash = 0; crash < 3; ++crash) {
        fleet.handle(
            0, TargetCrashObserved{.target = target(crash), .traits = traits("p" + std::to_string(crash), {"bad"})});
        fleet.advance(1s);
    }
    // Ends with a fresh announcement, so that the next one is far.
    fleet.advance(11s);
    fleet.addHost();
    fleet.isolated = {3};
    fleet.advance(1s);
    REQUIRE(fleet.refusing(traits("q", {"bad"})) == 3);
    fleet.isolated.clear();
    fleet.advance(1s);
    CHECK(fleet.refusing(traits("q", {"bad"})) == 4);
}

TEST_CASE("a condemnation lasts while its requests still come and ends when they stay away")
{
    AttributionFleet fleet(2);
    const auto poison = traits("q", {"bad"});
    for (int crash = 0; crash < 3; ++crash) {
        fleet.handle(0, TargetCrashObserved{.target = target(crash), .traits = traits(std::to_string(crash), {"bad"})});
        fleet.advance(1s);
    }
    for (int minute = 0; minute < 15; ++minute) {
        fleet.handle(0, CondemnedRequestRefused{poison});
        fleet.advance(1min);
    }
    CHECK(fleet.refusing(poison) == 2);
    fleet.advance(11min);
    CHECK(fleet.refusing(poison) == 0);
}

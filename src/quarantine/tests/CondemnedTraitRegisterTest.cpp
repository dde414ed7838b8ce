#include "quarantine/CondemnedTraitRegister.h"
#include "standins/KeyValueStore.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace Carawaymill;

/// Hosts that share a key-value service and tell each other nothing.
class RegisterFleet
{
public:
    explicit RegisterFleet(std::size_t hosts)
    {
        for (std::size_t host = 0; host < hosts; ++host) {
            m_hosts.push_back(newHost(host));
        }
    }

    void handle(std::size_t host, const CondemnedTraitRegisterEvent &event)
    {
        Host &handled = m_hosts.at(host);
        for (const CondemnedTraitRegisterAction &action : handled.traits.handle(event, now)) {
            if (const auto *call = std::get_if<KeyValueCall>(&action)) {
                ++calls;
                const KeyValueResult result = isDown ? ServiceUnavailable{} : store.apply(call->request, now);
                handle(host, KeyValueReply{.id = call->id, .result = result});
            } else {
                (void)handled.attribution.handle(std::get<CondemnedTraitsRestored>(action), now);
            }
        }
    }

    /// Lets all hosts condemn or lift traits on their own, at the same time.
    void handleOnAll(const CondemnedTraitRegisterEvent &event)
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            handle(host, event);
        }
    }

    void advance(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 20ms) {
            handleOnAll(Tick{});
        }
    }

    void restart(std::size_t host) { m_hosts.at(host) = newHost(host); }

    void restartAll()
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            restart(host);
        }
    }

    /// Number of hosts that refuse requests with the trait.
    [[nodiscard]] std::size_t refusing(const std::string &trait) const
    {
        std::size_t count = 0;
        for (const Host &host : m_hosts) {
            count += host.attribution.refusalTime({{.fingerprint = Fingerprint(trait)}}, now) ? 1 : 0;
        }
        return count;
    }

    TimePoint now{1h};
    KeyValueStore store{KeyValueStoreOptions{}};
    bool isDown = false;
    std::size_t calls = 0;

private:
    struct Host
    {
        CondemnedTraitRegister traits;
        CrashAttribution attribution;
    };

    static Host newHost(std::size_t number)
    {
        return {.traits = CondemnedTraitRegister({.seed = number}),
                .attribution = CrashAttribution({.self = HostId("host" + std::to_string(number))})};
    }

    std::vector<Host> m_hosts;
};

static TraitCondemned condemned(const std::string &trait)
{
    return {.trait = Fingerprint(trait), .evidence = CondemnationEvidence{.crashes = 3}};
}

TEST_CASE("a request that crashes targets stays refused after all hosts were killed at once")
{
    for (const std::size_t hosts : {4U, 24U, 118U, 369U}) {
        CAPTURE(hosts);
        RegisterFleet fleet(hosts);
        fleet.advance(1s);
        // Two hosts decide at the same time.
        for (const std::size_t host : {1U, 2U}) {
            fleet.handle(host, condemned("a"));
            fleet.handle(host, condemned("b"));
        }
        fleet.advance(200ms);
        fleet.restartAll();
        CHECK(fleet.refusing("a") == 0);
        fleet.advance(200ms);
        CHECK(fleet.refusing("a") == hosts);
        CHECK(fleet.refusing("b") == hosts);
        CHECK(fleet.refusing("c") == 0);
        // At most one read at each start, and a lease and a record for each decision.
        CHECK(fleet.calls <= 2 * hosts + 8);
    }
}

TEST_CASE("a condemned request is recorded and restored when the key-value service is back")
{
    RegisterFleet fleet(4);
    fleet.advance(1s);
    fleet.isDown = true;
    fleet.handle(1, condemned("a"));
    fleet.advance(8s);
    fleet.isDown = false;
    fleet.advance(6s);
    fleet.isDown = true;
    fleet.restartAll();
    fleet.advance(8s);
    CHECK(fleet.refusing("a") == 0);
    fleet.isDown = false;
    fleet.advance(6s);
    CHECK(fleet.refusing("a") == 4);
}

TEST_CASE("a condemned request that proved sound is not refused by hosts that start later")
{
    RegisterFleet fleet(4);
    fleet.advance(1s);
    fleet.handle(1, condemned("a"));
    fleet.advance(200ms);
    fleet.handle(1, TraitLifted{.trait = Fingerprint("a")});
    fleet.advance(200ms);
    fleet.restartAll();
    fleet.advance(1s);
    CHECK(fleet.refusing("a") == 0);
}

TEST_CASE("records of condemned requests expire")
{
    RegisterFleet fleet(4);
    fleet.advance(1s);
    fleet.handle(1, condemned("a"));
    fleet.advance(200ms);
    fleet.now += 11min;
    fleet.restartAll();
    fleet.advance(1s);
    CHECK(fleet.refusing("a") == 0);
}

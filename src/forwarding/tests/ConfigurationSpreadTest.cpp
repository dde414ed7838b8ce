#include "forwarding/ConfigurationReplica.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace Carawaymill;

static constexpr TimePoint start{1h};
/// Of a configuration with about 2,000 routes.
static constexpr double configurationBytes = 500'000;
static constexpr double otherMessageBytes = 200;
/// The slowest link of a host: 48 Mbit/s.
static constexpr double linkBytesPerSecond = 6'000'000;
static constexpr Duration hostDelay = 1ms;
static constexpr Duration serviceResponseTime = 4ms;
static constexpr Duration tickInterval = 20ms;

static PublicationFormat versionFormat()
{
    PublicationFormat format;
    format.configurationKey = "configuration";
    format.readConfiguration = [](const std::string &value) -> Result<RoutingConfiguration, DecodeFailure> {
        RoutingConfiguration configuration;
        configuration.version = ConfigurationVersion(std::stoull(value));
        return configuration;
    };
    return format;
}

/// One direction of a host's link, which carries one message after the other.
class Link
{
public:
    /// Returns when a message that was sent at `at` has passed.
    TimePoint carry(TimePoint at, double bytes)
    {
        m_freeAt = std::max(m_freeAt, at) + std::chrono::round<Duration>(Seconds(bytes / linkBytesPerSecond));
        m_bytes += bytes;
        return m_freeAt;
    }

    [[nodiscard]] double bytes() const { return m_bytes; }

private:
    using Seconds = std::chrono::duration<double>;

    TimePoint m_freeAt{};
    double m_bytes = 0;
};

/// Hosts with a large configuration, their links, and a service that turns some of them away.
class ConfiguredFleet
{
public:
    explicit ConfiguredFleet(std::size_t size)
    {
        std::vector<HostId> all;
        for (std::size_t number = 0; number < size; ++number) {
            all.emplace_back("host-" + std::to_string(number));
        }
        for (std::size_t number = 0; number < size; ++number) {
            Host &host = m_hosts.emplace_back(ConfigurationReplica({.format = versionFormat(), .seed = number + 1}));
            std::vector<HostId> others = all;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(number));
            handle(host, OtherHostsChanged{others});
            m_numbers.emplace(all[number], number);
        }
    }

    /// The operators write the configuration; hosts that wait for it receive it.
    void publish(std::uint64_t version)
    {
        m_version = version;
        for (std::size_t number = 0; number < m_hosts.size(); ++number) {
            if (Host &host = m_hosts[number]; host.watch) {
                respond(number, *std::exchange(host.watch, std::nullopt));
            }
        }
    }

    /// The service returns from an older copy.
    void restore(std::uint64_t version)
    {
        m_version = version;
        for (Host &host : m_hosts) {
            host.watch.reset();
            handle(host, StoreEraChanged{.era = StoreEra(2), .restored = true});
        }
    }

    /// The service turns away the first hosts.
    void turnAway(std::size_t hosts) { m_turnedAway = hosts; }

    void runUntil(TimePoint end)
    {
        while (m_now < end) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto event = m_events.extract(m_events.begin());
                event.mapped()();
            }
            for (std::size_t number = 0; number < m_hosts.size(); ++number) {
                tick(number);
            }
            m_now += tickInterval;
        }
    }

    [[nodiscard]] std::size_t count(const std::function<bool(const ConfigurationReplica &)> &predicate) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_hosts, [&](const Host &host) { return predicate(host.replica); }));
    }

    [[nodiscard]] std::size_t holding(std::uint64_t version) const
    {
        return count([&](const ConfigurationReplica &replica) {
            return replica.configuration() && replica.configuration()->version.value() == version;
        });
    }

    [[nodiscard]] std::size_t fresh() const
    {
        return count([&](const ConfigurationReplica &replica) { return replica.fresh(m_now); });
    }

    /// The most that one host has received over its link so far.
    [[nodiscard]] double mostReceived() const
    {
        return std::ranges::max_element(m_hosts, {}, [](const Host &host) { return host.in.bytes(); })->in.bytes();
    }

private:
    struct Host
    {
        explicit Host(ConfigurationReplica configuration)
            : replica(std::move(configuration))
        {
        }

        ConfigurationReplica replica;
        Link in;
        Link out;
        /// A watch that waits at the service.
        std::optional<KeyValueCall> watch;
    };

    void at(TimePoint time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }

    void handle(Host &host, const ConfigurationReplicaEvent &event)
    {
        const auto number = static_cast<std::size_t>(&host - m_hosts.data());
        for (const ConfigurationReplicaAction &action : host.replica.handle(event, m_now)) {
            if (const auto *call = std::get_if<KeyValueCall>(&action)) {
                at(m_now + serviceResponseTime, [this, number, call = *call] { receiveCall(number, call); });
            } else if (const auto *send = std::get_if<SendConfigurationMessage>(&action)) {
                carry(number, m_numbers.at(send->to), send->message);
            }
        }
    }

    void tick(std::size_t number)
    {
        Host &host = m_hosts[number];
        if (host.watch && m_now >= m_watchEnds[number]) {
            respond(number, *std::exchange(host.watch, std::nullopt));
        }
        handle(host, Tick{});
    }

    void carry(std::size_t from, std::size_t to, const ConfigurationMessage &message)
    {
        const auto *confirmation = std::get_if<ConfigurationConfirmation>(&message);
        const double bytes = confirmation != nullptr && confirmation->value ? configurationBytes : otherMessageBytes;
        const TimePoint sent = m_hosts[from].out.carry(m_now, bytes);
        const TimePoint received = m_hosts[to].in.carry(sent + hostDelay, bytes);
        const HostId sender("host-" + std::to_string(from));
        at(received, [this, to, sender, message] {
            handle(m_hosts[to], ConfigurationMessageReceived{.from = sender, .message = message});
        });
    }

    void receiveCall(std::size_t number, const KeyValueCall &call)
    {
        Host &host = m_hosts[number];
        const auto *watch = std::get_if<WatchRange>(&call.request);
        if (number < m_turnedAway) {
            handle(host, KeyValueReply{.id = call.id, .result = ServiceUnavailable{}});
        } else if (watch != nullptr && watch->after.value() >= m_version) {
            m_watchEnds[number] = m_now + watch->wait;
            host.watch = call;
        } else {
            respond(number, call);
        }
    }

    void respond(std::size_t number, const KeyValueCall &call)
    {
        Host &host = m_hosts[number];
        std::vector<KeyValueRecord> records;
        const auto *watch = std::get_if<WatchRange>(&call.request);
        if (watch == nullptr || watch->after.value() < m_version) {
            records.push_back({.key = "configuration",
                               .value = std::to_string(m_version),
                               .revision = Revision(m_version),
                               .lease = {}});
        }
        const TimePoint received = host.in.carry(m_now, records.empty() ? otherMessageBytes : configurationBytes);
        KeyValueResult result =
            RangeChanged{.written = records, .deletedKeys = {}, .storeRevision = Revision(m_version)};
        if (watch == nullptr) {
            result = RangeRead{.records = std::move(records), .storeRevision = Revision(m_version)};
        }
        if (number < m_turnedAway || received - m_now > call.timeout) {
            result = ServiceUnavailable{};
        }
        at(std::min(received, m_now + call.timeout),
           [this, number, reply = KeyValueReply{.id = call.id, .result = std::move(result)}] {
               handle(m_hosts[number], reply);
           });
    }

    std::vector<Host> m_hosts;
    std::map<HostId, std::size_t> m_numbers;
    /// When the waits of the watches end.
    std::map<std::size_t, TimePoint> m_watchEnds;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::uint64_t m_version = 1;
    std::size_t m_turnedAway = 0;
    TimePoint m_now = start;
};

/// Guards against hosts that the service turned away and that never recovered: each of them asked all others for the
/// configuration every 300 ms, the responses congested its link, and all of them arrived too late to count.
TEST_CASE("hosts that the service turns away with a large configuration receive it from others and recover")
{
    for (const std::size_t size : {4, 24, 118, 369}) {
        CAPTURE(size);
        ConfiguredFleet fleet(size);
        fleet.runUntil(start + 5s);
        REQUIRE(fleet.fresh() == size);
        fleet.turnAway(size * 35 / 100);
        fleet.runUntil(start + 6s);
        const double receivedBefore = fleet.mostReceived();
        fleet.publish(2);
        // The shortest time in which a revoked key must be refused everywhere is 5 s.
        for (TimePoint now = start + 6s; now < start + 14s; now += 500ms) {
            fleet.runUntil(now);
            CHECK(fleet.fresh() == size);
            if (now >= start + 9s) {
                CHECK(fleet.holding(2) == size);
            }
        }
        static constexpr double outageSeconds = 8;
        CHECK(fleet.mostReceived() - receivedBefore < configurationBytes + linkBytesPerSecond * outageSeconds / 10);
        fleet.turnAway(0);
        fleet.runUntil(start + 18s);
        fleet.publish(3);
        fleet.runUntil(start + 20s);
        CHECK(fleet.holding(3) == size);
        CHECK(fleet.fresh() == size);
    }
}

/// Guards against a view that only one host still confirms: it has to reach all hosts before it is too old.
TEST_CASE("hosts that the service turns away stay confirmed through a single host that it serves")
{
    for (const std::size_t size : {4, 24, 118, 369}) {
        CAPTURE(size);
        ConfiguredFleet fleet(size);
        fleet.runUntil(start + 5s);
        fleet.turnAway(size - 1);
        for (TimePoint now = start + 6s; now < start + 14s; now += 500ms) {
            fleet.runUntil(now);
            CHECK(fleet.fresh() == size);
        }
    }
}

/// One host alone has received a configuration when the service loses it. Returns how many hosts hold it 2 s later.
static std::size_t holdingLostConfiguration(std::size_t size)
{
    ConfiguredFleet fleet(size);
    fleet.runUntil(start + 5s);
    fleet.turnAway(size - 1);
    fleet.publish(2);
    fleet.runUntil(start + 5200ms);
    REQUIRE(fleet.holding(2) == 1);
    fleet.turnAway(0);
    fleet.restore(1);
    fleet.runUntil(start + 7200ms);
    CHECK(fleet.fresh() == size);
    return fleet.holding(2);
}

/// Guards against a revoked key that runs on because the service has lost the configuration which revoked it.
TEST_CASE("a configuration that the service has lost reaches all hosts from the single host that holds it")
{
    for (const std::size_t size : {4, 24, 118}) {
        CAPTURE(size);
        CHECK(holdingLostConfiguration(size) == size);
    }
}

TEST_CASE("a configuration that the service has lost reaches all of 369 hosts from the single host that holds it")
{
    CHECK(holdingLostConfiguration(369) == 369);
}

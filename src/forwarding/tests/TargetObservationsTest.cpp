#include "forwarding/TargetObservations.h"
#include "forwarding/tests/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

using namespace Carawaymill;

namespace {

/// Hosts that get 260 requests a second together. Requests end at once; observations arrive after 2 ms.
class ObservingFleet
{
public:
    explicit ObservingFleet(bool tells)
        : m_tells(tells)
    {
        for (std::size_t number = 0; number < hostCount; ++number) {
            ForwarderOptions options;
            options.targets.seed = number;
            m_hosts.push_back(std::make_unique<ForwarderFixture>(options));
        }
    }

    void run(Duration period, const std::string &path)
    {
        for (const TimePoint end = m_now + period; m_now < end;) {
            m_now += 1ms;
            for (const auto &host : m_hosts) {
                host->now = m_now;
            }
            for (; !m_messages.empty() && m_messages.front().first + 2ms <= m_now; m_messages.pop_front()) {
                const TargetObservationReceived told = m_messages.front().second;
                for (std::size_t host = 0; host < hostCount; ++host) {
                    if (HostId(std::to_string(host)) != told.from) {
                        perform(host, m_hosts[host]->handle(told));
                    }
                }
            }
            if (++m_step % 20 == 0) {
                for (std::size_t host = 0; host < hostCount; ++host) {
                    perform(host, m_hosts[host]->handle(Tick{}));
                    const bool isSound = host != 0 || failsEach == 0;
                    mostAvoided =
                        std::max(mostAvoided, isSound ? m_hosts[host]->forwarder.observations().avoided() : 0);
                }
            }
            if (m_random.below(1000) < 260) {
                const std::size_t host = m_random.below(hostCount);
                perform(host, m_hosts[host]->handle(ForwarderFixture::request(++m_lastId, path)));
            }
        }
    }

    static constexpr std::size_t hostCount = 97;
    /// A process that has crashed; the target before it on the path rejects its requests.
    std::string crashed;
    /// Each such connection of host 0 fails; 0 for none.
    std::size_t failsEach = 0;
    /// Requests that were sent to the crashed process, or rejected because of it.
    std::size_t arrivals = 0;
    /// Refusals by all hosts but 0.
    std::size_t refusals = 0;
    /// Most targets that any host but one with bad links avoided at a time.
    std::size_t mostAvoided = 0;

private:
    bool loses(std::size_t host) { return host == 0 && failsEach > 0 && ++m_connections % failsEach == 0; }

    void perform(std::size_t host, std::vector<ForwarderAction> actions)
    {
        ForwarderFixture &fixture = *m_hosts[host];
        const auto deliver = [&](const ForwarderEvent &event) {
            std::ranges::move(fixture.handle(event), std::back_inserter(actions));
        };
        for (std::size_t next = 0; next < actions.size(); ++next) {
            const ForwarderAction action = actions[next];
            if (const auto *told = std::get_if<BroadcastTargetObservation>(&action); told != nullptr && m_tells) {
                m_messages.push_back({m_now, {.from = HostId(std::to_string(host)), .observation = told->observation}});
            } else if (const auto *probe = std::get_if<ProbeTarget>(&action)) {
                const bool reached = !loses(host) && probe->target.value() != crashed;
                deliver(TargetProbed{.target = probe->target, .reached = reached, .purpose = probe->purpose});
            } else if (const auto *dispatch = std::get_if<ForwardToTarget>(&action)) {
                const bool usesCrashed = std::ranges::any_of(
                    dispatch->path, [&](const PathStage &stage) { return stage.target.value() == crashed; });
                arrivals += usesCrashed ? 1 : 0;
                if (loses(host) || dispatch->target.value() == crashed) {
                    deliver(ForwarderFixture::failed(*dispatch, false));
                    continue;
                }
                deliver(usesCrashed ? ForwarderFixture::rejected(*dispatch, crashed + ":1")
                                    : ForwarderFixture::started(*dispatch));
                deliver(ForwarderFixture::ended(*dispatch));
            } else if (std::holds_alternative<RefuseCaller>(action) && host != 0) {
                ++refusals;
            }
        }
    }

    bool m_tells;
    std::vector<std::unique_ptr<ForwarderFixture>> m_hosts;
    std::deque<std::pair<TimePoint, TargetObservationReceived>> m_messages;
    Random m_random{1};
    TimePoint m_now{1h};
    std::uint64_t m_step = 0;
    std::uint64_t m_lastId = 0;
    std::size_t m_connections = 0;
};

} // namespace

// Each host detected a crash on its own: 97 hosts sent requests to the target one after the other.
TEST_CASE("a crashed target gets few requests of all hosts together")
{
    for (const std::string crashed : {"a1", "a2"}) {
        std::size_t arrivals[2] = {};
        for (const bool tells : {false, true}) {
            ObservingFleet fleet(tells);
            fleet.run(200ms, "/stream/x");
            fleet.crashed = crashed;
            fleet.run(4s, "/stream/x");
            arrivals[tells ? 1 : 0] = fleet.arrivals;
            CHECK(fleet.refusals == 0);
        }
        MESSAGE(crashed << ": " << arrivals[0] << " without messages, " << arrivals[1] << " with them");
        CHECK(arrivals[0] >= 90);
        CHECK(arrivals[1] <= 30);
    }
}

// A host that loses all or some of its connections would name targets that work.
TEST_CASE("a host with bad links takes few targets from the others and makes them refuse nothing")
{
    for (const std::string path : {"/stream/x", "/read/x"}) {
        for (const std::size_t failsEach : {1U, 2U, 3U}) {
            ObservingFleet fleet(true);
            fleet.failsEach = failsEach;
            fleet.run(10s, path);
            CHECK(fleet.refusals == 0);
            CHECK(fleet.mostAvoided <= TargetObservationsOptions().failuresPerHost);
        }
    }
}

TEST_CASE("one host is believed for few targets and a recent sign of life contradicts it")
{
    ForwarderFixture fixture;
    const auto tell = [&](const char *from, const std::string &target, ObservationCause cause) {
        (void)fixture.handle(TargetObservationReceived{
            .from = HostId(from),
            .observation = {.cause = cause, .target = TargetId(target), .incarnation = IncarnationNumber(1)}});
        return fixture.forwarder.targets().isAvoided(TargetId(target));
    };
    (void)fixture.handle(TargetProbed{.target = TargetId("b1"), .reached = true});
    CHECK(!tell("x", "b1", ObservationCause::Silent));
    CHECK(tell("x", "a1", ObservationCause::Silent));
    CHECK(tell("x", "a2", ObservationCause::Gone));
    CHECK(tell("x", "desk1", ObservationCause::Unreachable));
    CHECK(!tell("x", "desk2", ObservationCause::Silent));
    CHECK(tell("y", "desk2", ObservationCause::Silent));
    // Avoided targets are left out, but used where no other target is left.
    CHECK(only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(1, "/read/x"))).target == TargetId("desk3"));
    CHECK(tell("z", "desk3", ObservationCause::NoRoom));
    CHECK(has<ForwardToTarget>(fixture.handle(ForwarderFixture::request(2, "/read/x"))));
    // An accepted connection says nothing about a silent process; a reply and a new process do.
    const auto &targets = fixture.forwarder.targets();
    for (const std::string target : {"a1", "a2"}) {
        (void)fixture.handle(TargetProbed{.target = TargetId(target), .reached = false, .connected = true});
    }
    CHECK(targets.isAvoided(TargetId("a1")));
    CHECK(!targets.isAvoided(TargetId("a2")));
    (void)fixture.handle(TargetProbed{.target = TargetId("a1"), .reached = true});
    CHECK(!targets.isAvoided(TargetId("a1")));
    DirectoryTarget renewed = ForwarderFixture::plainTarget("desk1");
    renewed.incarnation = IncarnationNumber(2);
    fixture.forwarder.targetListed(renewed, fixture.router);
    CHECK(!targets.isAvoided(TargetId("desk1")));
    CHECK(!tell("x", "desk1", ObservationCause::Silent));
    (void)fixture.advance(2s);
    CHECK(fixture.forwarder.observations().avoided() == 0);
}

// A crash of a target with many streams would otherwise be told once for each of them.
TEST_CASE("a lost response is told once the target accepts no connection and never twice in a short time")
{
    ForwarderFixture fixture;
    std::size_t told = 0;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const auto dispatch = only<ForwardToTarget>(fixture.handle(ForwarderFixture::request(id, "/stream/x")));
        (void)fixture.handle(ForwarderFixture::started(dispatch));
        const auto lost = fixture.handle(ForwarderFixture::failed(dispatch));
        CHECK(!has<BroadcastTargetObservation>(lost));
        const auto probe = only<ProbeTarget>(lost);
        CHECK(probe.target == dispatch.target);
        const auto actions =
            fixture.handle(TargetProbed{.target = TargetId("a1"), .reached = false, .purpose = ProbePurpose::Liveness});
        told += has<BroadcastTargetObservation>(actions) ? 1 : 0;
        fixture.forwarder.targetUnlisted(TargetId("b1"), fixture.router);
    }
    CHECK(told == 1);
}

TEST_CASE("observations are unchanged after encoding and decoding and later fields are ignored")
{
    const TargetObservation observation{
        .cause = ObservationCause::NoRoom, .target = TargetId("t"), .incarnation = IncarnationNumber(7), .age = 40ms};
    nlohmann::json json = observation;
    json.push_back("later");
    CHECK(std::get<TargetObservation>(decode<TargetObservation>(json)) == observation);
    for (const nlohmann::json &odd : {nlohmann::json{"other", "t", 7, 40}, nlohmann::json{"silent", "t", 7}}) {
        CHECK(std::holds_alternative<DecodeFailure>(decode<TargetObservation>(odd)));
    }
}

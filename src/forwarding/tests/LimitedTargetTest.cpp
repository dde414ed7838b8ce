#include "forwarding/tests/ForwarderFixture.h"

#include "support/Random.h"
#include "support/Seconds.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>

using namespace Carawaymill;

static constexpr Duration window = 4s;
/// Time in which the hosts learn of a limit and divide it.
static constexpr Duration settlingTime = 3s;

namespace {

/// Hosts with forwarders of their own that send to the same plain targets; some of the messages between them are lost.
class LimitedFleet
{
public:
    LimitedFleet(std::vector<double> requestsPerSecond, double lostShare, bool firstStart)
        : m_requestsPerSecond(std::move(requestsPerSecond))
        , m_lostShare(lostShare)
    {
        std::vector<HostId> ids;
        for (std::size_t host = 0; host < m_requestsPerSecond.size(); ++host) {
            ids.emplace_back("host-" + std::to_string(host));
        }
        for (const HostId &id : ids) {
            ForwarderOptions options;
            options.limits = {.self = id, .incarnation = IncarnationNumber(1), .firstStartOfDeployment = firstStart};
            m_hosts.push_back(std::make_unique<ForwarderFixture>(options));
            m_ids.push_back(id);
        }
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            deliver(host, FleetChanged{.knownHosts = ids.size(), .aliveHosts = ids});
        }
    }

    /// The limit that desk1 states in its responses from now on.
    std::optional<double> limit;

    void run(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            m_now += 20ms;
            while (!m_scheduled.empty() && m_scheduled.begin()->first <= m_now) {
                const auto step = std::move(m_scheduled.begin()->second);
                m_scheduled.erase(m_scheduled.begin());
                step();
            }
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                deliver(host, Tick{});
                if (m_random.fraction() < m_requestsPerSecond[host] * seconds(20ms)) {
                    deliver(host, ForwarderFixture::request(++m_lastRequest, "/read/x"));
                    ++m_offered;
                }
            }
        }
    }

    /// The most requests that desk1 got in any window that begins at `from` or later.
    [[nodiscard]] std::size_t mostArrivals(TimePoint from) const
    {
        std::size_t most = 0;
        for (auto first = std::ranges::lower_bound(m_arrivals, from); first != m_arrivals.end(); ++first) {
            const auto last = std::lower_bound(first, m_arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    [[nodiscard]] std::size_t arrivalsSince(TimePoint from) const
    {
        return static_cast<std::size_t>(m_arrivals.end() - std::ranges::lower_bound(m_arrivals, from));
    }

    [[nodiscard]] TimePoint now() const { return m_now; }

    [[nodiscard]] std::size_t offered() const { return m_offered; }

    [[nodiscard]] std::size_t answered() const { return m_answered; }

private:
    void schedule(Duration delay, std::function<void()> step) { m_scheduled.emplace(m_now + delay, std::move(step)); }

    void deliver(std::size_t host, const ForwarderEvent &event)
    {
        m_hosts[host]->now = m_now;
        for (const ForwarderAction &action : m_hosts[host]->handle(event)) {
            if (const auto *send = std::get_if<SendShareMessage>(&action)) {
                sendShare(host, *send);
            } else if (const auto *dispatch = std::get_if<ForwardToTarget>(&action)) {
                serve(host, *dispatch);
            } else if (std::holds_alternative<Respond>(action)) {
                ++m_answered;
            }
        }
    }

    void sendShare(std::size_t from, const SendShareMessage &send)
    {
        const auto to = static_cast<std::size_t>(std::ranges::find(m_ids, send.to) - m_ids.begin());
        if (m_random.fraction() >= m_lostShare) {
            schedule(5ms, [this, from, to, message = send.message] {
                deliver(to, ShareMessageReceived{.from = m_ids[from], .message = message});
            });
        }
    }

    void serve(std::size_t host, const ForwardToTarget &dispatch)
    {
        const bool isLimited = dispatch.target == TargetId("desk1");
        if (isLimited) {
            m_arrivals.push_back(m_now);
        }
        schedule(60ms, [this, host, dispatch, isLimited] {
            TargetResponseStarted head = ForwarderFixture::started(dispatch);
            head.requestsPerSecond = isLimited ? limit : std::nullopt;
            deliver(host, head);
            deliver(host, ForwarderFixture::ended(dispatch));
        });
    }

    std::vector<double> m_requestsPerSecond;
    double m_lostShare;
    Random m_random{31};
    TimePoint m_now{1h};
    std::vector<HostId> m_ids;
    std::vector<std::unique_ptr<ForwarderFixture>> m_hosts;
    std::multimap<TimePoint, std::function<void()>> m_scheduled;
    std::vector<TimePoint> m_arrivals;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_offered = 0;
    std::size_t m_answered = 0;
};

} // namespace

/// The platform's bound for the requests in any window.
static double allowed(double limit)
{
    return 1.5 * limit * seconds(window) + 5;
}

/// Guards against hosts that each send a target as much as it takes from all of them together.
TEST_CASE("hosts together keep to the limit of a target and use it")
{
    for (const double lostShare : {0.0, 0.2}) {
        for (const double limit : {0.5, 4.0, 12.0}) {
            for (const bool firstStart : {true, false}) {
                LimitedFleet fleet({40, 8, 8, 2}, lostShare, firstStart);
                CAPTURE(lostShare);
                CAPTURE(limit);
                CAPTURE(firstStart);
                fleet.run(2s);
                fleet.limit = limit;
                fleet.run(settlingTime);
                const TimePoint settled = fleet.now();
                fleet.run(20s);
                CHECK(static_cast<double>(fleet.mostArrivals(settled)) <= allowed(limit));
                // Each host may have saved up for a request that it has not sent yet.
                CHECK(static_cast<double>(fleet.arrivalsSince(settled)) >= 0.6 * limit * 20 - 4);
                fleet.run(1s);
                // The other two targets of the service have room for the rest.
                CHECK(fleet.answered() >= fleet.offered() * 98 / 100);
            }
        }
    }
}

TEST_CASE("a target is sent all requests again once its responses state no limit any more")
{
    LimitedFleet fleet({40, 40}, 0, true);
    fleet.limit = 2;
    fleet.run(10s);
    fleet.limit = std::nullopt;
    fleet.run(2s);
    const TimePoint from = fleet.now();
    fleet.run(4s);
    // A third of the requests, since the service has three targets.
    CHECK(fleet.arrivalsSince(from) >= 80 * 4 / 4);
}

/// The requests in `count` that are dispatched at once, and their targets.
static std::vector<ForwardToTarget> dispatchesOf(ForwarderFixture &fixture, std::uint64_t first, std::uint64_t count)
{
    std::vector<ForwardToTarget> dispatches;
    for (std::uint64_t id = first; id < first + count; ++id) {
        for (const ForwarderAction &action : fixture.handle(ForwarderFixture::request(id, "/stream/x"))) {
            if (const auto *dispatch = std::get_if<ForwardToTarget>(&action)) {
                dispatches.push_back(*dispatch);
            }
        }
    }
    return dispatches;
}

static TargetResponseStarted limited(const ForwardToTarget &dispatch, std::optional<double> limit)
{
    TargetResponseStarted head = ForwarderFixture::started(dispatch);
    head.requestsPerSecond = limit;
    return head;
}

TEST_CASE("a limited engine that has no room is not the first on a path and other engines are")
{
    ForwarderFixture fixture;
    fixture.handle(FleetChanged{.knownHosts = 1, .aliveHosts = {HostId("host")}});
    const auto first = dispatchesOf(fixture, 1, 1).front();
    fixture.handle(limited(first, 1.0));
    for (const ForwardToTarget &dispatch : dispatchesOf(fixture, 2, 4)) {
        CHECK(dispatch.target != first.target);
        CHECK(dispatch.path.front().target == dispatch.target);
    }
}

TEST_CASE("a request for which all targets lack room by their limits waits and is sent when there is room")
{
    ForwarderFixture fixture;
    fixture.handle(FleetChanged{.knownHosts = 1, .aliveHosts = {HostId("host")}});
    fixture.forwarder.targetUnlisted(TargetId("b1"), fixture.router);
    const auto first = dispatchesOf(fixture, 1, 1).front();
    fixture.handle(limited(first, 2.0));
    CHECK(dispatchesOf(fixture, 2, 1).empty());
    const auto later = fixture.advance(700ms);
    CHECK(only<ForwardToTarget>(later).id == RequestId(2));
    CHECK(!has<RefuseCaller>(later));
}

/// Guards against limits that end by a response which no target has vouched for.
TEST_CASE("a response without signature does not end the limit of its target and another process does")
{
    ForwarderFixture fixture;
    fixture.handle(FleetChanged{.knownHosts = 1, .aliveHosts = {HostId("host")}});
    const auto dispatches = dispatchesOf(fixture, 1, 2);
    fixture.handle(limited(dispatches[0], 1.0));
    REQUIRE(fixture.forwarder.limits().limitedTargets() == 1);
    TargetResponseStarted garbled = limited(dispatches[0], std::nullopt);
    garbled.sealed = false;
    fixture.handle(garbled);
    CHECK(fixture.forwarder.limits().limitedTargets() == 1);

    DirectoryTarget restarted = ForwarderFixture::engine(dispatches[0].target.value(), dispatches[0].path[0].layers);
    restarted.incarnation = IncarnationNumber(2);
    fixture.forwarder.targetListed(restarted, fixture.router);
    CHECK(fixture.forwarder.limits().limitedTargets() == 0);
}

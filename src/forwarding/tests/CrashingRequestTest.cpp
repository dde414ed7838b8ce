#include "forwarding/tests/ForwarderFixture.h"
#include "support/Random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>

using namespace Carawaymill;

/// Time within which hosts that are connected must have learned of a crash.
static constexpr Duration connectivityPeriod = 3s;
static constexpr Duration tick = 20ms;

/// Four hosts before targets that crash shortly after they have begun a request for which `isPoison` holds, and that
/// start again later as new targets. The hosts' messages are delayed, and a fifth of them is lost.
class CrashingTargets
{
public:
    static constexpr std::size_t hostCount = 4;

    struct Options
    {
        std::function<bool(const ForwardRequest &)> isPoison;
        /// Number of targets of the model in failure domain a; two more are in failure domain b.
        int engines = 16;
        /// Whether a caller sends a failed request once more, to any host.
        bool callersRepeat = false;
        std::uint64_t seed = 11;
    };

    explicit CrashingTargets(Options options)
        : random(options.seed)
        , m_isPoison(std::move(options.isPoison))
        , m_callersRepeat(options.callersRepeat)
    {
        for (int number = 3; number <= options.engines; ++number) {
            list(ForwarderFixture::engine("a" + std::to_string(number), layersOf(number)));
        }
        for (int number = 4; number <= 12; ++number) {
            list(ForwarderFixture::plainTarget("desk" + std::to_string(number)));
        }
    }

    void request(std::size_t host, const ForwardRequested &requested)
    {
        m_requests[requested.id] = requested.request;
        perform(host, m_hosts.at(host).handle(requested));
    }

    void advance()
    {
        m_now += tick;
        for (ForwarderFixture &host : m_hosts) {
            host.now = m_now;
        }
        auto [due, rest] = std::pair(m_scheduled.begin(), m_scheduled.upper_bound(m_now));
        std::vector<std::function<void()>> steps;
        for (auto step = due; step != rest; ++step) {
            steps.push_back(std::move(step->second));
        }
        m_scheduled.erase(due, rest);
        for (const auto &step : steps) {
            step();
        }
        for (std::size_t host = 0; host < hostCount; ++host) {
            perform(host, m_hosts.at(host).handle(Tick{}));
        }
    }

    [[nodiscard]] TimePoint now() const { return m_now; }

    [[nodiscard]] const std::vector<TimePoint> &crashes() const { return m_crashes; }

    [[nodiscard]] bool served(RequestId id) const { return m_served.contains(id); }

    /// Number of times that a poisonous request was sent to a target after `from`.
    [[nodiscard]] std::size_t poisonSentAfter(TimePoint from) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_poisonSent, [&](TimePoint sent) { return sent > from; }));
    }

    Random random;

private:
    struct Running
    {
        std::size_t host = 0;
        ForwardToTarget dispatch;
    };

    static LayerRange layersOf(int number)
    {
        return number % 2 == 1 ? LayerRange{LayerIndex(0), LayerIndex(4)} : LayerRange{LayerIndex(4), LayerIndex(8)};
    }

    void list(const DirectoryTarget &target)
    {
        m_listed[target.id] = target;
        for (ForwarderFixture &host : m_hosts) {
            host.forwarder.targetListed(target, host.router);
        }
    }

    void schedule(Duration delay, std::function<void()> step) { m_scheduled.emplace(m_now + delay, std::move(step)); }

    void deliver(std::size_t host, const ForwarderEvent &event) { perform(host, m_hosts.at(host).handle(event)); }

    void perform(std::size_t host, const std::vector<ForwarderAction> &actions)
    {
        for (const ForwarderAction &action : actions) {
            if (const auto *dispatch = std::get_if<ForwardToTarget>(&action)) {
                run(host, *dispatch);
            } else if (const auto *query = std::get_if<QueryProgress>(&action)) {
                schedule(tick, [this, host, query = *query] {
                    deliver(host,
                            ProgressReported{.id = query.id,
                                             .attempt = query.attempt,
                                             .answered = !m_down.contains(query.address),
                                             .blockedAtAddress = {}});
                });
            } else if (const auto *probe = std::get_if<ProbeTarget>(&action)) {
                schedule(tick, [this, host, probe = *probe] {
                    deliver(host,
                            TargetProbed{.target = probe.target,
                                         .reached = !m_down.contains(probe.address),
                                         .purpose = probe.purpose});
                });
            } else if (const auto *abandoned = std::get_if<AbandonAttempt>(&action)) {
                m_running.erase({host, abandoned->id, abandoned->attempt});
            } else if (const auto *refusal = std::get_if<RefuseCaller>(&action)) {
                repeat(refusal->id, refusal->retryAfter.value_or(tick));
            } else if (const auto *broken = std::get_if<AbortStream>(&action)) {
                repeat(broken->id, tick);
            } else if (const auto *broadcast = std::get_if<BroadcastAttributionMessage>(&action)) {
                for (std::size_t to = 0; to < hostCount; ++to) {
                    if (to != host && random.below(5) != 0) {
                        schedule(tick, [this, to, message = broadcast->message] {
                            deliver(to, AttributionMessageReceived{message});
                        });
                    }
                }
            }
        }
    }

    void repeat(RequestId id, Duration delay)
    {
        static constexpr std::uint64_t firstRepeatedId = 1'000'000;
        if (!m_callersRepeat || id.value() >= firstRepeatedId || delay > 1s) {
            return;
        }
        schedule(delay, [this, repeated = m_requests.at(id), number = id.value() + firstRepeatedId] {
            request(random.below(hostCount), {.id = RequestId(number), .request = repeated});
        });
    }

    void run(std::size_t host, const ForwardToTarget &dispatch)
    {
        const bool poison = m_isPoison(*dispatch.request);
        if (poison) {
            m_poisonSent.push_back(m_now);
        }
        if (m_down.contains(dispatch.address)) {
            schedule(tick, [this, host, dispatch] { deliver(host, ForwarderFixture::failed(dispatch, false)); });
            return;
        }
        const Key key{host, dispatch.id, dispatch.attempt};
        m_running[key] = {.host = host, .dispatch = dispatch};
        const bool streams = !dispatch.path.empty();
        if (streams) {
            whileRunning(100ms, key, [this, host, dispatch] { deliver(host, ForwarderFixture::started(dispatch)); });
        }
        if (poison) {
            whileRunning(180ms, key, [this, target = dispatch.target] { crash(target); });
            return;
        }
        if (!streams) {
            whileRunning(100ms, key, [this, host, dispatch] { deliver(host, ForwarderFixture::started(dispatch)); });
            whileRunning(120ms, key, [this, host, dispatch, key] {
                m_running.erase(key);
                m_served.insert(dispatch.id);
                deliver(host, ForwarderFixture::ended(dispatch));
            });
            return;
        }
        static constexpr std::uint64_t eventCount = 15;
        const std::uint64_t first = dispatch.resumeAfter ? dispatch.resumeAfter->value() + 1 : 1;
        for (std::uint64_t position = first; position <= eventCount; ++position) {
            whileRunning(120ms + (position - first) * 100ms, key, [this, host, dispatch, position] {
                m_served.insert(dispatch.id);
                deliver(host, ForwarderFixture::event(dispatch, position));
            });
        }
        whileRunning(140ms + (eventCount - first) * 100ms, key, [this, host, dispatch, key] {
            m_running.erase(key);
            deliver(host, ForwarderFixture::ended(dispatch));
        });
    }

    void crash(const TargetId &target)
    {
        m_crashes.push_back(m_now);
        const DirectoryTarget crashed = m_listed.at(target);
        m_down.insert(crashed.address);
        std::vector<Running> broken;
        for (const auto &[key, running] : m_running) {
            if (running.dispatch.target == target) {
                broken.push_back(running);
            }
        }
        for (const Running &running : broken) {
            m_running.erase({running.host, running.dispatch.id, running.dispatch.attempt});
            deliver(running.host, ForwarderFixture::failed(running.dispatch));
        }
        schedule(2s, [this, target] {
            for (ForwarderFixture &host : m_hosts) {
                host.forwarder.targetUnlisted(target, host.router);
            }
        });
        schedule(4s, [this, crashed] {
            DirectoryTarget restarted = crashed;
            restarted.id = TargetId(crashed.id.value() + "r");
            m_down.erase(restarted.address);
            list(restarted);
        });
    }

    using Key = std::tuple<std::size_t, RequestId, AttemptNumber>;

    void whileRunning(Duration delay, const Key &key, std::function<void()> step)
    {
        schedule(delay, [this, key, step = std::move(step)] {
            if (m_running.contains(key)) {
                step();
            }
        });
    }

    std::function<bool(const ForwardRequest &)> m_isPoison;
    bool m_callersRepeat = false;
    std::array<ForwarderFixture, hostCount> m_hosts{ForwarderFixture(options(0)),
                                                    ForwarderFixture(options(1)),
                                                    ForwarderFixture(options(2)),
                                                    ForwarderFixture(options(3))};
    TimePoint m_now{1h};
    std::multimap<TimePoint, std::function<void()>> m_scheduled;
    std::map<Key, Running> m_running;
    std::map<RequestId, ForwardRequest> m_requests;
    std::map<TargetId, DirectoryTarget> m_listed{initiallyListed()};
    std::set<std::string> m_down;
    std::set<RequestId> m_served;
    std::vector<TimePoint> m_crashes;
    std::vector<TimePoint> m_poisonSent;

    static ForwarderOptions options(std::uint64_t host)
    {
        ForwarderOptions options;
        options.targets.seed = host;
        options.attribution.self = HostId("host" + std::to_string(host));
        return options;
    }

    static std::map<TargetId, DirectoryTarget> initiallyListed()
    {
        std::map<TargetId, DirectoryTarget> listed;
        for (const std::string domain : {"a", "b"}) {
            for (const int number : {1, 2}) {
                const DirectoryTarget target =
                    ForwarderFixture::engine(domain + std::to_string(number), layersOf(number));
                listed[target.id] = target;
            }
        }
        for (const std::string id : {"desk1", "desk2", "desk3"}) {
            listed[TargetId(id)] = ForwarderFixture::plainTarget(id);
        }
        return listed;
    }
};

/// The share of these requests that was served.
static double servedShare(const CrashingTargets &fleet, const std::vector<RequestId> &ids)
{
    REQUIRE(!ids.empty());
    return static_cast<double>(std::ranges::count_if(ids, [&](RequestId id) { return fleet.served(id); }))
           / static_cast<double>(ids.size());
}

TEST_CASE(
    "a prompt part that crashes each target reaches at most three more after its fifth crash and others are served")
{
    static const std::string badPart = "bad";
    CrashingTargets fleet({.isPoison = [](const ForwardRequest &request) {
        return std::ranges::find(request.sharedParts, badPart) != request.sharedParts.end();
    }});
    std::uint64_t lastId = 0;
    std::vector<RequestId> sameFirstPart;
    std::vector<RequestId> others;
    const TimePoint start = fleet.now();
    while (fleet.now() < start + 60s) {
        fleet.advance();
        const std::uint64_t step = static_cast<std::uint64_t>((fleet.now() - start) / tick);
        if (step % 3 == 0) {
            ForwardRequested sound = ForwarderFixture::request(++lastId, "/stream/x");
            const std::uint64_t first = fleet.random.below(5);
            sound.request.sharedParts = {"first" + std::to_string(first),
                                         "second" + std::to_string(fleet.random.below(20))};
            sound.request.http.body = "sound" + std::to_string(lastId);
            if (fleet.crashes().size() >= 5 && fleet.now() > fleet.crashes()[4] + 2 * connectivityPeriod) {
                (first == 0 ? sameFirstPart : others).push_back(sound.id);
            }
            fleet.request(fleet.random.below(CrashingTargets::hostCount), sound);
        }
        if (fleet.now() > start + 5s && step % 20 == 0) {
            ForwardRequested poison = ForwarderFixture::request(++lastId, "/stream/x");
            poison.request.sharedParts = {"first0", badPart};
            poison.request.http.body = "poison" + std::to_string(lastId);
            fleet.request(fleet.random.below(CrashingTargets::hostCount), poison);
        }
    }
    MESSAGE("crashes: " << fleet.crashes().size());
    REQUIRE(fleet.crashes().size() >= 3);
    if (fleet.crashes().size() >= 5) {
        CHECK(fleet.poisonSentAfter(fleet.crashes()[4] + connectivityPeriod) <= 3);
    }
    const TimePoint last = fleet.crashes().back();
    CHECK(last < start + 20s);
    // The last requests are still running when the simulation ends.
    const auto finished = [&](std::vector<RequestId> ids) {
        ids.resize(ids.size() - std::min<std::size_t>(ids.size(), 10));
        return ids;
    };
    CHECK(servedShare(fleet, finished(sameFirstPart)) > 0.9);
    CHECK(servedShare(fleet, finished(others)) > 0.9);
}

TEST_CASE("a request that crashes each target is sent in at most three more retries after its third crash")
{
    CrashingTargets fleet({.isPoison = [](const ForwardRequest &request) { return request.http.body == "poison"; }});
    std::uint64_t lastId = 0;
    std::vector<RequestId> sound;
    const TimePoint start = fleet.now();
    while (fleet.now() < start + 40s) {
        fleet.advance();
        const std::uint64_t step = static_cast<std::uint64_t>((fleet.now() - start) / tick);
        if (step % 5 == 0) {
            ForwardRequested request = ForwarderFixture::request(++lastId, "/read/x");
            request.request.http.body = "sound" + std::to_string(lastId);
            if (fleet.now() > start + 20s && fleet.now() < start + 39s) {
                sound.push_back(request.id);
            }
            fleet.request(fleet.random.below(CrashingTargets::hostCount), request);
        }
        if (step % 50 == 0) {
            ForwardRequested poison = ForwarderFixture::request(++lastId, "/read/x");
            poison.request.http.body = "poison";
            fleet.request(fleet.random.below(CrashingTargets::hostCount), poison);
        }
    }
    MESSAGE("crashes: " << fleet.crashes().size());
    REQUIRE(fleet.crashes().size() >= 3);
    CHECK(fleet.poisonSentAfter(fleet.crashes()[2] + connectivityPeriod) <= 3);
    CHECK(servedShare(fleet, sound) > 0.9);
}

TEST_CASE("a stream that crashes its targets beside others that move along is sent in at most three more retries")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        CrashingTargets fleet({.isPoison = [](const ForwardRequest &request) { return request.http.body == "poison"; },
                               .engines = 6,
                               .callersRepeat = true,
                               .seed = seed});
        std::uint64_t lastId = 0;
        std::vector<RequestId> sound;
        const TimePoint start = fleet.now();
        while (fleet.now() < start + 30s) {
            fleet.advance();
            const std::uint64_t step = static_cast<std::uint64_t>((fleet.now() - start) / tick);
            if (step % 2 == 0) {
                ForwardRequested request = ForwarderFixture::request(++lastId, "/stream/x");
                request.request.http.body = "sound" + std::to_string(lastId);
                request.request.sharedParts = {"first"};
                if (fleet.now() > start + 20s && fleet.now() < start + 28s) {
                    sound.push_back(request.id);
                }
                fleet.request(fleet.random.below(CrashingTargets::hostCount), request);
            }
            if (step % 40 == 0) {
                ForwardRequested poison = ForwarderFixture::request(++lastId, "/stream/x");
                poison.request.http.body = "poison";
                poison.request.sharedParts = {"first"};
                fleet.request(fleet.random.below(CrashingTargets::hostCount), poison);
            }
        }
        MESSAGE("crashes: " << fleet.crashes().size()
                            << " late: " << fleet.poisonSentAfter(fleet.crashes().at(2) + connectivityPeriod)
                            << " sound served: " << servedShare(fleet, sound));
        REQUIRE(fleet.crashes().size() >= 3);
        CHECK(fleet.poisonSentAfter(fleet.crashes()[2] + connectivityPeriod) <= 3);
        CHECK(servedShare(fleet, sound) > 0.9);
    }
}

TEST_CASE("a condemned request that still runs is no longer refused once its target has answered with a failure")
{
    ForwarderFixture fixture;
    const ForwardRequested requested = ForwarderFixture::request(1, "/post/x");
    const auto dispatch = only<ForwardToTarget>(fixture.handle(requested));
    const auto traits =
        traitsOf(OrganisationId("club"), requested.request.http.target, requested.request.http.body, {});
    fixture.handle(AttributionMessageReceived{
        TraitsCondemned{{{.fingerprint = traits.front().fingerprint, .remainingMilliseconds = 600'000}}}});
    const auto refused = only<RefuseCaller>(fixture.handle(ForwarderFixture::request(2, "/post/x")));
    CHECK(refused.reason == ForwardFailure::Condemned);
    CHECK(!refused.mayHaveRun);
    CHECK(refused.retryAfter > 1s);
    fixture.handle(ForwarderFixture::started(dispatch, 500));
    fixture.handle(ForwarderFixture::ended(dispatch));
    CHECK(has<ForwardToTarget>(fixture.handle(ForwarderFixture::request(3, "/post/x"))));
}

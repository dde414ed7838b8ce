#include "platformstandin/SilentFleet.h"

#include "platformstandin/EntryHostSettings.h"
#include "support/BootClock.h"
#include "support/Seconds.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <set>

namespace Carawaymill {

/// Bounds that the platform states.
static constexpr double retryRatio = 0.2;
static constexpr double retryBurst = 198;
static constexpr Duration retryWindow = 10s;
static constexpr std::size_t allowedWideAttempts = 3;
static constexpr std::size_t allowedLongDeadlines = 20;
static constexpr Duration deadlineSlack = 500ms;
static constexpr std::size_t allowedLostRequests = 3;

static constexpr std::ptrdiff_t allowedLateRetries = 3;
static constexpr Duration connectivityPeriod = 3s;
static constexpr Duration graceTime = 8s;
static constexpr std::uint64_t smallestHostMegabytes = 260;
/// A connection that is closed within this time of a request may have crossed it.
static constexpr Duration lossSlack = 200ms;

static constexpr std::size_t plainTargets = 6;
static constexpr Duration plainPace = 600ms;
static constexpr const char *crashingPath = "/plain/crash";
/// Of a service whose targets all send streams without end, which are broken off.
static constexpr const char *endlessPath = "/events/a";
/// The balancer sends nothing new to a host from about this time after its readiness check has begun to fail.
static constexpr Duration balancerDelay = 2s;
static constexpr Duration startLimit = 20s;
static constexpr Duration responseLimit = 16s;
static constexpr Duration roundInterval = 6s;
/// The configuration changes this long before the targets fall silent.
static constexpr Duration changeLead = 600ms;
static constexpr EventCount eventsPerStream = 60;
static constexpr Duration eventPace = 50ms;
static constexpr Duration loadStep = 20ms;

SilentFleet::SilentFleet(SilentFleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_platform(m_context)
    , m_callers(m_context)
    , m_configuration{
          .version = 1,
          .routes = {{.prefix = "/plain/", .service = ServiceId("plain")},
                     {.prefix = "/once/", .service = ServiceId("plain"), .kind = PublishedRouteKind::AtMostOnce},
                     {.prefix = "/engine/",
                      .service = ServiceId("engine"),
                      .kind = PublishedRouteKind::ResumableStream,
                      .timeout = 20s,
                      .latencyObjective = 500ms},
                     {.prefix = "/events/",
                      .service = ServiceId("events"),
                      .kind = PublishedRouteKind::ResumableStream},
                     {.prefix = "/changing-1/", .service = ServiceId("plain")}},
          .services = {
              {.id = ServiceId("plain")}, {.id = ServiceId("engine"), .layers = 4}, {.id = ServiceId("events")}}}
{
}

bool SilentFleet::run()
{
    m_platform.publish(m_configuration);
    check(startTargets(), "targets start");
    check(startDaemons(), "daemons start");
    check(waitUntilServed(), "every host serves");
    if (m_broken) {
        return false;
    }
    m_startedAt = readBootClock();
    load(4s);
    for (std::size_t round = 0; round < m_options.rounds; ++round) {
        const TimePoint end = readBootClock() + roundInterval;
        std::visit([&](const auto &trouble) { play(trouble, round); }, m_options.trouble);
        load(end - readBootClock());
    }
    load(4s);
    const TimePoint end = readBootClock() + responseLimit;
    while (readBootClock() < end
           && !std::ranges::all_of(m_calls, [](const Call &call) { return call.exchange->ended(); })) {
        runFor(100ms);
    }
    for (const char *service : {"engine", "plain"}) {
        const ArrivalsByAttempt arrivals = arrivalsAt(ServiceId(service));
        checkRepeats(ServiceId(service), arrivals);
        checkTargetsPerAttempt(arrivals);
        checkDeadlines(arrivals);
    }
    checkCrashingRequest(arrivalsAt(ServiceId("plain")));
    checkCalls();
    checkLostCalls();
    checkMemory();
    return !m_broken;
}

bool SilentFleet::startTargets()
{
    bool started = true;
    for (std::size_t number = 1; number <= m_options.engines; ++number) {
        started = startTarget(ServiceId("engine"), true) && started;
    }
    for (std::size_t number = 1; number <= plainTargets; ++number) {
        started = startTarget(ServiceId("plain"), false) && started;
    }
    return started;
}

bool SilentFleet::startTarget(const ServiceId &service, bool isEngine)
{
    const std::size_t number = ++m_targetsStarted;
    TargetStandInOptions options{.id = TargetId((isEngine ? "e" : "p") + std::to_string(number)),
                                 .service = service,
                                 .failureDomain = FailureDomainId(number % 2 == 0 ? "zone-1" : "zone-2"),
                                 .streams = isEngine,
                                 .eventsPerStream = eventsPerStream,
                                 .pace = isEngine ? eventPace : plainPace,
                                 .crashingPath = isEngine ? "" : crashingPath};
    if (isEngine) {
        options.engine = EngineStandInProfile{.acceleratorKind = publishedAcceleratorKind, .layers = {}};
    }
    m_services[options.id] = service;
    m_targets.push_back(TargetProcess::start(m_context, m_options.targetProgram, options));
    return m_targets.back() != nullptr;
}

bool SilentFleet::startDaemons()
{
    for (std::size_t number = 1; number <= m_options.hosts; ++number) {
        const std::string name = m_options.workFolder + "/host-" + std::to_string(number);
        m_hosts.push_back(
            {.address = "127.0.2." + std::to_string(number), .settings = name + ".json", .log = name + ".log"});
    }
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        Host &host = m_hosts[index];
        std::ofstream(host.settings) << entryHostSettings(
            {.address = host.address,
             .failureDomain = FailureDomainId(index % 2 == 0 ? "zone-1" : "zone-2"),
             .storeAddress = m_platform.store().address(),
             .seedHosts = {m_hosts.front().address, m_hosts.back().address},
             .graceTime = graceTime,
             .retryBurst = retryBurst,
             .relays = m_options.relays});
        if (!startDaemon(host)) {
            return false;
        }
    }
    return true;
}

bool SilentFleet::startDaemon(Host &host) const
{
    ++host.starts;
    host.daemon = DaemonProcess::start({.program = m_options.daemon, .settings = host.settings, .log = host.log});
    return host.daemon != nullptr;
}

bool SilentFleet::waitUntilServed()
{
    const TimePoint end = readBootClock() + startLimit;
    for (const Host &host : m_hosts) {
        for (bool served = false; !served;) {
            const auto exchange = m_callers.call(callerAddressOf(host.address), "/engine/start");
            while (!exchange->ended() && readBootClock() < end) {
                runFor(50ms);
            }
            served = exchange->complete && exchange->status == 200;
            if (readBootClock() >= end) {
                return false;
            }
        }
    }
    return true;
}

void SilentFleet::recordTargets()
{
    for (const auto &target : m_targets) {
        if (target->takeRecordChange()) {
            m_platform.store().write("servers/" + target->id().value(), target->record().dump(), readBootClock());
        }
    }
}

void SilentFleet::runFor(Duration period)
{
    for (const TimePoint end = readBootClock() + period; readBootClock() < end;) {
        m_context.run_one_for(std::chrono::milliseconds(5));
        recordTargets();
        replaceCrashedTargets();
        replaceStoppedHosts();
    }
}

void SilentFleet::load(Duration period)
{
    double due = 0;
    TimePoint last = readBootClock();
    for (const TimePoint end = last + period; readBootClock() < end;) {
        const TimePoint now = readBootClock();
        due += seconds(now - last) * m_options.requestsPerSecond;
        last = now;
        while (due >= 1) {
            due -= 1;
            const double kind = m_random.fraction();
            const double streams = std::holds_alternative<HostsKilled>(m_options.trouble) ? 0.2 : 0.85;
            std::string path = kind < streams ? "/engine/a" : kind < 0.95 ? "/plain/a" : "/once/a";
            if (std::holds_alternative<EndlessAnswers>(m_options.trouble)) {
                path = kind < 0.2 ? "/engine/a" : kind < 0.6 ? "/plain/a" : endlessPath;
            }
            const std::size_t index = m_random.below(m_hosts.size());
            const auto connection = m_random.fraction() < 0.5 ? CallerConnection::Kept : CallerConnection::New;
            if (const Host &host = m_hosts[index]; host.inRotation && host.daemon) {
                m_calls.push_back({.exchange = m_callers.call(callerAddressOf(host.address), path, connection),
                                   .path = path,
                                   .host = index});
            }
        }
        runFor(loadStep);
    }
}

void SilentFleet::changeConfiguration(std::size_t kind)
{
    ++m_configuration.version;
    if (kind % 3 == 0) {
        m_configuration.idleTimeout = m_configuration.idleTimeout == 15s ? Duration(8s) : Duration(15s);
    } else if (kind % 3 == 1) {
        for (PublishedRoute &route : m_configuration.routes) {
            route.timeout = route.timeout == 20s ? Duration(16s) : route.timeout == 16s ? Duration(20s) : route.timeout;
        }
    } else {
        m_configuration.routes.back().prefix = "/changing-" + std::to_string(m_configuration.version) + "/";
    }
    m_platform.publish(m_configuration);
}

void SilentFleet::play(const EnginesSilent & /*trouble*/, std::size_t round)
{
    changeConfiguration(round);
    load(changeLead);
    const bool all = round % 2 == 0;
    std::vector<const TargetProcess *> paused;
    for (const auto &target : m_targets) {
        if (m_services.at(target->id()) == ServiceId("engine") && (all || m_random.fraction() < 0.6)) {
            paused.push_back(target.get());
        }
    }
    const Duration length = std::chrono::milliseconds(1000 + m_random.below(301));
    std::cout << seconds(readBootClock() - m_startedAt) << " s: " << paused.size() << " engines fall silent for "
              << seconds(length) << " s" << std::endl;
    for (const TargetProcess *target : paused) {
        target->pause();
    }
    load(length);
    for (const TargetProcess *target : paused) {
        target->resume();
    }
}

void SilentFleet::play(const HostsKilled & /*trouble*/, std::size_t round)
{
    static constexpr std::size_t killsPerRound = 8;
    static constexpr Duration killInterval = 600ms;
    static constexpr std::size_t targetsPerKill = 5;
    for (std::size_t kill = 0; kill < killsPerRound; ++kill) {
        for (std::size_t target = 0; target < targetsPerKill; ++target) {
            replacePlainTarget();
            load(killInterval / targetsPerKill);
        }
        killHost(m_hosts[(round * killsPerRound + kill) % m_hosts.size()]);
    }
}

void SilentFleet::play(const HostsStopped & /*trouble*/, std::size_t round)
{
    static constexpr Duration stopInterval = 1500ms;
    stopHost(m_hosts[2 * round % m_hosts.size()]);
    load(stopInterval);
    stopHost(m_hosts[(2 * round + 1) % m_hosts.size()]);
}

void SilentFleet::play(const SettingsReloaded & /*trouble*/, std::size_t /*round*/)
{
    for (std::size_t signal = 0; signal < 10; ++signal) {
        for (const Host &host : m_hosts) {
            host.daemon->reload();
        }
        load(400ms);
    }
}

void SilentFleet::play(const StoreDown & /*trouble*/, std::size_t round)
{
    changeConfiguration(round);
    m_platform.store().setDown(true);
    load(3s);
    m_platform.store().setDown(false);
}

void SilentFleet::play(const TargetsCrashed & /*trouble*/, std::size_t round)
{
    // From the second round on, the hosts start anew: in turn, or all at once.
    if (round > 0) {
        const Duration interval = round % 2 == 1 ? 500ms : 0ms;
        for (Host &host : m_hosts) {
            killHost(host);
            load(interval);
        }
        load(connectivityPeriod);
    }
    for (std::size_t call = 0; call < 20; ++call) {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            m_calls.push_back({.exchange = m_callers.call(callerAddressOf(m_hosts[index].address), crashingPath),
                               .path = crashingPath,
                               .host = index});
        }
        load(200ms);
    }
}

void SilentFleet::play(const EndlessAnswers & /*trouble*/, std::size_t round)
{
    static constexpr std::size_t targetsOfEach = 6;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\n";
    const std::string filler(1024, 'a');
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<ServiceId, EndlessResponse>> responses{
        {ServiceId("plain"), {"", filler}},
        {ServiceId("plain"), {head, "X-Filler: a\r\n"}},
        {ServiceId("plain"), {head + "\r\n", filler}},
        {ServiceId("plain"), {chunked + "1;", filler}},
        {ServiceId("events"), {chunked, "400\r\ndata: " + filler.substr(6) + "\r\n"}},
        {ServiceId("events"), {chunked, "400\r\n" + std::string(1024, '\n') + "\r\n"}}};
    std::vector<TargetId> added;
    for (std::size_t kind = 0; kind < responses.size(); ++kind) {
        for (std::size_t number = 0; number < targetsOfEach; ++number) {
            const TargetId id("x" + std::to_string(round) + "-" + std::to_string(kind) + "-" + std::to_string(number));
            m_platform.addEndlessTarget(id, responses[kind].first, responses[kind].second);
            added.push_back(id);
        }
    }
    load(4s);
    for (const TargetId &id : added) {
        m_platform.removeRecord(id);
    }
}

void SilentFleet::killHost(Host &host)
{
    std::cout << seconds(readBootClock() - m_startedAt) << " s: " << host.address << " is killed" << std::endl;
    host.daemon.reset();
    host.killedAt.push_back(readBootClock());
    check(startDaemon(host), "a daemon starts");
}

void SilentFleet::stopHost(Host &host)
{
    if (host.stoppedAt) {
        return;
    }
    std::cout << seconds(readBootClock() - m_startedAt) << " s: " << host.address << " is stopped" << std::endl;
    host.stoppedAt = readBootClock();
    host.daemon->terminate();
}

void SilentFleet::replaceStoppedHosts()
{
    for (Host &host : m_hosts) {
        if (!host.stoppedAt) {
            continue;
        }
        host.inRotation = readBootClock() < *host.stoppedAt + balancerDelay;
        if (!host.inRotation && host.daemon->hasEnded()) {
            check(host.daemon->hasEndedWell(), "a daemon ends with status 0");
            check(startDaemon(host), "a daemon starts");
            host.stoppedAt.reset();
            host.inRotation = true;
        }
        check(!host.stoppedAt || readBootClock() < *host.stoppedAt + graceTime, "a daemon ends within the grace time");
    }
}

void SilentFleet::replacePlainTarget()
{
    const auto found = std::ranges::find_if(
        m_targets, [&](const auto &target) { return m_services.at(target->id()) == ServiceId("plain"); });
    std::unique_ptr<TargetProcess> target = std::move(*found);
    m_targets.erase(found);
    retire(std::move(target));
    check(startTarget(ServiceId("plain"), false), "a target starts");
}

void SilentFleet::replaceCrashedTargets()
{
    for (std::size_t index = 0; index < m_targets.size();) {
        if (!m_targets[index]->hasEnded()) {
            ++index;
            continue;
        }
        m_crashes.push_back(readBootClock());
        std::unique_ptr<TargetProcess> target = std::move(m_targets[index]);
        m_targets.erase(m_targets.begin() + static_cast<long>(index));
        retire(std::move(target));
        check(startTarget(ServiceId("plain"), false), "a target starts");
    }
}

void SilentFleet::retire(std::unique_ptr<TargetProcess> target)
{
    m_platform.store().remove("servers/" + target->id().value(), readBootClock());
    target->kill();
    m_pastTargets.push_back(std::move(target));
}

SilentFleet::ArrivalsByAttempt SilentFleet::arrivalsAt(const ServiceId &service) const
{
    ArrivalsByAttempt arrivals;
    for (const auto *targets : {&m_targets, &m_pastTargets}) {
        for (const auto &target : *targets) {
            if (m_services.at(target->id()) != service) {
                continue;
            }
            for (const TargetArrival &arrival : target->arrivals()) {
                arrivals[arrival.attempt].push_back({.target = target->id(), .arrival = arrival});
            }
        }
    }
    for (auto &[attempt, list] : arrivals) {
        std::ranges::stable_sort(list, {}, [](const Arrival &arrival) { return arrival.arrival.at; });
    }
    return arrivals;
}

void SilentFleet::checkRepeats(const ServiceId &service, const ArrivalsByAttempt &arrivals)
{
    std::vector<TimePoint> repeats;
    for (const auto &[attempt, list] : arrivals) {
        for (std::size_t index = 1; index < list.size(); ++index) {
            repeats.push_back(list[index].arrival.at);
        }
    }
    std::ranges::sort(repeats);
    const auto requestsIn = [&](TimePoint begin) {
        return std::ranges::count_if(m_calls, [&](const Call &call) {
            return call.path.starts_with("/engine") == (service == ServiceId("engine"))
                   && call.exchange->sentAt >= begin && call.exchange->sentAt < begin + retryWindow;
        });
    };
    std::size_t most = 0;
    double least = 1e9;
    for (std::size_t first = 0; first < repeats.size(); ++first) {
        const TimePoint begin = repeats[first];
        const auto inWindow = static_cast<std::size_t>(std::ranges::upper_bound(repeats, begin + retryWindow)
                                                       - (repeats.begin() + static_cast<long>(first)));
        const auto requests =
            std::max({requestsIn(begin), requestsIn(begin - retryWindow / 2), requestsIn(begin - retryWindow)});
        const double allowed = retryRatio * static_cast<double>(requests) + retryBurst;
        most = std::max(most, inWindow);
        least = std::min(least, allowed - static_cast<double>(inWindow));
    }
    std::cout << service.value() << ": " << arrivals.size() << " requests arrived, " << repeats.size()
              << " repeats, at most " << most << " in 10 s, " << least << " below the limit at least\n";
    check(least >= 0, "repeats for " + service.value() + " stay within the limit");
}

void SilentFleet::checkTargetsPerAttempt(const ArrivalsByAttempt &arrivals)
{
    const auto wide = static_cast<std::size_t>(std::ranges::count_if(arrivals, [](const auto &entry) {
        std::set<TargetId> ranAt;
        for (const Arrival &arrival : entry.second) {
            if (arrival.arrival.ran) {
                ranAt.insert(arrival.target);
            }
        }
        return ranAt.size() > 2;
    }));
    std::cout << wide << " requests ran at more than two targets\n";
    check(wide <= allowedWideAttempts, "requests run at two targets at most");
}

void SilentFleet::checkDeadlines(const ArrivalsByAttempt &arrivals)
{
    std::size_t late = 0;
    std::size_t tooLong = 0;
    for (const auto &[attempt, list] : arrivals) {
        const TargetArrival &first = list.front().arrival;
        for (std::size_t index = 1; index < list.size(); ++index) {
            const TargetArrival &repeat = list[index].arrival;
            if (!first.timeLeft || !repeat.timeLeft || repeat.at - first.at <= deadlineSlack) {
                continue;
            }
            ++late;
            tooLong += repeat.at + *repeat.timeLeft > first.at + *first.timeLeft + deadlineSlack ? 1 : 0;
        }
    }
    std::cout << tooLong << " of " << late << " late repeats leave their target more time than is left\n";
    check(tooLong <= allowedLongDeadlines || tooLong * 5 <= late, "repeats leave targets no more time than is left");
}

void SilentFleet::checkCrashingRequest(const ArrivalsByAttempt &arrivals)
{
    if (m_crashes.size() < 3) {
        return;
    }
    std::set<std::string> crashing;
    for (const Call &call : m_calls) {
        if (call.path == crashingPath) {
            crashing.insert(call.exchange->attempt);
        }
    }
    const auto isExcused = [&](TimePoint at) {
        return at <= m_crashes[2] + connectivityPeriod || std::ranges::any_of(m_hosts, [&](const Host &host) {
                   return std::ranges::any_of(host.killedAt, [&](TimePoint killed) {
                       return at > killed && at <= killed + connectivityPeriod;
                   });
               });
    };
    std::ptrdiff_t late = 0;
    for (const auto &[attempt, list] : arrivals) {
        late +=
            crashing.contains(attempt)
                ? std::ranges::count_if(list, [&](const Arrival &arrival) { return !isExcused(arrival.arrival.at); })
                : 0;
    }
    std::cout << m_crashes.size() << " crashes, " << late << " late arrivals of the request that causes them\n";
    check(late <= allowedLateRetries, "a request that crashes targets is sent in at most three late retries");
}

void SilentFleet::checkCalls()
{
    std::map<std::string, std::map<std::string, std::size_t>> outcomes;
    std::size_t truncated = 0;
    const std::string wholeStream = streamEvents(eventsPerStream);
    for (const Call &call : m_calls) {
        const CallerExchange &exchange = *call.exchange;
        std::string outcome = exchange.complete ? std::to_string(exchange.status) : exchange.failed ? "lost" : "open";
        if (exchange.complete && exchange.status == 200 && call.path == "/engine/a" && exchange.body != wholeStream) {
            outcome = "wrong events";
            ++truncated;
        }
        ++outcomes[call.path][outcome];
    }
    for (const auto &[path, counts] : outcomes) {
        std::cout << path << ":";
        for (const auto &[outcome, count] : counts) {
            std::cout << " " << outcome << " " << count;
        }
        std::cout << "\n";
    }
    check(truncated == 0, "streams that end well are whole");
}

void SilentFleet::checkMemory()
{
    for (const Host &host : m_hosts) {
        const std::uint64_t megabytes = host.daemon->peakMemory().value() >> 20U;
        std::cout << host.address << " had up to " << megabytes << " MB resident\n";
        check(megabytes < smallestHostMegabytes, "a host stays within the memory of the smallest host");
    }
}

void SilentFleet::checkLostCalls()
{
    std::set<std::string> arrived;
    for (const char *service : {"engine", "plain"}) {
        for (const auto &[attempt, list] : arrivalsAt(ServiceId(service))) {
            arrived.insert(attempt);
        }
    }
    std::size_t passedOn = 0;
    std::size_t unread = 0;
    for (const Call &call : m_calls) {
        const CallerExchange &exchange = *call.exchange;
        const bool isExcused = std::ranges::any_of(m_hosts[call.host].killedAt, [&](TimePoint killed) {
            return exchange.sentAt <= killed + lossSlack
                   && (!exchange.ended() || killed <= exchange.endedAt + lossSlack);
        });
        // A caller that is refused the connection by a host that starts again tries another one.
        const bool isRefused = exchange.notSent && m_hosts[call.host].starts > 1;
        if (exchange.complete || isExcused || isRefused || call.path == endlessPath) {
            continue;
        }
        const bool isPassedOn = arrived.contains(exchange.attempt);
        (isPassedOn ? passedOn : unread) += 1;
        std::cout << "  without an answer: " << call.path << " " << exchange.attempt << " sent at "
                  << seconds(exchange.sentAt - m_startedAt) << " s to " << m_hosts[call.host].address
                  << ", ended after " << (exchange.ended() ? seconds(exchange.endedAt - exchange.sentAt) : -1) << " s, "
                  << (isPassedOn ? "at a target" : "at no target") << "\n";
    }
    std::cout << passedOn << " requests at targets and " << unread << " others without an answer\n";
    check(passedOn == 0, "requests that targets have got end with an answer");
    check(unread <= allowedLostRequests, "requests end with an answer");
}

void SilentFleet::check(bool holds, const std::string &promise)
{
    if (!holds) {
        m_broken = true;
        std::cout << "BROKEN: " << promise << std::endl;
    }
}

} // namespace Carawaymill

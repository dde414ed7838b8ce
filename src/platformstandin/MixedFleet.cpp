#include "platformstandin/MixedFleet.h"

#include "platformstandin/EntryHostSettings.h"
#include "support/BootClock.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace Carawaymill {

static constexpr std::size_t hostCount = 4;
static constexpr std::size_t plainTargetCount = 3;

/// Bounds that the platform states.
static constexpr Duration configurationBound = 2s;
static constexpr Duration drainBound = 2s;
static constexpr Duration connectivityPeriod = 3s;
static constexpr Duration graceTime = 8s;
static constexpr std::ptrdiff_t allowedLateRetries = 3;

static constexpr Duration startLimit = 10s;
static constexpr Duration responseLimit = 12s;
/// The balancer sends nothing new to a host from about this time after its readiness check has begun to fail.
static constexpr Duration balancerDelay = 2s;
static constexpr Duration callInterval = 120ms;
static constexpr const char *crashingPath = "/plain/crash";

MixedFleet::MixedFleet(MixedFleetOptions options)
    : m_options(std::move(options))
    , m_platform(m_context)
    , m_callers(m_context)
    , m_configuration{
          .version = 1,
          .routes =
              {{.prefix = "/plain/", .service = ServiceId("plain")},
               {.prefix = "/once/", .service = ServiceId("plain"), .kind = PublishedRouteKind::AtMostOnce},
               {.prefix = "/stream/", .service = ServiceId("stream"), .kind = PublishedRouteKind::ResumableStream},
               {.prefix = "/engine/", .service = ServiceId("engine"), .kind = PublishedRouteKind::ResumableStream},
               {.prefix = "/changing-1/", .service = ServiceId("plain")}},
          .services = {
              {.id = ServiceId("plain")}, {.id = ServiceId("stream")}, {.id = ServiceId("engine"), .layers = 4}}}
{
}

bool MixedFleet::run()
{
    m_platform.publish(m_configuration);
    for (std::size_t target = 0; target < plainTargetCount; ++target) {
        addPlainTarget();
    }
    for (const char *id : {"s1", "s2", "s3"}) {
        m_targets.push_back(&m_platform.addTarget({.id = TargetId(id),
                                                   .service = ServiceId("stream"),
                                                   .failureDomain = FailureDomainId("zone-1"),
                                                   .streams = true}));
    }
    for (const char *id : {"e1", "e2"}) {
        m_targets.push_back(&m_platform.addTarget(
            {.id = TargetId(id),
             .service = ServiceId("engine"),
             .failureDomain = FailureDomainId("zone-1"),
             .streams = true,
             .engine = EngineStandInProfile{.acceleratorKind = publishedAcceleratorKind, .layers = {}}}));
    }
    for (std::size_t number = 1; number <= hostCount; ++number) {
        m_hosts.push_back({.address = "127.0.1." + std::to_string(number)});
    }
    for (Host &host : m_hosts) {
        check(startDaemon(host, m_options.oldBuild), "a daemon starts");
    }
    for (Host &host : m_hosts) {
        host.inRotation = answers(host, "/engine/start", 200);
        check(host.inRotation, "a started host serves");
    }
    load(2s);
    for (const std::size_t host : {3U, 0U, 2U, 1U}) {
        replace(host, m_options.newBuild);
        changeConfiguration();
        retireTarget();
    }
    std::cout << "back to the old build" << std::endl;
    replace(1, m_options.oldBuild);
    changeConfiguration();
    retireTarget();
    crashTargets();
    check(
        runUntil([&] { return std::ranges::all_of(m_calls, [](const Call &call) { return call.exchange->ended(); }); },
                 responseLimit),
        "every call ends");
    checkCalls();
    checkLogs();
    return !m_broken;
}

bool MixedFleet::startDaemon(Host &host, const DaemonBuild &build)
{
    host.build = &build;
    host.starts += 1;
    const auto index = &host - m_hosts.data();
    const nlohmann::json settings =
        entryHostSettings({.address = host.address,
                           .failureDomain = FailureDomainId(index < 2 ? "zone-1" : "zone-2"),
                           .storeAddress = m_platform.store().address(),
                           .seedHosts = {m_hosts.front().address, m_hosts.back().address},
                           .graceTime = graceTime,
                           .relays = build.relays});
    const std::string name = m_options.workFolder + "/host-" + std::to_string(index + 1);
    std::ofstream(name + ".json") << settings.dump();
    host.daemon = DaemonProcess::start({.program = build.program, .settings = name + ".json", .log = name + ".log"});
    return host.daemon != nullptr;
}

void MixedFleet::replace(std::size_t number, const DaemonBuild &build)
{
    Host &host = m_hosts.at(number);
    std::cout << "host " << number + 1 << " goes to the " << (&build == &m_options.newBuild ? "new" : "old") << " build"
              << std::endl;
    host.daemon->terminate();
    load(balancerDelay);
    host.inRotation = false;
    check(loadUntil([&] { return host.daemon->hasEnded(); }, graceTime), "a daemon ends within the grace time");
    check(host.daemon->hasEndedWell(), "a daemon ends with status 0");
    check(startDaemon(host, build), "a daemon starts");
    host.inRotation = answers(host, "/engine/start", 200);
    check(host.inRotation, "a replaced host serves");
    load(connectivityPeriod);
}

void MixedFleet::changeConfiguration()
{
    ++m_configuration.version;
    PublishedRoute &route = m_configuration.routes.back();
    const std::string dropped = route.prefix;
    route.prefix = "/changing-" + std::to_string(m_configuration.version) + "/";
    const std::string added = route.prefix;
    m_platform.publish(m_configuration);
    load(configurationBound);
    for (const Host &host : m_hosts) {
        check(answers(host, added + "x", 200), "a new route is in force on " + host.address);
        check(answers(host, dropped + "x", 404), "a dropped route is gone on " + host.address);
    }
}

void MixedFleet::retireTarget()
{
    addPlainTarget();
    load(1s);
    TargetStandIn &leaving = *m_plainTargets.front();
    m_plainTargets.erase(m_plainTargets.begin());
    m_platform.removeRecord(leaving.options().id);
    load(drainBound);
    const std::size_t before = leaving.arrivals().size();
    load(2s);
    check(before > 0, "a target got requests before it left");
    check(leaving.arrivals().size() == before, "a target that has left gets no request");
}

void MixedFleet::crashTargets()
{
    if (!m_options.oldBuild.attributesCrashes) {
        std::cout << "not played: the old build doesn't tell requests that crash targets\n";
        return;
    }
    // From here on plain requests may fail with the targets that crash; the calls before are judged as they are.
    std::vector<Call> judged = std::exchange(m_calls, {});
    std::vector<TimePoint> crashes;
    std::vector<std::shared_ptr<CallerExchange>> crashing;
    std::vector<std::pair<TimePoint, TargetStandIn *>> restarts;
    for (const TimePoint end = readBootClock() + 20s; readBootClock() < end;) {
        for (const Host &host : m_hosts) {
            crashing.push_back(m_callers.call(callerAddressOf(host.address), crashingPath));
            load(250ms);
        }
        std::erase_if(m_plainTargets, [&](TargetStandIn *target) {
            if (target->hasCrashed()) {
                crashes.push_back(readBootClock());
                m_platform.removeRecord(target->options().id);
                restarts.emplace_back(readBootClock() + 3s, target);
            }
            return target->hasCrashed();
        });
        std::erase_if(restarts, [&](const auto &restart) {
            const bool isDue = readBootClock() >= restart.first;
            if (isDue) {
                addPlainTarget();
            }
            return isDue;
        });
    }
    check(crashes.size() >= 3, "targets crash");
    if (crashes.size() >= 3) {
        std::ptrdiff_t late = 0;
        for (const TargetStandIn *target : m_targets) {
            late += std::ranges::count_if(target->arrivals(), [&](const TargetArrival &arrival) {
                return arrival.at > crashes[2] + connectivityPeriod
                       && std::ranges::any_of(
                           crashing, [&](const auto &exchange) { return exchange->attempt == arrival.attempt; });
            });
        }
        std::cout << crashes.size() << " crashes, " << late << " late retries\n";
        check(late <= allowedLateRetries, "a request that crashes targets is sent in at most three late retries");
    }
    (void)runUntil(
        [&] { return std::ranges::all_of(m_calls, [](const Call &call) { return call.exchange->ended(); }); },
        responseLimit);
    m_calls = std::move(judged);
}

TargetStandIn &MixedFleet::addPlainTarget()
{
    TargetStandIn &target = m_platform.addTarget({.id = TargetId("p" + std::to_string(++m_plainTargetsAdded)),
                                                  .service = ServiceId("plain"),
                                                  .failureDomain = FailureDomainId("zone-1"),
                                                  .crashingPath = crashingPath});
    m_targets.push_back(&target);
    m_plainTargets.push_back(&target);
    return target;
}

void MixedFleet::load(Duration period)
{
    (void)loadUntil([] { return false; }, period);
}

bool MixedFleet::loadUntil(const std::function<bool()> &condition, Duration limit)
{
    for (const TimePoint end = readBootClock() + limit; readBootClock() < end;) {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (!m_hosts.at(host).inRotation) {
                continue;
            }
            for (const char *path : {"/plain/a", "/once/a", "/stream/a", "/engine/a"}) {
                m_calls.push_back({.exchange = m_callers.call(callerAddressOf(m_hosts.at(host).address), path),
                                   .path = path,
                                   .host = host});
            }
        }
        if (runUntil(condition, callInterval)) {
            return true;
        }
    }
    return condition();
}

bool MixedFleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    for (const TimePoint end = readBootClock() + limit; !condition();) {
        if (readBootClock() >= end) {
            return false;
        }
        m_context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

bool MixedFleet::answers(const Host &host, const std::string &path, unsigned status)
{
    const bool waits = !host.inRotation;
    for (const TimePoint end = readBootClock() + (waits ? startLimit : Duration::zero());;) {
        const auto exchange = m_callers.call(callerAddressOf(host.address), path);
        (void)runUntil([&] { return exchange->ended(); }, responseLimit);
        if (exchange->complete && exchange->status == status) {
            return true;
        }
        if (readBootClock() >= end) {
            return false;
        }
        (void)runUntil([] { return false; }, 100ms);
    }
}

void MixedFleet::checkCalls()
{
    std::map<std::string, unsigned> runs;
    for (const TargetStandIn *target : m_targets) {
        for (const TargetArrival &arrival : target->arrivals()) {
            runs[arrival.attempt] += arrival.ran ? 1 : 0;
        }
    }
    const std::string wholeStream = streamEvents(TargetStandInOptions().eventsPerStream);
    std::map<std::string, std::pair<std::size_t, std::size_t>> served;
    std::size_t cut = 0;
    for (const Call &call : m_calls) {
        const CallerExchange &exchange = *call.exchange;
        const bool streams = call.path == "/stream/a" || call.path == "/engine/a";
        const bool isServed = exchange.complete && exchange.status == 200 && (!streams || exchange.body == wholeStream);
        auto &[ok, all] = served[call.path];
        ok += isServed ? 1 : 0;
        all += 1;
        cut += exchange.failed ? 1 : 0;
        if (call.path == "/once/a" && runs[exchange.attempt] > 1) {
            check(false, "a request that runs at most once ran once: " + exchange.attempt);
        }
        if (exchange.complete && exchange.status == 503 && runs[exchange.attempt] > 0 && call.path == "/once/a") {
            check(false, "a request that was refused as not run did not run: " + exchange.attempt);
        }
    }
    for (const auto &[path, counts] : served) {
        std::cout << path << ": " << counts.first << " of " << counts.second << " served\n";
        check(counts.first * 100 >= counts.second * 99, "99 in 100 calls to " + path + " are served");
    }
    check(cut == 0, "no connection ends without an answer (" + std::to_string(cut) + " did)");
}

void MixedFleet::checkLogs()
{
    for (std::size_t host = 1; host <= m_hosts.size(); ++host) {
        std::ifstream log(m_options.workFolder + "/host-" + std::to_string(host) + ".log");
        std::size_t unreadable = 0;
        for (std::string line; std::getline(log, line);) {
            unreadable += line.find("event=unreadable") != std::string::npos ? 1 : 0;
        }
        check(unreadable == 0,
              "host " + std::to_string(host) + " reads every message (" + std::to_string(unreadable) + " not)");
    }
}

void MixedFleet::check(bool holds, const std::string &promise)
{
    if (!holds) {
        m_broken = true;
        std::cout << "BROKEN: " << promise << std::endl;
    }
}

} // namespace Carawaymill

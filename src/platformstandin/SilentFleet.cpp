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

static constexpr std::size_t plainTargets = 3;
static constexpr Duration startLimit = 20s;
static constexpr Duration responseLimit = 16s;
static constexpr Duration silenceInterval = 6s;
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
                     {.prefix = "/changing-1/", .service = ServiceId("plain")}},
          .services = {{.id = ServiceId("plain")}, {.id = ServiceId("engine"), .layers = 4}}}
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
    for (std::size_t number = 0; number < m_options.silences; ++number) {
        silence(number);
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
    checkCalls();
    return !m_broken;
}

bool SilentFleet::startTargets()
{
    const auto start = [this](const std::string &id, const ServiceId &service, bool isEngine) {
        TargetStandInOptions options{.id = TargetId(id),
                                     .service = service,
                                     .failureDomain = FailureDomainId(m_targets.size() % 2 == 0 ? "zone-1" : "zone-2"),
                                     .streams = isEngine,
                                     .eventsPerStream = eventsPerStream,
                                     .pace = eventPace};
        if (isEngine) {
            options.engine = EngineStandInProfile{.acceleratorKind = publishedAcceleratorKind, .layers = {}};
        }
        m_services[options.id] = service;
        m_targets.push_back(TargetProcess::start(m_context, m_options.targetProgram, options));
        return m_targets.back() != nullptr;
    };
    bool started = true;
    for (std::size_t number = 1; number <= m_options.engines; ++number) {
        started = start("e" + std::to_string(number), ServiceId("engine"), true) && started;
    }
    for (std::size_t number = 1; number <= plainTargets; ++number) {
        started = start("p" + std::to_string(number), ServiceId("plain"), false) && started;
    }
    return started;
}

bool SilentFleet::startDaemons()
{
    for (std::size_t number = 1; number <= m_options.hosts; ++number) {
        m_hostAddresses.push_back("127.0.2." + std::to_string(number));
    }
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        const std::string name = m_options.workFolder + "/host-" + std::to_string(index + 1);
        std::ofstream(name + ".json") << entryHostSettings(
            {.address = m_hostAddresses[index],
             .failureDomain = FailureDomainId(index % 2 == 0 ? "zone-1" : "zone-2"),
             .storeAddress = m_platform.store().address(),
             .seedHosts = {m_hostAddresses.front(), m_hostAddresses.back()},
             .retryBurst = retryBurst,
             .relays = m_options.relays});
        m_daemons.push_back(
            DaemonProcess::start({.program = m_options.daemon, .settings = name + ".json", .log = name + ".log"}));
        if (!m_daemons.back()) {
            return false;
        }
    }
    return true;
}

bool SilentFleet::waitUntilServed()
{
    const TimePoint end = readBootClock() + startLimit;
    for (const std::string &host : m_hostAddresses) {
        for (bool served = false; !served;) {
            const auto exchange = m_callers.call(callerAddressOf(host), "/engine/start");
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
            const std::string path = kind < 0.85 ? "/engine/a" : kind < 0.95 ? "/once/a" : "/plain/a";
            const std::string &host = m_hostAddresses[m_random.below(m_hostAddresses.size())];
            m_calls.push_back({.exchange = m_callers.call(callerAddressOf(host), path), .path = path});
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

void SilentFleet::silence(std::size_t number)
{
    const TimePoint end = readBootClock() + silenceInterval;
    changeConfiguration(number);
    load(changeLead);
    const bool all = number % 2 == 0;
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
    load(end - readBootClock());
}

SilentFleet::ArrivalsByAttempt SilentFleet::arrivalsAt(const ServiceId &service) const
{
    ArrivalsByAttempt arrivals;
    for (const auto &target : m_targets) {
        if (m_services.at(target->id()) != service) {
            continue;
        }
        for (const TargetArrival &arrival : target->arrivals()) {
            arrivals[arrival.attempt].push_back({.target = target->id(), .arrival = arrival});
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

void SilentFleet::checkCalls()
{
    std::map<std::string, std::map<std::string, std::size_t>> outcomes;
    std::size_t lost = 0;
    std::size_t truncated = 0;
    const std::string wholeStream = streamEvents(eventsPerStream);
    for (const Call &call : m_calls) {
        const CallerExchange &exchange = *call.exchange;
        std::string outcome = exchange.complete ? std::to_string(exchange.status) : exchange.failed ? "lost" : "open";
        if (exchange.complete && exchange.status == 200 && call.path == "/engine/a" && exchange.body != wholeStream) {
            outcome = "wrong events";
            ++truncated;
        }
        if (!exchange.complete) {
            ++lost;
            std::cout << "  " << outcome << " " << call.path << " " << exchange.attempt << " sent at "
                      << seconds(exchange.sentAt - m_startedAt) << " s\n";
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
    check(lost <= allowedLostRequests, "requests end with an answer");
}

void SilentFleet::check(bool holds, const std::string &promise)
{
    if (!holds) {
        m_broken = true;
        std::cout << "BROKEN: " << promise << std::endl;
    }
}

} // namespace Carawaymill

#pragma once

#include "lease/LeaseManager.h"
#include "standins/KeyValueStore.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

struct LeaseSimulationOptions
{
    std::uint64_t seed = 1;
    std::size_t hosts = 3;
    /// Speed of each host's clock against the service's lies within 1 -/+ this.
    double clockDrift = 0;
    LeaseManagerOptions manager;
    /// Time between two ticks.
    Duration step = 20ms;
    /// Whether to look for violations at every step.
    bool checks = true;
};

/// Several managers and one key-value stand-in under virtual time. Checks at every step that no scope has two holders,
/// and that a host which believes that it holds a scope is the holder by the service too.
class LeaseSimulation
{
public:
    explicit LeaseSimulation(const LeaseSimulationOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , store({.seed = options.seed})
    {
        for (std::size_t index = 0; index < options.hosts; ++index) {
            LeaseManagerOptions manager = options.manager;
            manager.host = HostId(hostName(index));
            manager.seed = options.seed * 1000 + index;
            auto created = LeaseManager::create(manager);
            m_hosts.push_back(Host{.manager = std::get<LeaseManager>(std::move(created)),
                                   .clockRate = 1 + options.clockDrift * (2 * m_random.fraction() - 1)});
        }
    }

    void request(std::size_t host, const LeaseScopeId &scope) { give(host, RequestScope{scope}); }

    void release(std::size_t host, const LeaseScopeId &scope) { give(host, ReleaseScope{scope}); }

    /// A paused host handles nothing; events for it are queued until `resume`.
    void pause(std::size_t host) { m_hosts[host].paused = true; }

    void resume(std::size_t host)
    {
        m_hosts[host].paused = false;
        for (const LeaseEvent &event : std::exchange(m_hosts[host].waiting, {})) {
            give(host, event);
        }
    }

    void run(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end; now += m_options.step) {
            deliver();
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                if (!m_hosts[host].paused) {
                    give(host, Tick{});
                }
            }
            if (m_options.checks) {
                check();
            }
        }
    }

    [[nodiscard]] bool holds(std::size_t host, const LeaseScopeId &scope) const
    {
        return m_hosts[host].manager.holds(scope, localTime(m_hosts[host]));
    }

    [[nodiscard]] std::vector<std::size_t> holders(const LeaseScopeId &scope) const
    {
        std::vector<std::size_t> result;
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (holds(host, scope)) {
                result.push_back(host);
            }
        }
        return result;
    }

    [[nodiscard]] TimePoint localTime(std::size_t host) const { return localTime(m_hosts[host]); }

    LeaseManager &manager(std::size_t host) { return m_hosts[host].manager; }

private:
    struct Host
    {
        LeaseManager manager;
        double clockRate = 1;
        bool paused = false;
        std::vector<LeaseEvent> waiting;
    };

    struct Travelling
    {
        std::size_t host = 0;
        KeyValueCall call;
        /// Empty on the way to the service.
        std::optional<KeyValueResult> result;
        /// When a watch is answered at the latest.
        TimePoint watchEnd;
    };

public:
    TimePoint now;
    /// Longest time that a call or its answer takes.
    Duration maximumDelay = 5ms;
    /// Violations of "one holder at a time" and "numbers strictly grow".
    std::vector<std::string> violations;
    std::vector<LeaseAcquired> acquired;
    std::vector<LeaseLost> lost;

private:
    [[nodiscard]] TimePoint localTime(const Host &host) const
    {
        const auto elapsed = static_cast<double>(now.time_since_epoch().count()) * host.clockRate;
        return TimePoint(Duration(static_cast<Duration::rep>(elapsed)));
    }

    void give(std::size_t index, const LeaseEvent &event)
    {
        Host &host = m_hosts[index];
        if (host.paused) {
            host.waiting.push_back(event);
            return;
        }
        for (const LeaseAction &action : host.manager.handle(event, localTime(host))) {
            std::visit(Overloaded{
                           [&](const KeyValueCall &call) { send(Travelling{.host = index, .call = call}); },
                           [&](const LeaseAcquired &announced) { noteAcquired(announced); },
                           [&](const LeaseLost &announced) { lost.push_back(announced); },
                       },
                       action);
        }
    }

    void noteAcquired(const LeaseAcquired &announced)
    {
        FencingNumber &highest = m_highest[announced.scope];
        if (announced.fencingNumber <= highest) {
            violations.push_back("fencing number did not grow: " + describe(announced));
        }
        highest = announced.fencingNumber;
        m_scopes.insert(announced.scope);
        acquired.push_back(announced);
    }

    void send(Travelling travelling)
    {
        const auto delay = Duration(m_random.below(static_cast<std::uint64_t>(maximumDelay.count()) + 1));
        m_travelling.emplace(now + delay, std::move(travelling));
    }

    void deliver()
    {
        while (!m_travelling.empty() && m_travelling.begin()->first <= now) {
            Travelling travelling = std::move(m_travelling.begin()->second);
            m_travelling.erase(m_travelling.begin());
            if (travelling.result) {
                give(travelling.host, KeyValueReply{.id = travelling.call.id, .result = *travelling.result});
            } else {
                arrive(std::move(travelling));
            }
        }
    }

    void arrive(Travelling travelling)
    {
        const auto *watch = std::get_if<WatchRange>(&travelling.call.request);
        if (watch == nullptr) {
            travelling.result = store.apply(travelling.call.request, now);
        } else if (travelling.watchEnd == TimePoint() || now >= travelling.watchEnd) {
            travelling.result = startOrEndWatch(travelling, *watch);
        } else {
            travelling.result = store.pollWatch(*watch, now);
        }
        if (travelling.result) {
            send(std::move(travelling));
        } else {
            m_travelling.emplace(now + m_options.step, std::move(travelling));
        }
    }

    [[nodiscard]] std::optional<KeyValueResult> startOrEndWatch(Travelling &travelling, const WatchRange &watch)
    {
        if (travelling.watchEnd != TimePoint()) {
            return RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = watch.after};
        }
        travelling.watchEnd = now + watch.wait;
        KeyValueResult result = store.apply(watch, now);
        const auto *changes = std::get_if<RangeChanged>(&result);
        if (changes != nullptr && changes->written.empty() && changes->deletedKeys.empty()
            && store.faults().watches == WatchFault::None) {
            return std::nullopt;
        }
        return result;
    }

    [[nodiscard]] static std::string hostName(std::size_t host) { return "host-" + std::to_string(host); }

    void check()
    {
        store.endDueLeases(now);
        for (const LeaseScopeId &scope : m_scopes) {
            if (const auto all = holders(scope); all.size() > 1) {
                violations.push_back("two holders of " + scope.value());
            }
            for (const std::size_t host : holders(scope)) {
                // The host's belief must end before the service's.
                const auto record = store.record(leaseKey(scope));
                if (!record || record->value.find(hostName(host)) == std::string::npos) {
                    violations.push_back(hostName(host) + " believes that it holds " + scope.value());
                }
            }
        }
    }

    LeaseSimulationOptions m_options;
    Random m_random;
    std::vector<Host> m_hosts;
    std::multimap<TimePoint, Travelling> m_travelling;
    std::map<LeaseScopeId, FencingNumber> m_highest;
    std::set<LeaseScopeId> m_scopes;

public:
    KeyValueStore store;
};

} // namespace Carawaymill

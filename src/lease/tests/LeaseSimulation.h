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
    /// Each host's clock runs at a rate within 1 -/+ this, relative to the clock of the key-value service.
    double clockDrift = 0;
    LeaseManagerOptions manager;
    /// Time between two ticks.
    Duration step = 20ms;
    /// Whether the invariants are checked at every step.
    bool checks = true;
};

/// Runs several lease managers against one key-value stand-in in virtual time. Checks at every step that no scope has
/// two holders, and that the lease record of each held scope names its holder.
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

    void request(std::size_t host, const LeaseScopeId &scope) { dispatch(host, RequestScope{scope}); }

    void release(std::size_t host, const LeaseScopeId &scope) { dispatch(host, ReleaseScope{scope}); }

    void changeEra(const StoreEraChanged &change)
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            dispatch(host, change);
        }
    }

    /// A paused host handles nothing; events for it are queued until `resume`.
    void pause(std::size_t host) { m_hosts[host].paused = true; }

    void resume(std::size_t host)
    {
        m_hosts[host].paused = false;
        for (const LeaseEvent &event : std::exchange(m_hosts[host].queuedEvents, {})) {
            dispatch(host, event);
        }
    }

    void run(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end; now += m_options.step) {
            deliver();
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                if (!m_hosts[host].paused) {
                    dispatch(host, Tick{});
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
        std::vector<LeaseEvent> queuedEvents;
    };

    struct PendingMessage
    {
        std::size_t host = 0;
        KeyValueCall call;
        /// Empty while the call is on its way to the key-value service.
        std::optional<KeyValueResult> result;
        /// When the response to a watch is due even if nothing has changed.
        TimePoint watchEnd;
    };

public:
    TimePoint now;
    /// Longest delay of a call, and of its response.
    Duration maximumDelay = 5ms;
    /// Violations of the invariants: one holder at a time, and strictly increasing fencing numbers.
    std::vector<std::string> violations;
    std::vector<LeaseAcquired> acquired;
    std::vector<LeaseLost> lost;

private:
    [[nodiscard]] TimePoint localTime(const Host &host) const
    {
        const auto elapsed = static_cast<double>(now.time_since_epoch().count()) * host.clockRate;
        return TimePoint(Duration(static_cast<Duration::rep>(elapsed)));
    }

    void dispatch(std::size_t index, const LeaseEvent &event)
    {
        Host &host = m_hosts[index];
        if (host.paused) {
            host.queuedEvents.push_back(event);
            return;
        }
        for (const LeaseAction &action : host.manager.handle(event, localTime(host))) {
            std::visit(Overloaded{
                           [&](const KeyValueCall &call) { send(PendingMessage{.host = index, .call = call}); },
                           [&](const LeaseAcquired &announced) { recordAcquired(announced); },
                           [&](const LeaseLost &announced) { lost.push_back(announced); },
                       },
                       action);
        }
    }

    void recordAcquired(const LeaseAcquired &announced)
    {
        FencingNumber &highest = m_highest[announced.scope];
        if (announced.fencingNumber <= highest) {
            violations.push_back("fencing number did not grow: " + describe(announced));
        }
        highest = announced.fencingNumber;
        m_scopes.insert(announced.scope);
        acquired.push_back(announced);
    }

    void send(PendingMessage pending)
    {
        const auto delay = Duration(m_random.below(static_cast<std::uint64_t>(maximumDelay.count()) + 1));
        m_pending.emplace(now + delay, std::move(pending));
    }

    void deliver()
    {
        while (!m_pending.empty() && m_pending.begin()->first <= now) {
            PendingMessage pending = std::move(m_pending.begin()->second);
            m_pending.erase(m_pending.begin());
            if (pending.result) {
                dispatch(pending.host, KeyValueReply{.id = pending.call.id, .result = *pending.result});
            } else {
                arrive(std::move(pending));
            }
        }
    }

    void arrive(PendingMessage pending)
    {
        const auto *watch = std::get_if<WatchRange>(&pending.call.request);
        if (watch == nullptr) {
            pending.result = store.apply(pending.call.request, now);
        } else if (pending.watchEnd == TimePoint() || now >= pending.watchEnd) {
            pending.result = startOrEndWatch(pending, *watch);
        } else {
            pending.result = store.pollWatch(*watch, now);
        }
        if (pending.result) {
            send(std::move(pending));
        } else {
            m_pending.emplace(now + m_options.step, std::move(pending));
        }
    }

    [[nodiscard]] std::optional<KeyValueResult> startOrEndWatch(PendingMessage &pending, const WatchRange &watch)
    {
        if (pending.watchEnd != TimePoint()) {
            return RangeChanged{.written = {}, .deletedKeys = {}, .storeRevision = watch.after};
        }
        pending.watchEnd = now + watch.wait;
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
                // A host must stop holding the scope before the key-value service ends its lease.
                const auto record = store.record(leaseKey(scope));
                if (!record || record->value.find(hostName(host)) == std::string::npos) {
                    violations.push_back(hostName(host)
                                         + " treats itself as the holder without its lease record: " + scope.value());
                }
            }
        }
    }

    LeaseSimulationOptions m_options;
    Random m_random;
    std::vector<Host> m_hosts;
    std::multimap<TimePoint, PendingMessage> m_pending;
    std::map<LeaseScopeId, FencingNumber> m_highest;
    std::set<LeaseScopeId> m_scopes;

public:
    KeyValueStore store;
};

} // namespace Carawaymill

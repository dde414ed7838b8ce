#pragma once

#include "quarantine/Quarantine.h"
#include "standins/KeyValueStore.h"
#include "support/Random.h"

#include <functional>
#include <map>
#include <vector>

namespace Carawaymill {

/// Simulates hosts with one `Quarantine` each, the links between them and the key-value service, in virtual time.
class QuarantineFleet
{
public:
    QuarantineFleet(std::uint64_t seed, unsigned hostCount);

    void handle(unsigned host, const QuarantineEvent &event);
    [[nodiscard]] QuarantineDecision decisionFor(unsigned host, const Fingerprint &fingerprint) const;
    /// Reports the crash to each host with the requests that it had in flight on the target.
    void crash(const TargetId &target, const std::map<unsigned, std::vector<Fingerprint>> &inFlight);
    /// Requests an isolated run and runs the simulation until the decision, for at most 2 s. Returns whether it was
    /// granted.
    [[nodiscard]] bool requestIsolatedRun(unsigned host, const Fingerprint &fingerprint, const TargetId &target);

    [[nodiscard]] bool targetReserved(unsigned host, const TargetId &target) const
    {
        return m_hosts[host].targetReserved(target, now);
    }

    void run(Duration duration);

    template<typename Decision>
    [[nodiscard]] bool everyHostDecides(const Fingerprint &fingerprint) const
    {
        for (unsigned host = 0; host < m_hosts.size(); ++host) {
            if (!std::holds_alternative<Decision>(decisionFor(host, fingerprint))) {
                return false;
            }
        }
        return true;
    }

    TimePoint now{};
    KeyValueStore store;
    double messageLoss = 0;
    std::function<void(unsigned host, const IsolatedRunDecided &)> onIsolatedRunDecided;
    std::vector<BroadcastQuarantineMessage> sent;

private:
    void perform(unsigned host, const std::vector<QuarantineAction> &actions);
    void call(unsigned host, const KeyValueCall &call);

    Random m_random;
    std::vector<Quarantine> m_hosts;
    std::multimap<TimePoint, std::function<void()>> m_steps;
};

} // namespace Carawaymill

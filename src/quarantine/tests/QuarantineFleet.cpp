#include "QuarantineFleet.h"

namespace Carawaymill {

static constexpr Duration tickInterval = 10ms;

QuarantineFleet::QuarantineFleet(std::uint64_t seed, unsigned hostCount)
    : store({.seed = seed})
    , m_random(seed)
{
    for (unsigned host = 0; host < hostCount; ++host) {
        m_hosts.push_back(std::get<Quarantine>(
            Quarantine::create({.self = HostId("host" + std::to_string(host)), .incarnation = IncarnationNumber(1)})));
    }
}

void QuarantineFleet::handle(unsigned host, const QuarantineEvent &event)
{
    perform(host, m_hosts[host].handle(event, now));
}

QuarantineDecision QuarantineFleet::decisionFor(unsigned host, const Fingerprint &fingerprint) const
{
    return m_hosts[host].decisionFor(fingerprint, now);
}

void QuarantineFleet::crash(const TargetId &target, const std::map<unsigned, std::vector<Fingerprint>> &inFlight)
{
    for (const auto &[host, fingerprints] : inFlight) {
        handle(host, TargetCrashed{.target = target, .inFlight = fingerprints});
    }
}

bool QuarantineFleet::requestIsolatedRun(unsigned host, const Fingerprint &fingerprint, const TargetId &target)
{
    std::optional<bool> granted;
    onIsolatedRunDecided = [&](unsigned /*host*/, const IsolatedRunDecided &decided) {
        granted = std::holds_alternative<IsolatedRunGranted>(decided.result);
    };
    handle(host, IsolatedRunRequested{.fingerprint = fingerprint, .target = target});
    for (int step = 0; step < 200 && !granted; ++step) {
        run(tickInterval);
    }
    onIsolatedRunDecided = {};
    return granted.value_or(false);
}

void QuarantineFleet::perform(unsigned host, const std::vector<QuarantineAction> &actions)
{
    for (const QuarantineAction &action : actions) {
        std::visit(Overloaded{
                       [&](const IsolatedRunDecided &decided) {
                           if (onIsolatedRunDecided) {
                               onIsolatedRunDecided(host, decided);
                           }
                       },
                       [&](const BroadcastQuarantineMessage &broadcast) {
                           sent.push_back(broadcast);
                           const std::string packed = packCbor(nlohmann::json(broadcast.message));
                           for (unsigned other = 0; other < m_hosts.size(); ++other) {
                               if (other == host || m_random.fraction() < messageLoss) {
                                   continue;
                               }
                               m_steps.emplace(now + Duration(500 + m_random.below(2000)), [this, other, packed] {
                                   const auto json = std::get<nlohmann::json>(unpackCbor(packed));
                                   handle(other,
                                          QuarantineMessageReceived{
                                              .message = std::get<QuarantineMessage>(decode<QuarantineMessage>(json))});
                               });
                           }
                       },
                       [&](const KeyValueCall &request) { call(host, request); },
                       [](const QuarantineStateChanged &) {},
                   },
                   action);
    }
}

void QuarantineFleet::call(unsigned host, const KeyValueCall &call)
{
    m_steps.emplace(now + Duration(1000 + m_random.below(2000)), [this, host, call] {
        const KeyValueReply reply{.id = call.id, .result = store.apply(call.request, now)};
        const bool timeout = std::holds_alternative<OutcomeUnknown>(reply.result);
        m_steps.emplace(now + (timeout ? call.timeout : Duration(1000)), [this, host, reply] { handle(host, reply); });
    });
}

void QuarantineFleet::run(Duration duration)
{
    const TimePoint end = now + duration;
    while (now < end) {
        const TimePoint next = now + tickInterval;
        while (!m_steps.empty() && m_steps.begin()->first <= next) {
            now = std::max(now, m_steps.begin()->first);
            const auto step = std::move(m_steps.begin()->second);
            m_steps.erase(m_steps.begin());
            step();
        }
        now = next;
        for (unsigned host = 0; host < m_hosts.size(); ++host) {
            handle(host, Tick{});
        }
    }
}

} // namespace Carawaymill

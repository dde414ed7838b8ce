#include "membership/Membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Carawaymill {

/// Each host sends an update this many times log2 of the number of living hosts, so that it reaches all hosts although
/// some messages are lost.
static constexpr double sendsPerDoubling = 2.0;
/// Members whose state a message repeats without a new update, so that hosts which missed the gossip converge.
static constexpr std::size_t repeatedPerMessage = 2;
/// Number of times per probe period that the table is searched for expired timers.
static constexpr int expiryChecksPerPeriod = 10;
/// Suspects that are probed again per period. If more hosts fail together, the others can refute through gossip only.
static constexpr std::size_t repeatProbesPerPeriod = 4;
/// Most probes in flight on behalf of other hosts.
static constexpr std::size_t maxRelayedProbes = 64;

Result<Membership, InvalidMembershipOptions> Membership::create(MembershipOptions options)
{
    if (options.self.value().empty()) {
        return InvalidMembershipOptions{.option = "self"};
    }
    if (options.incarnation == IncarnationNumber(0)) {
        return InvalidMembershipOptions{.option = "incarnation"};
    }
    if (options.probeTimeout <= Duration(0) || options.probeTimeout >= options.probePeriod) {
        return InvalidMembershipOptions{.option = "probeTimeout"};
    }
    if (options.pauseThreshold <= Duration(0) || options.pauseThreshold >= options.probePeriod) {
        return InvalidMembershipOptions{.option = "pauseThreshold"};
    }
    if (options.updatesPerMessage <= repeatedPerMessage || options.updatesPerPeriod < options.updatesPerMessage) {
        return InvalidMembershipOptions{.option = "updatesPerMessage"};
    }
    return Membership(std::move(options));
}

Membership::Membership(MembershipOptions options)
    : m_options(std::move(options))
    , m_table(m_options.dropDelay)
    , m_random(m_options.seed)
    , m_clock(m_options.pauseThreshold)
    , m_incarnation(m_options.incarnation)
    // A restarted host must not match an acknowledgement to its earlier process with a probe of its own.
    , m_nextSequence(static_cast<std::uint32_t>(m_random.number()))
    , m_updatesLeft(m_options.updatesPerPeriod)
{
    // Random offsets keep hosts that start together from probing at the same time.
    m_nextPeriod += Duration(m_random.below(m_options.probePeriod.count()));
    m_nextDeadProbe += Duration(m_random.below(m_options.deadProbePeriod.count()));
    m_table.setSelf(m_options.self, m_options.profile, m_incarnation, m_leaving);
    for (const ConfiguredMember &member : m_options.configured) {
        m_table.add(member.host, member.profile);
    }
}

std::vector<MembershipAction> Membership::handle(const MembershipEvent &event, TimePoint now)
{
    m_clock.advance(now);
    std::visit([&](const auto &concrete) { on(concrete); }, event);
    collectChanges();
    return std::exchange(m_actions, {});
}

void Membership::collectChanges()
{
    for (const HostId &host : m_table.takeUpdatedHosts()) {
        // Every message contains an update on its sender anyway.
        if (host != m_options.self) {
            m_gossip.add(host);
        }
    }
    for (const MemberChanged &change : m_table.takeChanges()) {
        m_actions.emplace_back(change);
    }
}

void Membership::on(const Tick & /*tick*/)
{
    const TimePoint now = m_clock.now();
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + m_options.probePeriod / expiryChecksPerPeriod;
        m_table.expire(now);
        probeSuspectsAgain();
    }
    std::erase_if(m_relayed, [&](const auto &entry) { return now >= entry.second.expiry; });
    if (m_probe && !m_probe->indirectProbesRequested && now >= m_probe->startedAt + m_options.probeTimeout) {
        requestIndirectProbes();
    }
    if (now >= m_nextPeriod) {
        m_nextPeriod = now + m_options.probePeriod;
        startPeriod();
    }
    if (now >= m_nextDeadProbe) {
        m_nextDeadProbe = now + m_options.deadProbePeriod;
        probeDeadMember();
    }
}

void Membership::startPeriod()
{
    m_updatesLeft = m_options.updatesPerPeriod;
    m_repeatProbesLeft = repeatProbesPerPeriod;
    if (m_probe) {
        suspect(m_probe->target);
        m_probe.reset();
    }
    if (const auto target = nextProbeTarget()) {
        const std::uint32_t sequence = m_nextSequence++;
        m_probe = OwnProbe{.target = *target, .sequence = sequence, .startedAt = m_clock.now()};
        send(*target, sequence, Probe{});
    }
}

void Membership::suspect(const HostId &host)
{
    m_table.suspect(host, suspicionTimeout(), m_clock.now());
    if (m_table.contains(host)) {
        // The probe carries the suspicion, and the acknowledgement refutes it.
        send(host, m_nextSequence++, Probe{});
    }
}

void Membership::probeSuspectsAgain()
{
    for (const HostId &host : m_table.takeSuspectsToProbe()) {
        if (m_repeatProbesLeft > 0) {
            --m_repeatProbesLeft;
            send(host, m_nextSequence++, Probe{});
        }
    }
}

void Membership::requestIndirectProbes()
{
    m_probe->indirectProbesRequested = true;
    for (const HostId &host : randomMembers(m_options.indirectProbes, MemberState::Alive, m_probe->target)) {
        send(host, m_probe->sequence, ProbeRequest{.target = m_probe->target});
    }
}

void Membership::probeDeadMember()
{
    for (const HostId &host : randomMembers(1, MemberState::Dead, m_options.self)) {
        send(host, m_nextSequence++, Probe{});
    }
}

std::optional<HostId> Membership::nextProbeTarget()
{
    // Each member is probed once in a round of random order, which bounds the time until a failure is detected.
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            HostId host = std::move(m_probeOrder.back());
            m_probeOrder.pop_back();
            const auto state = m_table.state(host);
            if (state && state != MemberState::Dead) {
                return host;
            }
        }
        for (const Member &member : m_table.members()) {
            if (member.host != m_options.self && member.state != MemberState::Dead) {
                m_probeOrder.push_back(member.host);
            }
        }
        for (std::size_t left = m_probeOrder.size(); left > 1; --left) {
            std::swap(m_probeOrder[left - 1], m_probeOrder[m_random.below(left)]);
        }
    }
    return std::nullopt;
}

std::vector<HostId> Membership::randomMembers(std::size_t count, MemberState expected, const HostId &except)
{
    std::vector<HostId> candidates;
    for (const Member &member : m_table.members()) {
        if (member.state == expected && member.host != m_options.self && member.host != except) {
            candidates.push_back(member.host);
        }
    }
    std::vector<HostId> chosen;
    while (!candidates.empty() && chosen.size() < count) {
        const auto index = static_cast<std::ptrdiff_t>(m_random.below(candidates.size()));
        chosen.push_back(candidates[index]);
        candidates.erase(candidates.begin() + index);
    }
    return chosen;
}

void Membership::on(const HostListRead &list)
{
    m_table.applyHostList(list, m_clock.now());
    if (m_table.listedAsLeaving(m_options.self) && !m_leaving) {
        on(LeaveRequested{});
    }
}

void Membership::on(const LeaveRequested & /*request*/)
{
    if (m_leaving) {
        return;
    }
    m_leaving = true;
    raiseIncarnation(m_incarnation);
    for (const HostId &host : randomMembers(m_options.leaveFanOut, MemberState::Alive, m_options.self)) {
        send(host, m_nextSequence++, Probe{});
    }
}

void Membership::on(const MembershipMessageReceived &received)
{
    const MembershipMessage &message = received.message;
    if (received.from == m_options.self || message.sender.host != received.from) {
        return;
    }
    apply(message.sender);
    for (const MemberUpdate &update : message.updates) {
        apply(update);
    }
    if (m_table.contains(received.from)) {
        std::visit([&](const auto &body) { respond(received.from, message.sequence, body); }, message.body);
    } else {
        notifyDropped(message);
    }
}

void Membership::notifyDropped(const MembershipMessage &message)
{
    const auto incarnation = m_table.droppedIncarnation(message.sender.host);
    if (!incarnation || !message.sender.profile) {
        return;
    }
    const MemberUpdate deadUpdate{
        .host = message.sender.host, .incarnation = *incarnation, .liveness = MemberLiveness::Dead};
    m_actions.emplace_back(SendMembershipMessage{.to = message.sender.host,
                                                 .peerAddress = message.sender.profile->peerAddress,
                                                 .message = {.body = Acknowledgement{},
                                                             .sequence = message.sequence,
                                                             .sender = m_table.update(m_options.self, true),
                                                             .updates = {deadUpdate}}});
}

void Membership::respond(const HostId &from, std::uint32_t sequence, const Probe & /*probe*/)
{
    send(from, sequence, Acknowledgement{});
}

void Membership::respond(const HostId &from, std::uint32_t sequence, const ProbeRequest &request)
{
    if (!m_table.contains(request.target) || m_relayed.size() >= maxRelayedProbes) {
        return;
    }
    const std::uint32_t ownSequence = m_nextSequence++;
    m_relayed[ownSequence] = {.target = request.target,
                              .requester = from,
                              .requesterSequence = sequence,
                              .expiry = m_clock.now() + m_options.probePeriod};
    send(request.target, ownSequence, Probe{});
}

void Membership::respond(const HostId &from, std::uint32_t sequence, const Acknowledgement & /*acknowledgement*/)
{
    if (const auto relayed = m_relayed.find(sequence); relayed != m_relayed.end()) {
        const RelayedProbe probe = relayed->second;
        m_relayed.erase(relayed);
        if (probe.target == from && m_table.contains(probe.requester)) {
            send(probe.requester, probe.requesterSequence, Acknowledgement{});
        }
    } else if (m_probe && m_probe->sequence == sequence) {
        m_probe.reset();
    }
}

void Membership::apply(const MemberUpdate &update)
{
    if (update.host == m_options.self) {
        refute(update);
    } else {
        m_table.apply(update, suspicionTimeout(), m_clock.now());
    }
}

void Membership::refute(const MemberUpdate &claim)
{
    const bool isFromEarlierProcess = claim.incarnation > m_incarnation;
    const bool wrong = claim.liveness != MemberLiveness::Alive || claim.leaving != m_leaving;
    if (isFromEarlierProcess || (claim.incarnation == m_incarnation && wrong)) {
        raiseIncarnation(claim.incarnation);
    }
}

void Membership::raiseIncarnation(IncarnationNumber above)
{
    m_incarnation = above.next();
    m_table.setSelf(m_options.self, m_options.profile, m_incarnation, m_leaving);
}

void Membership::send(const HostId &to, std::uint32_t sequence, decltype(MembershipMessage::body) body)
{
    collectChanges();
    // The receiver of a probe may not know this host yet and needs its address for the acknowledgement.
    const bool withProfile = std::holds_alternative<Probe>(body);
    m_actions.emplace_back(SendMembershipMessage{.to = to,
                                                 .peerAddress = m_table.profile(to).peerAddress,
                                                 .message = {.body = std::move(body),
                                                             .sequence = sequence,
                                                             .sender = m_table.update(m_options.self, withProfile),
                                                             .updates = gossipFor(to)}});
}

std::vector<MemberUpdate> Membership::gossipFor(const HostId &to)
{
    std::vector<MemberUpdate> updates;
    // The receiver always gets its own state if that is dead, suspect or leaving, since only the receiver can refute
    // it.
    const MemberUpdate receiver = m_table.update(to, false);
    if (receiver.liveness != MemberLiveness::Alive || receiver.leaving) {
        updates.push_back(receiver);
    }
    const double doublings = std::log2(static_cast<double>(m_table.livingCount()) + 1);
    const auto maxSends = static_cast<std::size_t>(std::ceil(sendsPerDoubling * doublings));
    const std::size_t count = std::min(m_options.updatesPerMessage - repeatedPerMessage, m_updatesLeft);
    const std::vector<HostId> updatedHosts = m_gossip.take(count, maxSends);
    m_updatesLeft -= updatedHosts.size();
    for (const HostId &host : updatedHosts) {
        if (host != to && m_table.contains(host)) {
            updates.push_back(m_table.update(host, m_table.gossipsProfile(host)));
        }
    }
    for (std::size_t repeated = 0; repeated < repeatedPerMessage; ++repeated) {
        m_lastRepeated = m_table.following(m_lastRepeated);
        if (m_lastRepeated != to && m_lastRepeated != m_options.self) {
            updates.push_back(m_table.update(m_lastRepeated, false));
        }
    }
    return updates;
}

std::vector<HostId> Membership::aliveHosts() const
{
    std::vector<HostId> hosts;
    for (const Member &member : m_table.members()) {
        if (member.state == MemberState::Alive || member.state == MemberState::Suspect) {
            hosts.push_back(member.host);
        }
    }
    return hosts;
}

bool Membership::isAlive(const HostId &host) const
{
    const auto state = m_table.state(host);
    return state == MemberState::Alive || state == MemberState::Suspect;
}

Duration Membership::suspicionTimeout() const
{
    // The suspicion and its refutation each spread in about log2(living hosts) hops of half a period.
    const double doublings = std::log2(static_cast<double>(m_table.livingCount()) + 1);
    return m_options.probePeriod
           + std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(m_options.probePeriod)
                                                  * (doublings / 2));
}

} // namespace Carawaymill

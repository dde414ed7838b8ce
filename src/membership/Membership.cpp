#include "membership/Membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Carawaymill {

/// Gossip is sent by each host so many times log2 of the fleet's size, which reaches everyone though some is lost.
static constexpr double sendsPerDoubling = 2.0;
/// Members that a message repeats without news, so that hosts which missed the gossip agree in the end.
static constexpr std::size_t refreshedPerMessage = 2;
/// How often in a period the whole table is looked through for timers that have run out.
static constexpr int expiriesPerPeriod = 10;
/// Suspects that are checked in a period; when more fail together, the rest has gossip alone to refute with.
static constexpr std::size_t checksPerPeriod = 4;
/// Probes that are made for others at any one time.
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
    if (options.updatesPerMessage <= refreshedPerMessage || options.updatesPerPeriod < options.updatesPerMessage) {
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
    // A restarted host must not take an acknowledgement of its former life for one of now.
    , m_nextSequence(static_cast<std::uint32_t>(m_random.number()))
    , m_updatesLeft(m_options.updatesPerPeriod)
{
    // Hosts that start together do not probe together.
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
    collectNews();
    return std::exchange(m_actions, {});
}

void Membership::collectNews()
{
    for (const HostId &host : m_table.takeNews()) {
        // Every message tells of its sender anyway.
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
        m_nextExpiry = now + m_options.probePeriod / expiriesPerPeriod;
        m_table.expire(now);
        checkSuspects();
    }
    std::erase_if(m_relayed, [&](const auto &entry) { return now >= entry.second.expiry; });
    if (m_probe && !m_probe->askedOthers && now >= m_probe->startedAt + m_options.probeTimeout) {
        askOthers();
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
    m_checksLeft = checksPerPeriod;
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
        // It learns of the suspicion from the probe, and its answer refutes it.
        send(host, m_nextSequence++, Probe{});
    }
}

void Membership::checkSuspects()
{
    for (const HostId &host : m_table.takeChecks()) {
        if (m_checksLeft > 0) {
            --m_checksLeft;
            send(host, m_nextSequence++, Probe{});
        }
    }
}

void Membership::askOthers()
{
    m_probe->askedOthers = true;
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
    // Each member is probed once in a round of random order, which bounds the time until a failure is noticed.
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

std::vector<HostId> Membership::randomMembers(std::size_t count, MemberState wanted, const HostId &except)
{
    std::vector<HostId> candidates;
    for (const Member &member : m_table.members()) {
        if (member.state == wanted && member.host != m_options.self && member.host != except) {
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
    m_table.read(list, m_clock.now());
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
        std::visit([&](const auto &body) { answer(received.from, message.sequence, body); }, message.body);
    } else {
        tellDropped(message);
    }
}

void Membership::tellDropped(const MembershipMessage &message)
{
    const auto incarnation = m_table.droppedIncarnation(message.sender.host);
    if (!incarnation || !message.sender.profile) {
        return;
    }
    const MemberUpdate verdict{
        .host = message.sender.host, .incarnation = *incarnation, .liveness = MemberLiveness::Dead};
    m_actions.emplace_back(SendMembershipMessage{.to = message.sender.host,
                                                 .peerAddress = message.sender.profile->peerAddress,
                                                 .message = {.body = Acknowledgement{},
                                                             .sequence = message.sequence,
                                                             .sender = m_table.update(m_options.self, true),
                                                             .updates = {verdict}}});
}

void Membership::answer(const HostId &from, std::uint32_t sequence, const Probe & /*probe*/)
{
    send(from, sequence, Acknowledgement{});
}

void Membership::answer(const HostId &from, std::uint32_t sequence, const ProbeRequest &request)
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

void Membership::answer(const HostId &from, std::uint32_t sequence, const Acknowledgement & /*acknowledgement*/)
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
    const bool ofFormerLife = claim.incarnation > m_incarnation;
    const bool wrong = claim.liveness != MemberLiveness::Alive || claim.leaving != m_leaving;
    if (ofFormerLife || (claim.incarnation == m_incarnation && wrong)) {
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
    collectNews();
    // The receiver of a probe may not know this host, but has to answer it.
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
    // A host that is thought to be dead, suspect or leaving is told so in any case, since only it can refute.
    const MemberUpdate receiver = m_table.update(to, false);
    if (receiver.liveness != MemberLiveness::Alive || receiver.leaving) {
        updates.push_back(receiver);
    }
    const double doublings = std::log2(static_cast<double>(m_table.livingCount()) + 1);
    const auto maxSends = static_cast<std::size_t>(std::ceil(sendsPerDoubling * doublings));
    const std::size_t count = std::min(m_options.updatesPerMessage - refreshedPerMessage, m_updatesLeft);
    const std::vector<HostId> news = m_gossip.take(count, maxSends);
    m_updatesLeft -= news.size();
    for (const HostId &host : news) {
        if (host != to && m_table.contains(host)) {
            updates.push_back(m_table.update(host, m_table.profileIsNews(host)));
        }
    }
    for (std::size_t refreshed = 0; refreshed < refreshedPerMessage; ++refreshed) {
        m_refreshed = m_table.following(m_refreshed);
        if (m_refreshed != to && m_refreshed != m_options.self) {
            updates.push_back(m_table.update(m_refreshed, false));
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
    // The suspicion and its refutation each need about log2 of the fleet's size hops of half a period.
    const double doublings = std::log2(static_cast<double>(m_table.livingCount()) + 1);
    return m_options.probePeriod
           + std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(m_options.probePeriod)
                                                  * (doublings / 2));
}

} // namespace Carawaymill

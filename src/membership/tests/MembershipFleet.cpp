#include "membership/tests/MembershipFleet.h"

namespace Carawaymill {

static MemberProfile profileOf(std::size_t index)
{
    return {.peerAddress = "tcp://10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7400",
            .failureDomain = FailureDomainId("domain-" + std::to_string(index % 24)),
            .region = RegionId("region-" + std::to_string(index % 7))};
}

MembershipFleet::MembershipFleet(MembershipFleetOptions options)
    : changes(options.hosts)
    , sent(options.hosts)
    , received(options.hosts)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_nodes(m_options.hosts)
{
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        m_indices.emplace(host(index), index);
    }
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        start(index, IncarnationNumber(1'790'000'000));
    }
}

void MembershipFleet::start(std::size_t index, IncarnationNumber incarnation)
{
    MembershipOptions options{
        .self = host(index), .profile = profileOf(index), .incarnation = incarnation, .seed = m_random.number()};
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (other != index) {
            options.configured.push_back({.host = host(other), .profile = profileOf(other)});
        }
    }
    if (m_options.adjust) {
        m_options.adjust(options);
    }
    m_nodes[index] = Node{.membership = std::get<Membership>(Membership::create(options))};
}

void MembershipFleet::kill(std::size_t index)
{
    m_nodes[index] = Node{};
}

void MembershipFleet::pause(std::size_t index)
{
    m_nodes[index].paused = true;
}

void MembershipFleet::resume(std::size_t index)
{
    m_nodes[index].paused = false;
    inject(index, Tick{});
    for (const MembershipMessageReceived &event : std::exchange(m_nodes[index].queuedMessages, {})) {
        inject(index, event);
    }
}

void MembershipFleet::inject(std::size_t index, const MembershipEvent &event)
{
    if (Node &node = m_nodes[index]; node.membership) {
        perform(index, node.membership->handle(event, m_now));
    }
}

void MembershipFleet::perform(std::size_t index, const std::vector<MembershipAction> &actions)
{
    for (const MembershipAction &action : actions) {
        std::visit(Overloaded{[&](const SendMembershipMessage &message) { post(index, message); },
                              [&](const MemberChanged &change) { changes[index].push_back(change); }},
                   action);
    }
}

void MembershipFleet::post(std::size_t from, const SendMembershipMessage &message)
{
    std::size_t bytes = 0;
    MembershipMessage arriving = message.message;
    if (m_options.packMessages) {
        const std::string packed = packCbor(nlohmann::json(message.message));
        bytes = packed.size();
        arriving = std::get<nlohmann::json>(unpackCbor(packed)).get<MembershipMessage>();
    }
    ++sent[from].messages;
    sent[from].bytes += bytes;
    const auto to = m_indices.find(message.to);
    if (to == m_indices.end() || (isCut && isCut(from, to->second))) {
        return;
    }
    const int copies = m_random.fraction() < m_options.duplicateRate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (m_random.fraction() >= m_options.lossRate) {
            const Duration spread = m_options.longestDelay - m_options.shortestDelay;
            const Duration delay = m_options.shortestDelay + Duration(m_random.below(spread.count() + 1));
            m_inFlight.emplace(m_now + delay, Delivery{to->second, {host(from), arriving}, bytes});
        }
    }
}

void MembershipFleet::deliverDue()
{
    while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
        const Delivery delivery = std::move(m_inFlight.extract(m_inFlight.begin()).mapped());
        Node &node = m_nodes[delivery.to];
        if (node.paused) {
            node.queuedMessages.push_back(delivery.event);
        } else if (node.membership) {
            ++received[delivery.to].messages;
            received[delivery.to].bytes += delivery.bytes;
            inject(delivery.to, delivery.event);
        }
    }
}

void MembershipFleet::run(Duration duration)
{
    runUntil([] { return false; }, duration);
}

std::optional<Duration> MembershipFleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint start = m_now;
    while (m_now < start + limit) {
        m_now += m_options.step;
        deliverDue();
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (!m_nodes[index].paused) {
                inject(index, Tick{});
            }
        }
        if (condition()) {
            return m_now - start;
        }
    }
    return std::nullopt;
}

MemberState MembershipFleet::state(std::size_t observer, std::size_t subject)
{
    return at(observer).state(host(subject)).value_or(MemberState::Dead);
}

bool MembershipFleet::allSee(std::size_t subject, MemberState expected)
{
    for (std::size_t observer = 0; observer < m_nodes.size(); ++observer) {
        if (observer != subject && m_nodes[observer].membership && state(observer, subject) != expected) {
            return false;
        }
    }
    return true;
}

bool MembershipFleet::allSeeAllAlive()
{
    for (std::size_t subject = 0; subject < m_nodes.size(); ++subject) {
        if (!allSee(subject, MemberState::Alive)) {
            return false;
        }
    }
    return true;
}

HostListRead MembershipFleet::fullList() const
{
    HostListRead list;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        const MemberProfile profile = profileOf(index);
        list.hosts.push_back({.host = host(index),
                              .state = HostListState::Live,
                              .peerAddress = profile.peerAddress,
                              .failureDomain = profile.failureDomain,
                              .region = profile.region});
    }
    return list;
}

} // namespace Carawaymill

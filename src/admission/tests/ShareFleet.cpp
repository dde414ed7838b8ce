#include "admission/tests/ShareFleet.h"

namespace Carawaymill {

ShareFleet::ShareFleet(ShareFleetOptions options)
    : sentBytes(options.hosts)
    , receivedBytes(options.hosts)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_nodes(m_options.hosts)
{
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        m_indices.emplace(host(index), index);
        start(index);
    }
    setViews([](std::size_t /*observer*/, std::size_t /*subject*/) { return true; }, m_options.hosts);
    m_options.firstStartOfDeployment = false;
}

void ShareFleet::start(std::size_t index)
{
    m_nodes[index] =
        std::get<SharedLimits>(SharedLimits::create({.self = host(index),
                                                     .epoch = ProcessEpoch(++m_epoch),
                                                     .firstStartOfDeployment = m_options.firstStartOfDeployment},
                                                    m_now));
    inject(index, LimitsRead{.limits = m_options.limits});
}

void ShareFleet::kill(std::size_t index)
{
    m_nodes[index] = std::nullopt;
}

void ShareFleet::setViews(const std::function<bool(std::size_t observer, std::size_t subject)> &sees, std::size_t known)
{
    for (std::size_t observer = 0; observer < m_nodes.size(); ++observer) {
        FleetChanged view{.knownHosts = known, .aliveHosts = {}};
        for (std::size_t subject = 0; subject < known; ++subject) {
            if (subject == observer || sees(observer, subject)) {
                view.aliveHosts.push_back(host(subject));
            }
        }
        inject(observer, view);
    }
}

void ShareFleet::inject(std::size_t index, const SharedLimitsEvent &event)
{
    if (!m_nodes[index]) {
        return;
    }
    for (const SharedLimitsAction &action : m_nodes[index]->handle(event, m_now)) {
        post(index, std::get<SendShareMessage>(action));
    }
}

void ShareFleet::post(std::size_t from, const SendShareMessage &message)
{
    std::size_t bytes = 0;
    ShareMessage arriving = message.message;
    if (m_options.packMessages) {
        const std::string packed = packCbor(nlohmann::json(message.message));
        bytes = packed.size();
        arriving = std::get<nlohmann::json>(unpackCbor(packed)).get<ShareMessage>();
    }
    sentBytes[from] += bytes;
    const std::size_t to = m_indices.at(message.to);
    if (isCut && isCut(from, to)) {
        return;
    }
    const int copies = m_random.fraction() < m_options.duplicateRate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (m_random.fraction() >= m_options.lossRate) {
            const Duration delay(m_random.below(m_options.longestDelay.count()) + 1);
            m_inFlight.emplace(m_now + delay, Delivery{to, {host(from), arriving}, bytes});
        }
    }
}

void ShareFleet::deliverDue()
{
    while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
        const Delivery delivery = std::move(m_inFlight.extract(m_inFlight.begin()).mapped());
        receivedBytes[delivery.to] += delivery.bytes;
        inject(delivery.to, delivery.event);
    }
}

void ShareFleet::run(Duration duration)
{
    const TimePoint end = m_now + duration;
    while (m_now < end) {
        m_now += m_options.step;
        deliverDue();
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            inject(index, Tick{});
        }
        if (onStep) {
            onStep();
        }
    }
}

std::uint64_t ShareFleet::sum(const LimitName &limit)
{
    std::uint64_t sum = 0;
    for (auto &node : m_nodes) {
        sum += node ? node->share(limit, m_now).value() : 0;
    }
    return sum;
}

} // namespace Carawaymill

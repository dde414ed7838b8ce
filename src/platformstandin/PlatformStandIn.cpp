#include "platformstandin/PlatformStandIn.h"

#include "support/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace Carawaymill {

static constexpr std::chrono::milliseconds tickInterval(10);

class PlatformStandIn::Timer
{
public:
    explicit Timer(boost::asio::io_context &context)
        : m_timer(context)
    {
    }

    void wait(PlatformStandIn &platform)
    {
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([&platform](const boost::system::error_code &error) {
            if (!error) {
                platform.tick();
            }
        });
    }

private:
    boost::asio::steady_timer m_timer;
};

PlatformStandIn::PlatformStandIn(boost::asio::io_context &context)
    : m_context(context)
    , m_store(context)
    , m_timer(std::make_unique<Timer>(context))
{
    m_timer->wait(*this);
}

PlatformStandIn::~PlatformStandIn() = default;

void PlatformStandIn::publish(PublishedConfiguration configuration)
{
    m_configuration = std::move(configuration);
    writeConfiguration(readBootClock());
}

TargetStandIn &PlatformStandIn::addTarget(TargetStandInOptions options)
{
    TargetStandIn &target = *m_targets.emplace_back(std::make_unique<TargetStandIn>(m_context, std::move(options)));
    writeRecord(target, readBootClock());
    return target;
}

void PlatformStandIn::removeRecord(const TargetId &target)
{
    m_store.remove("servers/" + target.value(), readBootClock());
}

EndlessTargetStandIn &
PlatformStandIn::addEndlessTarget(const TargetId &id, const ServiceId &service, EndlessResponse response)
{
    EndlessTargetStandIn &target =
        *m_endlessTargets.emplace_back(std::make_unique<EndlessTargetStandIn>(m_context, std::move(response)));
    m_store.write("servers/" + id.value(), target.record(service, FailureDomainId("zone-1")).dump(), readBootClock());
    return target;
}

HostLinks &PlatformStandIn::addHostLinks()
{
    return *m_hostLinks.emplace_back(std::make_unique<HostLinks>(m_context, m_store));
}

void PlatformStandIn::returnStoreFromCopy(Duration rewriteDelay)
{
    m_store.returnFromCopy();
    m_rewriteAt = readBootClock() + rewriteDelay;
}

void PlatformStandIn::tick()
{
    const TimePoint now = readBootClock();
    for (const auto &target : m_targets) {
        target->tick(now);
        if (target->takeRecordChange()) {
            writeRecord(*target, now);
        }
    }
    if (m_rewriteAt && now >= *m_rewriteAt) {
        m_rewriteAt.reset();
        writeConfiguration(now);
        for (const auto &target : m_targets) {
            writeRecord(*target, now);
        }
    }
    m_store.tick(now);
    m_timer->wait(*this);
}

void PlatformStandIn::writeConfiguration(TimePoint now)
{
    if (m_configuration) {
        m_store.write("op/config", encodeConfiguration(*m_configuration), now);
    }
}

void PlatformStandIn::writeRecord(const TargetStandIn &target, TimePoint now)
{
    m_store.write("servers/" + target.options().id.value(), target.record().dump(), now);
}

} // namespace Carawaymill

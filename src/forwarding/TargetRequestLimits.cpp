#include "forwarding/TargetRequestLimits.h"

#include <algorithm>
#include <limits>

namespace Carawaymill {

/// Fewer shards than by default, since limited targets are few and each exchange lists the loan of every shard.
static constexpr std::uint16_t shards = 16;
/// Short, because a restarted host lends nothing before the loans of its former process have ended.
static constexpr Duration shortestRenewal = 250ms;
/// In requests per second. A target that states a lower limit gets this much, since only a response can state that the
/// limit has ended.
static constexpr double lowestLimit = 0.1;

TargetRequestLimits::TargetRequestLimits(TargetRequestLimitsOptions options)
    : m_options(std::move(options))
{
}

SharedLimits &TargetRequestLimits::sharedLimits(TimePoint now)
{
    if (!m_sharedLimits) {
        m_sharedLimits =
            std::get<SharedLimits>(SharedLimits::create({.self = m_options.self,
                                                         .epoch = ProcessEpoch(m_options.incarnation.value()),
                                                         .shards = shards,
                                                         .shortestRenewal = shortestRenewal,
                                                         .firstStartOfDeployment = m_options.firstStartOfDeployment},
                                                        now));
    }
    return *m_sharedLimits;
}

static LimitName limitName(const TargetId &target)
{
    return LimitName("target/" + target.value());
}

void TargetRequestLimits::updateLimits(TimePoint now)
{
    m_outdated = false;
    LimitsRead read;
    for (const auto &[target, statement] : m_statements) {
        read.limits.push_back({.name = limitName(target),
                               .limits = {.requestsPerSecond = std::max(statement.requestsPerSecond, lowestLimit),
                                          .tokensPerSecond = std::numeric_limits<float>::max(),
                                          .jobsInProgress = std::numeric_limits<std::uint32_t>::max()}});
    }
    // Limits that were read need no messages before the next tick.
    (void)sharedLimits(now).handle(read, now);
}

std::vector<SharedLimitsAction> TargetRequestLimits::handle(const TargetRequestLimitsEvent &event, TimePoint now)
{
    const auto isForgotten = [&](const auto &entry) { return now - entry.second.at >= m_options.statementRetention; };
    if (std::erase_if(m_statements, isForgotten) > 0 || m_outdated) {
        updateLimits(now);
    }
    return std::visit([&](const auto &concrete) { return sharedLimits(now).handle(concrete, now); }, event);
}

bool TargetRequestLimits::recordStatement(const TargetId &target,
                                          IncarnationNumber incarnation,
                                          std::optional<double> requestsPerSecond,
                                          TimePoint now)
{
    if (!requestsPerSecond) {
        const bool wasLimited = m_statements.erase(target) > 0;
        if (wasLimited) {
            updateLimits(now);
        }
        return wasLimited;
    }
    const Statement stated{.incarnation = incarnation, .requestsPerSecond = *requestsPerSecond, .at = now};
    const auto [entry, isNew] = m_statements.try_emplace(target, stated);
    const bool changed = isNew || entry->second.requestsPerSecond != *requestsPerSecond;
    entry->second = stated;
    if (changed) {
        updateLimits(now);
    }
    return changed;
}

void TargetRequestLimits::listed(const TargetId &target, IncarnationNumber incarnation)
{
    const auto found = m_statements.find(target);
    if (found != m_statements.end() && found->second.incarnation != incarnation) {
        m_statements.erase(found);
        m_outdated = true;
    }
}

bool TargetRequestLimits::tryTake(const TargetId &target, bool isNew, TimePoint now)
{
    if (!m_statements.contains(target)) {
        return true;
    }
    const auto reserved = sharedLimits(now).reserve({limitName(target)}, TokenCount(), isNew, now);
    if (const auto *reservation = std::get_if<LimitReservation>(&reserved)) {
        // Only the rate of requests is limited, not how many are in progress.
        sharedLimits(now).settle(*reservation, TokenCount(), now);
        return true;
    }
    ++m_refusals;
    return false;
}

std::set<TargetId> TargetRequestLimits::withoutRoom(TimePoint now)
{
    std::set<TargetId> full;
    for (const auto &[target, statement] : m_statements) {
        if (!sharedLimits(now).hasRoom(limitName(target), TokenCount(), now)) {
            full.insert(target);
        }
    }
    return full;
}

} // namespace Carawaymill

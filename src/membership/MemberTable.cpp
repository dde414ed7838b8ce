#include "membership/MemberTable.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace Carawaymill {

/// Longer than gossip on a dropped host keeps circulating.
static constexpr Duration tombstoneRetention = 10min;
/// A suspect is probed once more after this part of the suspicion timeout. By then most refutations have spread, and
/// there is still time for an acknowledgement.
static constexpr int probeAgainPercent = 60;

MemberTable::MemberTable(Duration dropDelay)
    : m_dropDelay(dropDelay)
{
}

MemberState MemberTable::stateOf(const Record &record)
{
    if (record.liveness == MemberLiveness::Dead) {
        return MemberState::Dead;
    }
    if (record.leaving || record.listed == HostListState::Leaving || record.dropDelayPassed) {
        return MemberState::Leaving;
    }
    return record.liveness == MemberLiveness::Suspect ? MemberState::Suspect : MemberState::Alive;
}

void MemberTable::report(const HostId &host, Record &record)
{
    const MemberState state = stateOf(record);
    if (record.reported == state) {
        return;
    }
    const bool wasLiving = record.reported && record.reported != MemberState::Dead;
    const bool isLiving = state != MemberState::Dead;
    m_livingCount += static_cast<std::size_t>(isLiving) - static_cast<std::size_t>(wasLiving);
    record.reported = state;
    m_changes.push_back({.host = host, .state = state});
}

void MemberTable::add(const HostId &host, const MemberProfile &profile)
{
    const auto [entry, added] = m_records.emplace(host, Record{.profile = profile});
    if (added) {
        report(host, entry->second);
    }
}

void MemberTable::setSelf(const HostId &self, const MemberProfile &profile, IncarnationNumber incarnation, bool leaving)
{
    Record &record = m_records[self];
    record.gossipsProfile = record.gossipsProfile || record.incarnation == IncarnationNumber(0);
    record.profile = profile;
    record.incarnation = incarnation;
    record.leaving = leaving;
    m_updatedHosts.push_back(self);
    report(self, record);
}

bool MemberTable::supersedes(const MemberUpdate &update, const Record &record) const
{
    if (update.incarnation != record.incarnation) {
        return update.incarnation > record.incarnation;
    }
    return update.liveness != MemberLiveness::Alive && record.liveness == MemberLiveness::Alive;
}

void MemberTable::addFromGossip(const MemberUpdate &update)
{
    const auto tombstone = m_tombstones.find(update.host);
    const bool old = tombstone != m_tombstones.end() && update.incarnation <= tombstone->second.incarnation;
    if (old || !update.profile || update.liveness != MemberLiveness::Alive) {
        return;
    }
    Record record{.profile = *update.profile, .incarnation = update.incarnation, .leaving = update.leaving};
    record.gossipsProfile = true;
    m_tombstones.erase(update.host);
    const auto entry = m_records.emplace(update.host, record).first;
    m_updatedHosts.push_back(update.host);
    report(update.host, entry->second);
}

void MemberTable::apply(const MemberUpdate &update, Duration suspicionTimeout, TimePoint now)
{
    const auto found = m_records.find(update.host);
    if (found == m_records.end()) {
        addFromGossip(update);
        return;
    }
    Record &record = found->second;
    if (!supersedes(update, record)) {
        return;
    }
    const bool isFirstUpdate = record.incarnation == IncarnationNumber(0);
    record.incarnation = update.incarnation;
    record.leaving = update.leaving;
    if (update.profile) {
        record.gossipsProfile = record.gossipsProfile || record.profile != *update.profile;
        record.profile = *update.profile;
    }
    // A Dead update from another host only causes a suspicion: the subject has the whole timeout to refute it.
    const MemberLiveness liveness = std::min(update.liveness, MemberLiveness::Suspect);
    if (isFirstUpdate && !update.leaving && liveness == MemberLiveness::Alive && record.liveness == liveness) {
        // A host that has just started receives the incarnations of all others; they are not gossiped further.
        return;
    }
    setLiveness(update.host, record, liveness, suspicionTimeout, now);
}

void MemberTable::setLiveness(
    const HostId &host, Record &record, MemberLiveness liveness, Duration suspicionTimeout, TimePoint now)
{
    record.liveness = liveness;
    record.suspicionEnd = now + suspicionTimeout;
    record.probeAgainAt = std::nullopt;
    if (liveness == MemberLiveness::Suspect) {
        record.probeAgainAt = now + suspicionTimeout * probeAgainPercent / 100;
    }
    record.gossipsProfile = record.gossipsProfile && liveness == MemberLiveness::Alive;
    m_updatedHosts.push_back(host);
    report(host, record);
}

void MemberTable::suspect(const HostId &host, Duration suspicionTimeout, TimePoint now)
{
    const auto found = m_records.find(host);
    if (found != m_records.end() && found->second.liveness == MemberLiveness::Alive) {
        setLiveness(host, found->second, MemberLiveness::Suspect, suspicionTimeout, now);
    }
}

void MemberTable::applyListedHost(const ListedHost &listed)
{
    const MemberProfile profile{
        .peerAddress = listed.peerAddress, .failureDomain = listed.failureDomain, .region = listed.region};
    const auto [entry, added] = m_records.emplace(listed.host, Record{.profile = profile});
    Record &record = entry->second;
    if (added) {
        m_tombstones.erase(listed.host);
    }
    // A profile from the host itself is newer than the list's, unless the host is dead.
    if (record.incarnation == IncarnationNumber(0) || record.liveness == MemberLiveness::Dead) {
        record.profile = profile;
    }
    record.listed = listed.state;
    record.missingSince = std::nullopt;
    record.dropDelayPassed = false;
    report(listed.host, record);
}

void MemberTable::applyHostList(const HostListRead &list, TimePoint now)
{
    if (list.hosts.empty()) {
        return;
    }
    std::set<HostId> shown;
    for (const ListedHost &host : list.hosts) {
        shown.insert(host.host);
        applyListedHost(host);
    }
    for (auto &[host, record] : m_records) {
        if (record.listed && !record.missingSince && !shown.contains(host)) {
            record.missingSince = now;
        }
    }
}

void MemberTable::drop(const HostId &host, TimePoint now)
{
    m_tombstones[host] = {.incarnation = m_records.at(host).incarnation, .expiry = now + tombstoneRetention};
    m_records.erase(host);
}

void MemberTable::expire(TimePoint now)
{
    std::vector<HostId> dropped;
    for (auto &[host, record] : m_records) {
        if (record.liveness == MemberLiveness::Suspect && now >= record.suspicionEnd) {
            setLiveness(host, record, MemberLiveness::Dead, Duration(0), now);
        } else if (record.probeAgainAt && now >= *record.probeAgainAt) {
            record.probeAgainAt = std::nullopt;
            m_suspectsToProbe.push_back(host);
        }
        if (record.missingSince && now >= *record.missingSince + m_dropDelay) {
            record.dropDelayPassed = true;
            report(host, record);
            if (record.liveness == MemberLiveness::Dead) {
                dropped.push_back(host);
            }
        }
    }
    for (const HostId &host : dropped) {
        drop(host, now);
    }
    std::erase_if(m_tombstones, [&](const auto &entry) { return now >= entry.second.expiry; });
}

std::optional<MemberState> MemberTable::state(const HostId &host) const
{
    const auto found = m_records.find(host);
    return found == m_records.end() ? std::nullopt : std::optional(stateOf(found->second));
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> members;
    members.reserve(m_records.size());
    for (const auto &[host, record] : m_records) {
        members.push_back(
            {.host = host, .state = stateOf(record), .profile = record.profile, .incarnation = record.incarnation});
    }
    return members;
}

std::optional<IncarnationNumber> MemberTable::droppedIncarnation(const HostId &host) const
{
    const auto found = m_tombstones.find(host);
    return found == m_tombstones.end() ? std::nullopt : std::optional(found->second.incarnation);
}

bool MemberTable::listedAsLeaving(const HostId &host) const
{
    const auto found = m_records.find(host);
    return found != m_records.end() && found->second.listed == HostListState::Leaving;
}

MemberUpdate MemberTable::update(const HostId &host, bool withProfile) const
{
    const Record &record = m_records.at(host);
    return {.host = host,
            .incarnation = record.incarnation,
            .liveness = record.liveness,
            .leaving = record.leaving,
            .profile = withProfile ? std::optional(record.profile) : std::nullopt};
}

bool MemberTable::gossipsProfile(const HostId &host) const
{
    return m_records.at(host).gossipsProfile;
}

HostId MemberTable::following(const HostId &host) const
{
    assert(!m_records.empty());
    const auto next = m_records.upper_bound(host);
    return next == m_records.end() ? m_records.begin()->first : next->first;
}

std::vector<MemberChanged> MemberTable::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<HostId> MemberTable::takeSuspectsToProbe()
{
    return std::exchange(m_suspectsToProbe, {});
}

std::vector<HostId> MemberTable::takeUpdatedHosts()
{
    return std::exchange(m_updatedHosts, {});
}

} // namespace Carawaymill

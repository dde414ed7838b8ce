#include "forwarding/DirectoryReplica.h"

#include "support/Seconds.h"

#include <algorithm>
#include <set>

namespace Carawaymill {

DirectoryReplica::DirectoryReplica(DirectoryReplicaOptions options)
    : m_options(std::move(options))
    , m_watch({.prefix = m_options.format.directoryPrefix,
               .seed = m_options.seed,
               .wait = m_options.watchWait,
               .minimumInterval = m_options.minimumInterval})
{
}

std::vector<DirectoryReplicaAction> DirectoryReplica::handle(const DirectoryReplicaEvent &event, TimePoint now)
{
    Actions actions;
    if (const auto *change = std::get_if<StoreEraChanged>(&event); change != nullptr && change->restored) {
        m_watch.restart(now);
        m_restored = true;
        m_graceUntil.reset();
    } else if (const auto *reply = std::get_if<KeyValueReply>(&event)) {
        applyReply(*reply, now, actions);
    } else if (const auto *responded = std::get_if<ServiceResponded>(&event)) {
        recordAvailable(responded->at, now);
    }
    if (m_graceUntil && now >= *m_graceUntil) {
        m_graceUntil.reset();
        m_watch.restart(now);
    }
    if (auto call = m_watch.nextCall(now)) {
        actions.emplace_back(std::move(*call));
    }
    std::vector<TargetId> expired;
    for (const auto &[target, unlistAt] : m_missing) {
        if (now >= unlistAt) {
            expired.push_back(target);
        }
    }
    for (const TargetId &target : expired) {
        unlist(target, now, actions);
    }
    return actions;
}

void DirectoryReplica::applyReply(const KeyValueReply &reply, TimePoint now, Actions &actions)
{
    const auto confirmedBefore = m_watch.confirmedAt();
    const auto update = m_watch.handle(reply, now);
    if (!update) {
        return;
    }
    recordAvailable(*m_watch.confirmedAt(), now);
    Source source = Source::Current;
    if (m_restored && update->complete) {
        m_restored = false;
        m_graceUntil = now + m_options.restoreGracePeriod;
        source = Source::OlderCopy;
    }
    const TimePoint unlistAt = std::max({now, m_outageGraceUntil, m_graceUntil.value_or(now)});
    const std::map<TargetId, TimePoint> missingBefore = m_missing;
    apply(*update, source, now, unlistAt, actions);
    if (unlistAt > now) {
        const Duration unconfirmed = now - confirmedBefore.value_or(now);
        for (const auto &[target, at] : m_missing) {
            if (!missingBefore.contains(target)) {
                actions.emplace_back(
                    TargetMissing{.target = target, .gracePeriod = unlistAt - now, .unconfirmed = unconfirmed});
            }
        }
    }
}

void DirectoryReplica::recordAvailable(TimePoint at, TimePoint now)
{
    // Failed calls of this host alone say nothing of an outage: it may be cut off from the service.
    if (m_availableAt && at - *m_availableAt >= m_options.shortestOutage) {
        m_outageGraceUntil = now + m_options.restoreGracePeriod;
    }
    m_availableAt = std::max(m_availableAt.value_or(at), at);
}

TargetId DirectoryReplica::targetOf(const std::string &key) const
{
    return TargetId(key.substr(m_options.format.directoryPrefix.size()));
}

void DirectoryReplica::apply(
    const RangeUpdate &update, Source source, TimePoint now, TimePoint unlistAt, Actions &actions)
{
    std::set<TargetId> present;
    for (const KeyValueRecord &record : update.written) {
        present.insert(targetOf(record.key));
        list(record, source, now, actions);
    }
    for (const std::string &key : update.deletedKeys) {
        m_missing.try_emplace(targetOf(key), unlistAt);
    }
    if (update.complete) {
        m_loaded = true;
        for (const auto &[id, target] : m_targets) {
            if (!present.contains(id)) {
                m_missing.try_emplace(id, unlistAt);
            }
        }
    }
}

void DirectoryReplica::list(const KeyValueRecord &record, Source source, TimePoint now, Actions &actions)
{
    const TargetId id = targetOf(record.key);
    auto read = m_options.format.readTarget(id, record.value);
    if (const auto *failure = std::get_if<DecodeFailure>(&read)) {
        actions.emplace_back(TargetRecordIgnored{.key = record.key, .reason = failure->field});
        unlist(id, now, actions);
        return;
    }
    auto &target = std::get<DirectoryTarget>(read);
    if (isOfRemoved(target, record.revision, source)) {
        return;
    }
    if (source == Source::OlderCopy) {
        keepNewer(target, record.revision);
    }
    if (!supersede(target, now, actions)) {
        unlist(id, now, actions);
        return;
    }
    m_missing.erase(id);
    m_removed.erase(id);
    m_revisions[id] = record.revision;
    const auto [known, isNew] = m_targets.try_emplace(id, target);
    if (!isNew && known->second == target) {
        return;
    }
    known->second = target;
    actions.emplace_back(TargetListed{std::move(target)});
}

bool DirectoryReplica::supersede(const DirectoryTarget &target, TimePoint now, Actions &actions)
{
    std::vector<TargetId> superseded;
    for (const auto &[id, known] : m_targets) {
        if (id == target.id || known.address != target.address) {
            continue;
        }
        if (known.incarnation > target.incarnation) {
            return false;
        }
        superseded.push_back(id);
    }
    for (const TargetId &id : superseded) {
        unlist(id, now, actions);
    }
    return true;
}

bool DirectoryReplica::isOfRemoved(const DirectoryTarget &target, Revision revision, Source source)
{
    const auto removed = m_removed.find(target.id);
    if (removed == m_removed.end() || removed->second.incarnation < target.incarnation) {
        return false;
    }
    if (source == Source::OlderCopy) {
        removed->second.ignored = revision;
    }
    return removed->second.ignored == revision;
}

void DirectoryReplica::keepNewer(DirectoryTarget &target, Revision revision) const
{
    const auto known = m_targets.find(target.id);
    if (known == m_targets.end() || known->second.incarnation < target.incarnation) {
        return;
    }
    const bool isSame = known->second.incarnation == target.incarnation;
    if (isSame && revision > m_revisions.at(target.id)) {
        return;
    }
    const bool leaving = known->second.leaving || (isSame && target.leaving);
    target = known->second;
    target.leaving = leaving;
}

void DirectoryReplica::unlist(const TargetId &target, TimePoint now, Actions &actions)
{
    m_missing.erase(target);
    m_revisions.erase(target);
    if (const auto known = m_targets.extract(target)) {
        std::erase_if(m_removed,
                      [&](const auto &entry) { return now - entry.second.removedAt > m_options.removedRetention; });
        m_removed.insert_or_assign(target, RemovedTarget{.incarnation = known.mapped().incarnation, .removedAt = now});
        actions.emplace_back(TargetUnlisted{target});
    }
}

std::string describe(const TargetListed &listed)
{
    const DirectoryTarget &target = listed.target;
    std::string line = "Directory: event=listed target=" + target.id.value() + " address=" + target.address
                       + " domain=" + target.failureDomain.value()
                       + (target.leaving ? " state=leaving" : " state=ready") + " kind=" + target.acceleratorKind
                       + " incarnation=" + std::to_string(target.incarnation.value()) + " layers=";
    for (const ModelLayers &layers : target.held) {
        line += std::to_string(layers.layers.first.value()) + '-' + std::to_string(layers.layers.end.value()) + ' ';
    }
    return line;
}

std::string describe(const TargetUnlisted &unlisted)
{
    return "Directory: event=unlisted target=" + unlisted.target.value();
}

std::string describe(const TargetMissing &missing)
{
    return "Directory: event=missing target=" + missing.target.value()
           + " kept_ms=" + std::to_string(wholeMilliseconds(missing.gracePeriod))
           + " unconfirmed_ms=" + std::to_string(wholeMilliseconds(missing.unconfirmed));
}

std::string describe(const TargetRecordIgnored &ignored)
{
    return "Directory: event=ignored key=" + ignored.key + " reason=\"" + ignored.reason + "\"";
}

} // namespace Carawaymill

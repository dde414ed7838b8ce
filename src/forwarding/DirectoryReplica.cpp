#include "forwarding/DirectoryReplica.h"

#include <set>

namespace Carawaymill {

/// Number of consecutive failed calls from which the service is considered to have had an outage.
static constexpr std::uint32_t outageFailureThreshold = 2;

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
    const std::uint32_t failures = m_watch.failures();
    if (const auto *reply = std::get_if<KeyValueReply>(&event)) {
        if (const auto update = m_watch.handle(*reply, now)) {
            const TimePoint unlistAt =
                now + (failures >= outageFailureThreshold ? m_options.restoreGracePeriod : Duration::zero());
            apply(*update, unlistAt, actions);
        }
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
        unlist(target, actions);
    }
    return actions;
}

TargetId DirectoryReplica::targetOf(const std::string &key) const
{
    return TargetId(key.substr(m_options.format.directoryPrefix.size()));
}

void DirectoryReplica::apply(const RangeUpdate &update, TimePoint unlistAt, Actions &actions)
{
    std::set<TargetId> present;
    for (const KeyValueRecord &record : update.written) {
        present.insert(targetOf(record.key));
        list(record, actions);
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

void DirectoryReplica::list(const KeyValueRecord &record, Actions &actions)
{
    const TargetId id = targetOf(record.key);
    auto read = m_options.format.readTarget(id, record.value);
    if (const auto *failure = std::get_if<DecodeFailure>(&read)) {
        actions.emplace_back(TargetRecordIgnored{.key = record.key, .reason = failure->field});
        unlist(id, actions);
        return;
    }
    auto &target = std::get<DirectoryTarget>(read);
    if (!supersede(target, actions)) {
        unlist(id, actions);
        return;
    }
    m_missing.erase(id);
    const auto [known, isNew] = m_targets.try_emplace(id, target);
    if (!isNew && known->second == target) {
        return;
    }
    known->second = target;
    actions.emplace_back(TargetListed{std::move(target)});
}

bool DirectoryReplica::supersede(const DirectoryTarget &target, Actions &actions)
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
        unlist(id, actions);
    }
    return true;
}

void DirectoryReplica::unlist(const TargetId &target, Actions &actions)
{
    m_missing.erase(target);
    if (m_targets.erase(target) > 0) {
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

std::string describe(const TargetRecordIgnored &ignored)
{
    return "Directory: event=ignored key=" + ignored.key + " reason=\"" + ignored.reason + "\"";
}

} // namespace Carawaymill

#pragma once

#include "forwarding/PublicationFormat.h"
#include "forwarding/RangeWatch.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Carawaymill {

struct DirectoryReplicaOptions
{
    PublicationFormat format;
    std::uint64_t seed = 0;
    /// A change may stay unknown for so long: much less than a leaving target goes on serving.
    Duration leastInterval = 250ms;
    /// A silent connection to the service goes unnoticed for about so long.
    Duration watchWait = 1200ms;
    /// Records that lapsed while the service was away come back within this time; one that is still missing is gone.
    Duration returnGrace = 1900ms;
};

/// Action: the target is new, or something about it has changed.
struct TargetListed
{
    DirectoryTarget target;
};

/// Action: the target is gone.
struct TargetUnlisted
{
    TargetId target;
};

/// Action, for the log: a record that names no usable target.
struct TargetRecordIgnored
{
    std::string key;
    std::string reason;
};

using DirectoryReplicaAction = std::variant<KeyValueCall, TargetListed, TargetUnlisted, TargetRecordIgnored>;

/// Follows the directory in which targets register themselves.
class DirectoryReplica
{
public:
    explicit DirectoryReplica(DirectoryReplicaOptions options);

    [[nodiscard]] std::vector<DirectoryReplicaAction> handle(const std::variant<Tick, KeyValueReply> &event,
                                                             TimePoint now);

    [[nodiscard]] const std::map<TargetId, DirectoryTarget> &targets() const { return m_targets; }

    /// Whether the directory has been read at least once.
    [[nodiscard]] bool isLoaded() const { return m_loaded; }

private:
    using Actions = std::vector<DirectoryReplicaAction>;

    /// Records that are missing count as gone at `goneAt`.
    void take(const RangeUpdate &update, TimePoint goneAt, Actions &actions);
    void list(const KeyValueRecord &record, Actions &actions);
    /// Takes off an earlier target at the same address, whose process has ended; false if `target` is the earlier one.
    [[nodiscard]] bool supersede(const DirectoryTarget &target, Actions &actions);
    void unlist(const TargetId &target, Actions &actions);
    [[nodiscard]] TargetId targetOf(const std::string &key) const;

    DirectoryReplicaOptions m_options;
    RangeWatch m_watch;
    std::map<TargetId, DirectoryTarget> m_targets;
    /// Targets that were missing after an outage of the service, and when they count as gone.
    std::map<TargetId, TimePoint> m_missing;
    bool m_loaded = false;
};

[[nodiscard]] std::string describe(const TargetListed &listed);
[[nodiscard]] std::string describe(const TargetUnlisted &unlisted);
[[nodiscard]] std::string describe(const TargetRecordIgnored &ignored);

} // namespace Carawaymill

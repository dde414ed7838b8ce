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
    /// Least time between two calls, which delays changes by as much: far shorter than a leaving target keeps serving.
    Duration minimumInterval = 250ms;
    /// Longest time that a watch waits for a change; a connection that stopped responding goes unnoticed for about as
    /// long.
    Duration watchWait = 1200ms;
    /// Targets whose records expired during an outage of the service register again within this time; a target whose
    /// record is still missing afterwards is unlisted.
    Duration restoreGracePeriod = 1900ms;
};

/// Action: a target was added, or its record has changed.
struct TargetListed
{
    DirectoryTarget target;
};

/// Action: a target was removed.
struct TargetUnlisted
{
    TargetId target;
};

/// Action, for the log: a record was ignored because it is malformed.
struct TargetRecordIgnored
{
    std::string key;
    std::string reason;
};

using DirectoryReplicaAction = std::variant<KeyValueCall, TargetListed, TargetUnlisted, TargetRecordIgnored>;

using DirectoryReplicaEvent = std::variant<Tick, KeyValueReply, StoreEraChanged>;

/// Replicates the directory in which targets register themselves.
class DirectoryReplica
{
public:
    explicit DirectoryReplica(DirectoryReplicaOptions options);

    [[nodiscard]] std::vector<DirectoryReplicaAction> handle(const DirectoryReplicaEvent &event, TimePoint now);

    [[nodiscard]] const std::map<TargetId, DirectoryTarget> &targets() const { return m_targets; }

    /// Whether the complete directory has been read at least once.
    [[nodiscard]] bool isLoaded() const { return m_loaded; }

private:
    using Actions = std::vector<DirectoryReplicaAction>;

    /// Targets whose records are missing are unlisted at `unlistAt`.
    void apply(const RangeUpdate &update, TimePoint unlistAt, Actions &actions);
    /// Lists the target of the record, or unlists it if the record is malformed or superseded.
    void list(const KeyValueRecord &record, Actions &actions);
    /// Unlists a target with a lower incarnation at the same address, whose process has terminated. Returns false if
    /// `target` itself has the lower incarnation.
    [[nodiscard]] bool supersede(const DirectoryTarget &target, Actions &actions);
    void unlist(const TargetId &target, Actions &actions);
    [[nodiscard]] TargetId targetOf(const std::string &key) const;

    DirectoryReplicaOptions m_options;
    RangeWatch m_watch;
    std::map<TargetId, DirectoryTarget> m_targets;
    /// Targets whose records are missing, and when they are unlisted.
    std::map<TargetId, TimePoint> m_missing;
    bool m_loaded = false;
};

/// Log lines of the actions.
[[nodiscard]] std::string describe(const TargetListed &listed);
[[nodiscard]] std::string describe(const TargetUnlisted &unlisted);
[[nodiscard]] std::string describe(const TargetRecordIgnored &ignored);

} // namespace Carawaymill

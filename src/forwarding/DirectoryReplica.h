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
    /// Shorter outages end no record of a sound target: a record is written every 1.2 s and expires after three missed
    /// writes.
    Duration shortestOutage = 2200ms;
    /// Removed targets are remembered for this time, well above the age of the copy that the service may return from.
    Duration removedRetention = 60s;
};

/// Event: the service has answered a call of this host or of another one that was sent at `at` or later.
struct ServiceResponded
{
    TimePoint at;
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

/// Action, for the log: a target's record is missing, and the target stays listed for a grace period.
struct TargetMissing
{
    TargetId target;
    Duration gracePeriod{};
    /// Time between the last two confirmations of the directory, in which the service was out of reach.
    Duration unconfirmed{};
};

/// Action, for the log: a record was ignored because it is malformed.
struct TargetRecordIgnored
{
    std::string key;
    std::string reason;
};

using DirectoryReplicaAction =
    std::variant<KeyValueCall, TargetListed, TargetUnlisted, TargetMissing, TargetRecordIgnored>;

using DirectoryReplicaEvent = std::variant<Tick, KeyValueReply, StoreEraChanged, ServiceResponded>;

/// Replicates the directory in which targets register themselves.
class DirectoryReplica
{
public:
    explicit DirectoryReplica(DirectoryReplicaOptions options);

    [[nodiscard]] std::vector<DirectoryReplicaAction> handle(const DirectoryReplicaEvent &event, TimePoint now);

    /// Makes a call that a failure has delayed due at the next tick: the service has answered another call.
    void endDelay(TimePoint now) { m_watch.endDelay(now); }

    [[nodiscard]] const std::map<TargetId, DirectoryTarget> &targets() const { return m_targets; }

    /// Whether the complete directory has been read at least once.
    [[nodiscard]] bool isLoaded() const { return m_loaded; }

private:
    using Actions = std::vector<DirectoryReplicaAction>;

    /// Which state of the directory an update is from.
    enum class Source {
        Current,
        /// An older copy that the service returned from; its targets may not have written their records again.
        OlderCopy,
    };

    struct RemovedTarget
    {
        IncarnationNumber incarnation;
        TimePoint removedAt;
        /// Revision of its record in the older copy, which is ignored.
        std::optional<Revision> ignored = std::nullopt;
    };

    void applyReply(const KeyValueReply &reply, TimePoint now, Actions &actions);
    /// Records that the service was available at `at`, and begins a grace period if that ends an outage.
    void recordAvailable(TimePoint at, TimePoint now);
    /// Targets whose records are missing are unlisted at `unlistAt`.
    void apply(const RangeUpdate &update, Source source, TimePoint now, TimePoint unlistAt, Actions &actions);
    /// Lists the target of the record, or unlists it if the record is malformed or superseded.
    void list(const KeyValueRecord &record, Source source, TimePoint now, Actions &actions);
    /// Whether the record belongs to a process that was removed, or an earlier one, and was not written since.
    [[nodiscard]] bool isOfRemoved(const DirectoryTarget &target, Revision revision, Source source);
    /// Of a process that is known, an older copy changes only that it is leaving; earlier processes are ignored.
    void keepNewer(DirectoryTarget &target, Revision revision) const;
    /// Unlists a target with a lower incarnation at the same address, whose process has terminated. Returns false if
    /// `target` itself has the lower incarnation.
    [[nodiscard]] bool supersede(const DirectoryTarget &target, TimePoint now, Actions &actions);
    void unlist(const TargetId &target, TimePoint now, Actions &actions);
    [[nodiscard]] TargetId targetOf(const std::string &key) const;

    DirectoryReplicaOptions m_options;
    RangeWatch m_watch;
    std::map<TargetId, DirectoryTarget> m_targets;
    /// Targets whose records are missing, and when they are unlisted.
    std::map<TargetId, TimePoint> m_missing;
    /// Revisions of the records of `m_targets`.
    std::map<TargetId, Revision> m_revisions;
    std::map<TargetId, RemovedTarget> m_removed;
    /// The service returned from an older copy, and the directory has not been read since.
    bool m_restored = false;
    /// The service is known to have been available to any host at this time.
    std::optional<TimePoint> m_availableAt;
    /// End of the grace period after the last outage.
    TimePoint m_outageGraceUntil{};
    /// End of the grace period after that read. The directory is then read again and taken as it is.
    std::optional<TimePoint> m_graceUntil;
    bool m_loaded = false;
};

/// Log lines of the actions.
[[nodiscard]] std::string describe(const TargetListed &listed);
[[nodiscard]] std::string describe(const TargetUnlisted &unlisted);
[[nodiscard]] std::string describe(const TargetMissing &missing);
[[nodiscard]] std::string describe(const TargetRecordIgnored &ignored);

} // namespace Carawaymill

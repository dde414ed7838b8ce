#pragma once

#include "routing/PrefixTable.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Event: the target was removed, or has lost its cache.
struct CacheLost
{
    TargetId target;
};

using PrefixIndexEvent = std::variant<Tick, CacheChanged, CacheSnapshot, CacheLost>;
using PrefixIndexAction = std::variant<RequestCacheSnapshot>;

struct PrefixIndexOptions
{
    /// Limits the memory: an entry takes about 100 bytes.
    std::size_t maximumEntries = 400'000;
    /// How long a change that arrived out of order waits for the missing changes before it.
    Duration reorderTimeout = std::chrono::milliseconds(300);
    /// Maximum number of messages of one target that wait for missing changes; also of applied messages that are kept,
    /// to be applied again after a snapshot.
    std::size_t maximumPendingMessages = 64;
    /// Minimum time between two snapshot requests to the same target.
    Duration minimumSnapshotInterval = std::chrono::seconds(2);
    /// How long a prompt sent to a target is assumed to be in its cache without a cache event that confirms it.
    Duration assumptionLifetime = std::chrono::seconds(5);
};

/// Estimates which targets have which prompt prefixes in their cache, from cache events that can be late or missing.
///
/// The results are hints: a wrong one makes a job slower but never gives a wrong result.
class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexOptions options);

    [[nodiscard]] std::vector<PrefixIndexAction> handle(const PrefixIndexEvent &event, TimePoint now);

    /// Records that a prompt with these prefixes was sent to the target, before the cache events that confirm it
    /// arrive.
    void assumeCached(const TargetId &target, const std::vector<CachedPrefix> &prefixes, TimePoint now);

    /// The longest of the prefixes that each target has in its cache; `prefixes` are ordered shortest first. For
    /// targets with missed changes and no snapshot since, half of the tokens are reported.
    [[nodiscard]] std::vector<PrefixHit> find(const std::vector<PrefixFingerprint> &prefixes, TimePoint now) const;

    [[nodiscard]] std::size_t size() const { return m_table.size(); }

private:
    struct Target
    {
        IncarnationNumber incarnation;
        /// Sequence number of the next change to apply.
        CacheSequence next = CacheSequence(1);
        /// Messages that arrived before the changes that precede them.
        std::map<CacheSequence, CacheChanged> pending;
        TimePoint pendingSince{};
        /// Recently applied messages. They are applied again after a snapshot that was taken before them.
        std::deque<CacheChanged> recent;
        /// Changes were missed and no snapshot has been received since.
        bool incomplete = false;
        std::optional<TimePoint> snapshotRequestedAt;
    };

    using Actions = std::vector<PrefixIndexAction>;

    Target &targetFor(const TargetId &target, IncarnationNumber incarnation);
    void apply(Target &target, const CacheChanged &changed);
    void applyPending(Target &target);
    void receiveChanges(const CacheChanged &changed, TimePoint now);
    void applySnapshot(const CacheSnapshot &snapshot);
    void closeGaps(Target &target, TimePoint now);
    void requestSnapshot(const TargetId &id, Target &target, Actions &actions, TimePoint now) const;

    PrefixIndexOptions m_options;
    PrefixTable m_table;
    std::map<TargetId, Target> m_targets;
};

} // namespace Carawaymill

#pragma once

#include "routing/PrefixTable.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Event: the target is gone for good, or has lost its cache.
struct CacheLost
{
    TargetId target;
};

using PrefixIndexEvent = std::variant<Tick, CacheChanged, CacheSnapshot, CacheLost>;
using PrefixIndexAction = std::variant<RequestCacheSnapshot>;

struct PrefixIndexOptions
{
    /// Bounds the memory: an entry takes about a hundred bytes.
    std::size_t maximumEntries = 400'000;
    /// How long a change that came too early waits for those before it.
    Duration reorderTimeout = std::chrono::milliseconds(300);
    /// Changes of one target that wait, or are kept to be applied on top of a snapshot.
    std::size_t maximumPendingMessages = 64;
    /// A target is asked for a snapshot at most this often.
    Duration minimumSnapshotInterval = std::chrono::seconds(2);
    /// How long our own guess that a target has cached a prompt holds without a confirmation.
    Duration assumptionLifetime = std::chrono::seconds(5);
};

/// Which targets probably have which prompt prefixes in their cache, from events that come late and with gaps.
///
/// What it says is a hint: a wrong one costs time and never correctness.
class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexOptions options);

    [[nodiscard]] std::vector<PrefixIndexAction> handle(const PrefixIndexEvent &event, TimePoint now);

    /// A prompt has been sent to the target, whose cache event is still to come.
    void assumeCached(const TargetId &target, const std::vector<CachedPrefix> &prefixes, TimePoint now);

    /// The longest of the prefixes (shortest first) that each target holds. Targets whose events have a gap that
    /// no snapshot has closed count with half the tokens.
    [[nodiscard]] std::vector<PrefixHit> find(const std::vector<PrefixFingerprint> &prefixes, TimePoint now) const;

    [[nodiscard]] std::size_t size() const { return m_table.size(); }

private:
    struct Target
    {
        IncarnationNumber incarnation;
        /// The number that the next change should have.
        CacheSequence next = CacheSequence(1);
        /// Came too early.
        std::map<CacheSequence, CacheChanged> early;
        TimePoint earliestArrival{};
        /// Applied lately, to be applied again on top of a snapshot that is a little older.
        std::deque<CacheChanged> recent;
        /// Changes have been missed and no snapshot has come since.
        bool incomplete = false;
        std::optional<TimePoint> snapshotRequestedAt;
    };

    using Actions = std::vector<PrefixIndexAction>;

    Target &targetFor(const TargetId &target, IncarnationNumber incarnation);
    void apply(Target &target, const CacheChanged &changed);
    void applyEarly(Target &target);
    void changed(const CacheChanged &changed, TimePoint now);
    void snapshotTaken(const CacheSnapshot &snapshot);
    void closeGaps(Target &target, TimePoint now);
    void requestSnapshot(const TargetId &id, Target &target, Actions &actions, TimePoint now) const;

    PrefixIndexOptions m_options;
    PrefixTable m_table;
    std::map<TargetId, Target> m_targets;
};

} // namespace Carawaymill

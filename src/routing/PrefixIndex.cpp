#include "routing/PrefixIndex.h"

#include <algorithm>
#include <set>

namespace Carawaymill {

PrefixIndex::PrefixIndex(PrefixIndexOptions options)
    : m_options(options)
    , m_table(options.maximumEntries)
{
}

std::vector<PrefixIndexAction> PrefixIndex::handle(const PrefixIndexEvent &event, TimePoint now)
{
    Actions actions;
    const auto updateState = [&](const TargetId &id) {
        if (const auto target = m_targets.find(id); target != m_targets.end()) {
            closeGaps(target->second, now);
            requestSnapshot(id, target->second, actions, now);
        }
    };
    std::visit(Overloaded{[&](const Tick &) {
                              for (auto &[id, target] : m_targets) {
                                  closeGaps(target, now);
                                  requestSnapshot(id, target, actions, now);
                              }
                          },
                          [&](const CacheChanged &change) {
                              receiveChanges(change, now);
                              updateState(change.target);
                          },
                          [&](const CacheSnapshot &snapshot) {
                              applySnapshot(snapshot);
                              updateState(snapshot.target);
                          },
                          [&](const CacheLost &lost) {
                              m_table.evictAll(lost.target);
                              m_targets.erase(lost.target);
                          }},
               event);
    return actions;
}

PrefixIndex::Target &PrefixIndex::targetFor(const TargetId &target, IncarnationNumber incarnation)
{
    Target &entry = m_targets[target];
    if (incarnation > entry.incarnation) {
        // The engine has restarted with an empty cache.
        m_table.evictAll(target);
        entry = {.incarnation = incarnation, .snapshotRequestedAt = entry.snapshotRequestedAt};
    }
    return entry;
}

void PrefixIndex::apply(Target &target, const CacheChanged &changed)
{
    const std::uint64_t first = changed.first.value();
    // Changes that have been applied already must not be applied again.
    const std::uint64_t known = target.next.value() > first ? target.next.value() - first : 0;
    for (std::size_t i = known; i < changed.changes.size(); ++i) {
        std::visit(
            Overloaded{
                [&](const PrefixStored &stored) { m_table.store({.target = changed.target, .prefix = stored.prefix}); },
                [&](const PrefixEvicted &evicted) { m_table.evict(changed.target, evicted.fingerprint); }},
            changed.changes[i]);
    }
    target.next = std::max(target.next, CacheSequence(first + changed.changes.size()));
}

void PrefixIndex::applyPending(Target &target)
{
    while (!target.pending.empty() && target.pending.begin()->first <= target.next) {
        const CacheChanged next = std::move(target.pending.begin()->second);
        target.pending.erase(target.pending.begin());
        apply(target, next);
        target.recent.push_back(next);
    }
    while (target.recent.size() > m_options.maximumPendingMessages) {
        target.recent.pop_front();
    }
}

void PrefixIndex::receiveChanges(const CacheChanged &changed, TimePoint now)
{
    Target &target = targetFor(changed.target, changed.incarnation);
    const CacheSequence end(changed.first.value() + changed.changes.size());
    if (changed.incarnation < target.incarnation || end <= target.next) {
        return;
    }
    if (target.pending.empty()) {
        target.pendingSince = now;
    }
    target.pending.insert_or_assign(changed.first, changed);
    applyPending(target);
}

void PrefixIndex::applySnapshot(const CacheSnapshot &snapshot)
{
    Target &target = targetFor(snapshot.target, snapshot.incarnation);
    if (snapshot.incarnation < target.incarnation) {
        return;
    }
    // The snapshot can be used only if all changes applied after it are still in `recent`, so that they can be
    // repeated.
    CacheSequence reached = snapshot.last.next();
    for (const CacheChanged &change : target.recent) {
        if (change.first <= reached) {
            reached = std::max(reached, CacheSequence(change.first.value() + change.changes.size()));
        }
    }
    if (reached < target.next) {
        return;
    }
    m_table.evictAll(snapshot.target);
    for (const CachedPrefix &prefix : snapshot.prefixes) {
        m_table.store({.target = snapshot.target, .prefix = prefix});
    }
    target.next = snapshot.last.next();
    target.incomplete = false;
    for (const CacheChanged &change : target.recent) {
        apply(target, change);
    }
    applyPending(target);
}

void PrefixIndex::closeGaps(Target &target, TimePoint now)
{
    const bool full = target.pending.size() > m_options.maximumPendingMessages;
    if (!target.pending.empty() && (full || now - target.pendingSince >= m_options.reorderTimeout)) {
        // Stop waiting for the missing changes and apply the later ones, which are still valid.
        target.incomplete = true;
        target.next = target.pending.begin()->first;
        target.pendingSince = now;
        applyPending(target);
    }
}

void PrefixIndex::requestSnapshot(const TargetId &id, Target &target, Actions &actions, TimePoint now) const
{
    const bool requestedRecently =
        target.snapshotRequestedAt && now - *target.snapshotRequestedAt < m_options.minimumSnapshotInterval;
    if (target.incomplete && !requestedRecently) {
        target.snapshotRequestedAt = now;
        actions.push_back(RequestCacheSnapshot{id});
    }
}

void PrefixIndex::assumeCached(const TargetId &target, const std::vector<CachedPrefix> &prefixes, TimePoint now)
{
    for (const CachedPrefix &prefix : prefixes) {
        m_table.store({.target = target, .prefix = prefix, .assumedUntil = now + m_options.assumptionLifetime});
    }
}

std::vector<PrefixHit> PrefixIndex::find(const std::vector<PrefixFingerprint> &prefixes, TimePoint now) const
{
    std::vector<PrefixHit> hits;
    std::set<TargetId> found;
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        for (PrefixHit &hit : m_table.holders(*prefix, now)) {
            if (!found.insert(hit.target).second) {
                continue;
            }
            if (const auto target = m_targets.find(hit.target);
                target != m_targets.end() && target->second.incomplete) {
                hit.tokens = TokenCount(hit.tokens.value() / 2);
            }
            hits.push_back(std::move(hit));
        }
    }
    return hits;
}

} // namespace Carawaymill

#pragma once

#include "routing/CacheEvents.h"

#include <memory>
#include <optional>
#include <vector>

namespace Carawaymill {

/// A prefix believed to be in a target's cache.
struct PrefixTableEntry
{
    TargetId target;
    CachedPrefix prefix;
    /// Assumed from our own routing only, and forgotten then unless the engine confirms it.
    std::optional<TimePoint> assumedUntil;
};

/// Which prefixes are believed to be in which target's cache, in bounded memory: the belief that was refreshed the
/// longest ago makes room for a new one.
class PrefixTable
{
public:
    explicit PrefixTable(std::size_t maximumEntries);
    ~PrefixTable();
    PrefixTable(PrefixTable &&) noexcept;
    PrefixTable &operator=(PrefixTable &&) noexcept;

    /// Adds or refreshes a belief. An assumption never weakens what the engine has confirmed.
    void store(const PrefixTableEntry &belief);

    void evict(const TargetId &target, PrefixFingerprint fingerprint);

    void evictAll(const TargetId &target);

    /// Every target that is believed to hold the prefix at `now`.
    [[nodiscard]] std::vector<PrefixHit> holders(PrefixFingerprint fingerprint, TimePoint now) const;

    [[nodiscard]] std::size_t size() const;

private:
    struct Entries;
    std::size_t m_maximumEntries;
    std::unique_ptr<Entries> m_entries;
};

} // namespace Carawaymill

#pragma once

#include "routing/CacheEvents.h"

#include <memory>
#include <optional>
#include <vector>

namespace Carawaymill {

/// A prefix that is probably in a target's cache.
struct PrefixTableEntry
{
    TargetId target;
    CachedPrefix prefix;
    /// Set if the entry was inferred from this host's own routing: it expires at this time unless the engine confirms
    /// it. Empty if the engine has confirmed it.
    std::optional<TimePoint> assumedUntil;
};

/// The prefixes that are probably in the targets' caches, in bounded memory: when the table is full, the entry that was
/// refreshed the longest ago is removed.
class PrefixTable
{
public:
    explicit PrefixTable(std::size_t maximumEntries);
    ~PrefixTable();
    PrefixTable(PrefixTable &&) noexcept;
    PrefixTable &operator=(PrefixTable &&) noexcept;

    /// Adds or refreshes an entry. An entry that the engine has confirmed does not get an expiry time again.
    void store(const PrefixTableEntry &tableEntry);

    void evict(const TargetId &target, PrefixFingerprint fingerprint);

    void evictAll(const TargetId &target);

    /// The targets that probably have the prefix in their cache, without entries expired at `now`.
    [[nodiscard]] std::vector<PrefixHit> holders(PrefixFingerprint fingerprint, TimePoint now) const;

    [[nodiscard]] std::size_t size() const;

private:
    struct Entries;
    std::size_t m_maximumEntries;
    std::unique_ptr<Entries> m_entries;
};

} // namespace Carawaymill

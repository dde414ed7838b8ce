#pragma once

#include "routing/RoutingMessages.h"
#include "support/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What engines publish about the prompt prefixes in their caches. These messages come late, doubled and with gaps.
namespace Carawaymill {

/// Counts the cache changes of one incarnation of one engine; the first is 1.
using CacheSequence = StrongCount<struct CacheSequenceTag, std::uint64_t>;

/// A prompt prefix and how many tokens it has.
struct CachedPrefix
{
    PrefixFingerprint fingerprint;
    TokenCount tokens;

    friend bool operator==(const CachedPrefix &, const CachedPrefix &) = default;
};

/// The prefix is now in the cache.
struct PrefixStored
{
    CachedPrefix prefix;
};

/// The prefix is no longer in the cache.
struct PrefixEvicted
{
    PrefixFingerprint fingerprint;
};

using CacheChange = std::variant<PrefixStored, PrefixEvicted>;

/// Event: consecutive changes, of which the first has the number `first`.
struct CacheChanged
{
    TargetId target;
    IncarnationNumber incarnation;
    CacheSequence first;
    std::vector<CacheChange> changes;
};

/// Event: everything that the cache held after the change numbered `last`.
struct CacheSnapshot
{
    TargetId target;
    IncarnationNumber incarnation;
    CacheSequence last;
    std::vector<CachedPrefix> prefixes;
};

/// Action: ask the engine for a snapshot of its cache.
struct RequestCacheSnapshot
{
    TargetId target;
};

/// A target that probably has the first `tokens` tokens of a prompt in its cache.
struct PrefixHit
{
    TargetId target;
    TokenCount tokens;

    friend bool operator==(const PrefixHit &, const PrefixHit &) = default;
};

/// JSON: `{"target", "incarnation", "first", "changes": [["stored", fingerprint, tokens] | ["evicted", fingerprint]]}`.
void to_json(nlohmann::json &json, const CacheChanged &changed);
void from_json(const nlohmann::json &json, CacheChanged &changed);
/// JSON: `{"target", "incarnation", "last", "prefixes": [[fingerprint, tokens]]}`.
void to_json(nlohmann::json &json, const CacheSnapshot &snapshot);
void from_json(const nlohmann::json &json, CacheSnapshot &snapshot);

} // namespace Carawaymill

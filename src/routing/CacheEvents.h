#pragma once

#include "routing/RoutingMessages.h"
#include "support/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages in which engines publish the prompt prefixes in their caches. They can arrive late, more than once, out of
/// order, or not at all.
namespace Carawaymill {

/// Sequence number of a cache change within one incarnation of one engine; the first is 1.
using CacheSequence = StrongCount<struct CacheSequenceTag, std::uint64_t>;

/// A prompt prefix and its length in tokens.
struct CachedPrefix
{
    PrefixFingerprint fingerprint;
    TokenCount tokens;

    friend bool operator==(const CachedPrefix &, const CachedPrefix &) = default;
};

/// The engine added the prefix to its cache.
struct PrefixStored
{
    CachedPrefix prefix;
};

/// The engine removed the prefix from its cache.
struct PrefixEvicted
{
    PrefixFingerprint fingerprint;
};

using CacheChange = std::variant<PrefixStored, PrefixEvicted>;

/// Event: consecutive cache changes; `first` is the sequence number of the first one.
struct CacheChanged
{
    TargetId target;
    IncarnationNumber incarnation;
    CacheSequence first;
    std::vector<CacheChange> changes;
};

/// Event: the complete content of the cache after the change with the sequence number `last`.
struct CacheSnapshot
{
    TargetId target;
    IncarnationNumber incarnation;
    CacheSequence last;
    std::vector<CachedPrefix> prefixes;
};

/// Action: request a snapshot of the engine's cache.
struct RequestCacheSnapshot
{
    TargetId target;
};

/// A target that probably has the first `tokens` tokens of a prompt in its cache. Only a hint: the cache may have
/// changed.
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

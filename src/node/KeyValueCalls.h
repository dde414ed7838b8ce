#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "node/NodeOutput.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Carawaymill {

/// The slices that make calls to the key-value service. Shards of the ledger and scopes of placement follow by shard.
enum class KeyValueCaller : std::uint8_t {
    Catalogue,
    CatalogueEditor,
    Lease,
    LedgerShard,
    Quarantine,
    Usage,
    Configuration,
    Directory,
    HostRegistry,
};

/// Whose call a reply belongs to.
struct KeyValueCallOrigin
{
    KeyValueCaller caller = KeyValueCaller::Catalogue;
    /// Number of the ledger's shard, for `LedgerShard`.
    std::uint32_t shard = 0;
    /// The id that the slice itself gave the call.
    CallId id;
};

/// Gives every call of every slice an id of its own on this host, and finds the slice again.
class KeyValueCalls
{
public:
    void issue(KeyValueCaller caller, std::uint32_t shard, KeyValueCall call, NodeOutput &output);
    /// The origin of a reply; nothing for a reply that was given before.
    [[nodiscard]] std::optional<KeyValueCallOrigin> resolve(CallId id);

private:
    std::map<CallId, KeyValueCallOrigin> m_origins;
    CallId m_last;
};

} // namespace Carawaymill

#pragma once

#include "keyvalue/KeyValueMessages.h"
#include "node/NodeOutput.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Carawaymill {

/// The slices that call the key-value service.
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
    CondemnedTraits,
};

/// The slice that made a call.
struct KeyValueCallOrigin
{
    KeyValueCaller caller = KeyValueCaller::Catalogue;
    /// The ledger shard, for `LedgerShard`; otherwise 0.
    std::uint32_t shard = 0;
    /// The call id that the slice assigned.
    CallId id;
    /// Result of the call if its response has to be ignored.
    KeyValueResult withoutResponse;
};

/// Assigns each key-value call an id that is unique on this host, and routes the reply to the slice that made the call.
/// Knows the era of the key-value service.
class KeyValueCalls
{
public:
    void issue(KeyValueCaller caller, std::uint32_t shard, KeyValueCall call, NodeOutput &output);
    /// The origin of a reply; std::nullopt when the call was already answered.
    [[nodiscard]] std::optional<KeyValueCallOrigin> resolve(CallId id);
    /// The change if `era` is the first one that the service states, or higher than the last one.
    [[nodiscard]] std::optional<StoreEraChanged> observe(StoreEra era);

    [[nodiscard]] const std::optional<StoreEra> &era() const { return m_era; }

private:
    std::map<CallId, KeyValueCallOrigin> m_origins;
    CallId m_last;
    std::optional<StoreEra> m_era;
};

} // namespace Carawaymill

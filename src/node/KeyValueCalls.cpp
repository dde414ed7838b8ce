#include "node/KeyValueCalls.h"

#include "keyvalue/KeyValueCodec.h"

#include <utility>

namespace Carawaymill {

void KeyValueCalls::issue(KeyValueCaller caller, std::uint32_t shard, KeyValueCall call, NodeOutput &output)
{
    m_last = m_last.next();
    m_origins.emplace(
        m_last,
        KeyValueCallOrigin{
            .caller = caller, .shard = shard, .id = call.id, .withoutResponse = resultWithoutResponse(call.request)});
    call.id = m_last;
    output.add(std::move(call));
}

std::optional<KeyValueCallOrigin> KeyValueCalls::resolve(CallId id)
{
    const auto found = m_origins.extract(id);
    return found.empty() ? std::nullopt : std::optional(found.mapped());
}

std::optional<StoreEraChanged> KeyValueCalls::observe(StoreEra era)
{
    if (m_era && era <= *m_era) {
        return std::nullopt;
    }
    return StoreEraChanged{.era = era, .restored = std::exchange(m_era, era).has_value()};
}

} // namespace Carawaymill

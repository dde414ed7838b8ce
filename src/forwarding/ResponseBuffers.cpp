#include "forwarding/ResponseBuffers.h"

namespace Carawaymill {

void ResponseBuffers::hold(RequestId call, std::size_t bytes)
{
    if (const auto known = m_bytes.find(call); known != m_bytes.end()) {
        m_held -= known->second;
        m_bySize.erase({known->second, call});
        m_bytes.erase(known);
    }
    if (bytes > 0) {
        m_held += bytes;
        m_bySize.emplace(bytes, call);
        m_bytes.emplace(call, bytes);
    }
}

std::optional<RequestId> ResponseBuffers::excess() const
{
    if (m_held <= m_options.limit.value() || m_bySize.empty()) {
        return std::nullopt;
    }
    return m_bySize.rbegin()->second;
}

} // namespace Carawaymill

#pragma once

#include "support/Identifiers.h"
#include "support/Units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Carawaymill {

struct ResponseBuffersOptions
{
    /// Bytes of responses that a host holds at the same time, over all calls.
    ByteCount limit = ByteCount(32U << 20U);
};

/// The bytes of targets' responses that a host holds until they can be passed on.
///
/// A response that is too long is given up by itself, but many of them at once would still fill the memory. Beyond the
/// limit, the largest one is given up: a response without end grows into that place, and sound ones keep theirs.
class ResponseBuffers
{
public:
    explicit ResponseBuffers(ResponseBuffersOptions options)
        : m_options(options)
    {
    }

    /// Sets the number of bytes that are held for the call; 0 forgets it.
    void hold(RequestId call, std::size_t bytes);

    /// The call that holds most, if more than the limit is held.
    [[nodiscard]] std::optional<RequestId> excess() const;

    [[nodiscard]] ByteCount held() const { return ByteCount(m_held); }

private:
    ResponseBuffersOptions m_options;
    std::size_t m_held = 0;
    std::map<RequestId, std::size_t> m_bytes;
    /// The same, in the order of size.
    std::set<std::pair<std::size_t, RequestId>> m_bySize;
};

} // namespace Carawaymill

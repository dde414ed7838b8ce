#pragma once

#include "support/Random.h"
#include "support/Time.h"

#include <algorithm>

namespace Carawaymill {

struct BackoffOptions
{
    Duration initial = 500ms;
    Duration maximum = 10s;
};

/// Delays between retries: they double up to a maximum, and each is spread at random so that many hosts that failed
/// together do not come back together.
class Backoff
{
public:
    explicit Backoff(BackoffOptions options)
        : m_options(options)
        , m_next(options.initial)
    {
    }

    /// The delay before the next retry: between half of the present delay and the whole of it.
    [[nodiscard]] Duration next(Random &random)
    {
        const Duration whole = m_next;
        m_next = std::min(m_options.maximum, m_next * 2);
        const auto spread = static_cast<std::uint64_t>(whole.count() / 2 + 1);
        return whole / 2 + Duration(random.below(spread));
    }

    /// The last try succeeded: the next delay is short again.
    void reset() { m_next = m_options.initial; }

private:
    BackoffOptions m_options;
    Duration m_next;
};

} // namespace Carawaymill

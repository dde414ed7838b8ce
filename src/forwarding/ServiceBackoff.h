#pragma once

#include "support/Backoff.h"
#include "support/Random.h"
#include "support/Time.h"

#include <cstdint>
#include <optional>

namespace Carawaymill {

struct ServiceBackoffOptions
{
    std::uint64_t seed = 0;
    /// A host that is alone and cut off notices the return of the service within the maximum and the longest delay of a
    /// range, 0.8 s. Targets that left in the meantime must be unlisted within 3 s of it.
    BackoffOptions delays = {.initial = 100ms, .maximum = 1500ms};
};

/// Limits the reads and watches of one host while the key-value service fails its calls. All ranges share it: if each
/// one retried separately, a host that is cut off would make a multiple of the calls and learn nothing more.
class ServiceBackoff
{
public:
    explicit ServiceBackoff(ServiceBackoffOptions options)
        : m_random(options.seed)
        , m_backoff(options.delays)
    {
    }

    /// Whether a read or watch may be sent now.
    [[nodiscard]] bool mayCall(TimePoint now) const { return !m_nextAt || now >= *m_nextAt; }

    /// Records that a read or watch is sent. While the service fails the calls, this delays the next one.
    void recordCall(TimePoint now);

    /// Records that a call was refused or has had no response. Returns whether the backoff begins.
    bool recordFailure(TimePoint now);

    /// Records a response of the service, which ends the backoff. Returns the time since the first failure if there was
    /// one.
    [[nodiscard]] std::optional<Duration> recordSuccess(TimePoint now);

private:
    Random m_random;
    Backoff m_backoff;
    /// std::nullopt unless the service fails the calls.
    std::optional<TimePoint> m_nextAt;
    TimePoint m_failingSince{};
};

} // namespace Carawaymill

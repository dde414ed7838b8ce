#pragma once

#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

struct TargetReachOptions
{
    /// So many targets that cannot be reached, and none that can, separate this host from all of them.
    std::size_t failuresUntilSeparated = 3;
    /// So many probes among them, since targets may also fail one after the other while few connections are opened.
    std::size_t probesUntilSeparated = 2;
    /// A failure that is older says nothing of the links of this host.
    Duration failureLifetime = 4s;
    /// Interval of the probes of a host that doubts its links, and of a separated one.
    Duration doubtProbeInterval = 40ms;
    Duration probeInterval = 250ms;
};

/// Tells targets that failed from lost links between this host and all targets.
///
/// Only new connections count as a sign of reach: connections that are open may live on while new ones fail. When
/// several targets have failed, others are probed; the host counts as separated if they fail too, until a probe
/// succeeds.
class TargetReach
{
public:
    explicit TargetReach(TargetReachOptions options)
        : m_options(options)
    {
    }

    /// Records that a connection to the target failed, or that it sends nothing on its connections. `targets` is the
    /// number of listed targets. Returns whether the host has become separated by it.
    bool recordFailure(const TargetId &target, std::size_t targets, TimePoint now);

    /// Records a response on a new connection, of an attempt that was sent at `sentAt`.
    void recordReached(TimePoint sentAt);

    /// Whether it is time for a probe of a target.
    [[nodiscard]] bool takeProbeDue(TimePoint now);

    /// Records that the connection of a probe was accepted, and returns whether that ended a separation.
    bool recordProbeConnected();

    /// Like recordFailure(), for a probe whose connection was not accepted.
    bool recordProbeFailed(const TargetId &target, std::size_t targets, TimePoint now);

    /// Whether this host reaches no target, as far as it knows.
    [[nodiscard]] bool isSeparated() const { return m_separated; }

    /// Whether failures may be due to this host's links rather than to the targets.
    [[nodiscard]] bool isDoubtful(TimePoint now) const;

    /// The targets that could not be reached since one could.
    [[nodiscard]] std::vector<TargetId> unreached() const;

private:
    [[nodiscard]] std::size_t recentFailures(TimePoint now) const;
    void clear();

    TargetReachOptions m_options;
    /// Time of the last failure of each target since the host reached any.
    std::map<TargetId, TimePoint> m_failures;
    std::optional<TimePoint> m_firstFailureAt;
    std::size_t m_failedProbes = 0;
    bool m_separated = false;
    TimePoint m_nextProbeAt{};
};

} // namespace Carawaymill

#pragma once

#include "admission/SharedLimits.h"
#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Units.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace Carawaymill {

struct TargetRequestLimitsOptions
{
    /// Not empty.
    HostId self;
    /// Not 0.
    IncarnationNumber incarnation;
    /// See `SharedLimitsOptions`.
    bool firstStartOfDeployment = false;
    /// A limit that its target has not repeated for this long is forgotten.
    Duration statementRetention = 10min;
};

using TargetRequestLimitsEvent = std::variant<Tick, FleetChanged, ShareMessageReceived>;

/// Keeps the requests of all hosts to a target within the limit that the target states in its responses.
///
/// The hosts share each limit through `SharedLimits`, so that a host with more demand gets more of it.
class TargetRequestLimits
{
public:
    explicit TargetRequestLimits(TargetRequestLimitsOptions options);

    [[nodiscard]] std::vector<SharedLimitsAction> handle(const TargetRequestLimitsEvent &event, TimePoint now);

    /// Records the limit in requests per second that the target stated, or that it stated none. Returns whether that
    /// differs from its last statement.
    bool recordStatement(const TargetId &target,
                         IncarnationNumber incarnation,
                         std::optional<double> requestsPerSecond,
                         TimePoint now);

    /// Drops the limit of an earlier process of the target.
    void listed(const TargetId &target, IncarnationNumber incarnation);

    /// Takes room for one request to the target; returns false if its limit leaves none now. `isNew`: false if this
    /// request was tried before, which adds nothing to the share that this host asks for.
    [[nodiscard]] bool tryTake(const TargetId &target, bool isNew, TimePoint now);

    /// The targets whose limits leave no room now.
    [[nodiscard]] std::set<TargetId> withoutRoom(TimePoint now);

    /// Number of targets that have stated a limit.
    [[nodiscard]] std::size_t limitedTargets() const { return m_statements.size(); }

    /// How often a limit left no room for a request since the start of the process.
    [[nodiscard]] std::uint64_t refusals() const { return m_refusals; }

private:
    struct Statement
    {
        IncarnationNumber incarnation;
        double requestsPerSecond = 0;
        TimePoint at{};
    };

    [[nodiscard]] SharedLimits &sharedLimits(TimePoint now);
    /// Passes the stated limits on to `m_sharedLimits`.
    void updateLimits(TimePoint now);

    TargetRequestLimitsOptions m_options;
    /// std::nullopt before the first event.
    std::optional<SharedLimits> m_sharedLimits;
    std::map<TargetId, Statement> m_statements;
    /// Whether `m_sharedLimits` has yet to be told of a change of the statements.
    bool m_outdated = false;
    std::uint64_t m_refusals = 0;
};

} // namespace Carawaymill

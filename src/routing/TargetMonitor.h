#pragma once

#include "hostlist/HostListMessages.h"
#include "routing/RoutingMessages.h"
#include "support/Time.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Event: the targets that the catalogue declares.
struct TargetsDeclared
{
    std::vector<TargetId> targets;
};

/// What became of a poll.
enum class PollOutcome {
    Answered,
    /// The target could not be connected to: its process is gone.
    ConnectionFailed,
    /// The target took the poll and stayed silent.
    NoResponse,
};

/// Event: answer to `PollTarget`.
struct TargetPolled
{
    TargetId target;
    PollOutcome outcome = PollOutcome::Answered;
};

/// Event: a job had trouble with the target, so it is polled at once.
struct TargetSuspected
{
    TargetId target;
};

using TargetMonitorEvent = std::variant<TargetsDeclared, HostListRead, TargetPolled, TargetSuspected, Tick>;

/// Action: ask the target for its state.
struct PollTarget
{
    TargetId target;
    Duration timeout{};
};

/// Action: from now on, this may be asked of the target.
struct TargetAvailabilityChanged
{
    TargetId target;
    TargetAvailability availability = TargetAvailability::Dead;
};

using TargetMonitorAction = std::variant<PollTarget, TargetAvailabilityChanged>;

struct TargetMonitorOptions
{
    Duration pollInterval = 250ms;
    Duration pollTimeout = 500ms;
    /// Unanswered polls after which a silent target counts as dead; after the first it is suspect.
    std::uint32_t missedPollsUntilDead = 2;
};

/// Tells which targets may be given work, from polls of our own and the platform's lagging host list.
class TargetMonitor
{
public:
    explicit TargetMonitor(TargetMonitorOptions options = {});

    [[nodiscard]] std::vector<TargetMonitorAction> handle(const TargetMonitorEvent &event, TimePoint now);

    /// A target that is not declared, or never answered, counts as dead.
    [[nodiscard]] TargetAvailability availability(const TargetId &target) const;

private:
    using Actions = std::vector<TargetMonitorAction>;

    struct Target
    {
        bool answered = false;
        bool refused = false;
        bool leaving = false;
        std::uint32_t silences = 0;
        TimePoint nextPollAt{};
        std::optional<TimePoint> pollGivenUpAt;
        TargetAvailability reported = TargetAvailability::Dead;
    };

    void on(const TargetsDeclared &event, TimePoint now, Actions &actions);
    void on(const HostListRead &event, TimePoint now, Actions &actions);
    void on(const TargetPolled &event, TimePoint now, Actions &actions);
    void on(const TargetSuspected &event, TimePoint now, Actions &actions);
    void on(const Tick &event, TimePoint now, Actions &actions);
    void poll(const TargetId &id, Target &target, TimePoint now, Actions &actions) const;
    [[nodiscard]] TargetAvailability judge(const Target &target) const;
    void report(const TargetId &id, Target &target, Actions &actions) const;

    TargetMonitorOptions m_options;
    std::map<TargetId, Target> m_targets;
};

/// For people, for example `available`.
[[nodiscard]] const char *availabilityName(TargetAvailability availability);

/// One line for the log.
[[nodiscard]] std::string describe(const TargetAvailabilityChanged &change);

} // namespace Carawaymill

#pragma once

#include "hostlist/HostListMessages.h"
#include "routing/RoutingMessages.h"
#include "support/Time.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Event: all targets that the catalogue declares. Other targets are removed.
struct TargetsDeclared
{
    std::vector<TargetId> targets;
};

/// Result of a poll.
enum class PollOutcome {
    Answered,
    /// No connection to the target could be opened: its process has terminated.
    ConnectionFailed,
    /// The poll was sent but no response arrived within its timeout.
    NoResponse,
};

/// Event: result of `PollTarget`.
struct TargetPolled
{
    TargetId target;
    PollOutcome outcome = PollOutcome::Answered;
};

/// Event: a job failed on the target. The target is polled at once, unless a poll is pending.
struct TargetSuspected
{
    TargetId target;
};

using TargetMonitorEvent = std::variant<TargetsDeclared, HostListRead, TargetPolled, TargetSuspected, Tick>;

/// Action: request the target's state.
struct PollTarget
{
    TargetId target;
    Duration timeout{};
};

/// Action: the target's availability has changed.
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
    /// Consecutive polls without a response after which a target counts as dead; after the first it is suspect.
    std::uint32_t missedPollsUntilDead = 2;
};

/// Determines which targets can be given work, from this host's own polls and the platform's delayed host list.
class TargetMonitor
{
public:
    explicit TargetMonitor(TargetMonitorOptions options = {});

    [[nodiscard]] std::vector<TargetMonitorAction> handle(const TargetMonitorEvent &event, TimePoint now);

    /// A target that is not declared, or has never responded, counts as dead.
    [[nodiscard]] TargetAvailability availability(const TargetId &target) const;

private:
    using Actions = std::vector<TargetMonitorAction>;

    struct Target
    {
        bool answered = false;
        bool connectionFailed = false;
        bool leaving = false;
        std::uint32_t missedPolls = 0;
        TimePoint nextPollAt{};
        std::optional<TimePoint> pollDeadline;
        TargetAvailability reported = TargetAvailability::Dead;
    };

    void on(const TargetsDeclared &event, TimePoint now, Actions &actions);
    void on(const HostListRead &event, TimePoint now, Actions &actions);
    void on(const TargetPolled &event, TimePoint now, Actions &actions);
    void on(const TargetSuspected &event, TimePoint now, Actions &actions);
    void on(const Tick &event, TimePoint now, Actions &actions);
    void poll(const TargetId &id, Target &target, TimePoint now, Actions &actions) const;
    [[nodiscard]] TargetAvailability evaluate(const Target &target) const;
    void report(const TargetId &id, Target &target, Actions &actions) const;

    TargetMonitorOptions m_options;
    std::map<TargetId, Target> m_targets;
};

/// Name for logs and for the operators' interface, for example `available`.
[[nodiscard]] const char *availabilityName(TargetAvailability availability);

/// One line for the log.
[[nodiscard]] std::string describe(const TargetAvailabilityChanged &change);

} // namespace Carawaymill

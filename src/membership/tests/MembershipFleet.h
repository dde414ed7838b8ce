#pragma once

#include "membership/Membership.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

struct MembershipFleetOptions
{
    std::size_t hosts = 4;
    std::uint64_t seed = 1;
    /// Fraction of the messages that are lost; `duplicateRate` is the fraction that is delivered twice.
    double lossRate = 0;
    double duplicateRate = 0;
    Duration shortestDelay = 1ms;
    Duration longestDelay = 40ms;
    Duration step = 20ms;
    /// Whether each message is encoded as CBOR, so that its bytes are counted.
    bool packMessages = false;
    /// Changes the options of each host.
    std::function<void(MembershipOptions &)> adjust;
};

/// What a host has sent or received.
struct MembershipTraffic
{
    std::size_t messages = 0;
    std::size_t bytes = 0;
};

/// Drives the `Membership` of several hosts over a faulty network in virtual time.
class MembershipFleet
{
public:
    explicit MembershipFleet(MembershipFleetOptions options);

    /// Lets virtual time pass.
    void run(Duration duration);
    /// Runs until `condition` holds and returns the time it took, or empty after `limit`.
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration limit);
    /// Starts or restarts a host, which knows only the hosts of its settings.
    void start(std::size_t index, IncarnationNumber incarnation);
    /// Stops the process without notifying other hosts.
    void kill(std::size_t index);
    /// Suspends the process until `resume`; messages to it are queued.
    void pause(std::size_t index);
    /// Resumes the process; it handles a tick before the queued messages.
    void resume(std::size_t index);
    void inject(std::size_t index, const MembershipEvent &event);

    [[nodiscard]] Membership &at(std::size_t index) { return *m_nodes[index].membership; }

    [[nodiscard]] static HostId host(std::size_t index) { return HostId("host-" + std::to_string(index)); }

    [[nodiscard]] MemberState state(std::size_t observer, std::size_t subject);
    /// Whether all running hosts other than `subject` see it in that state.
    [[nodiscard]] bool allSee(std::size_t subject, MemberState state);
    /// Whether every running host sees every host as alive.
    [[nodiscard]] bool allSeeAllAlive();
    /// The host list with every host live.
    [[nodiscard]] HostListRead fullList() const;

    /// State changes that `observer` has reported since the start.
    std::vector<std::vector<MemberChanged>> changes;
    std::vector<MembershipTraffic> sent;
    std::vector<MembershipTraffic> received;
    /// Whether messages from one host to another are currently lost; may be empty.
    std::function<bool(std::size_t from, std::size_t to)> isCut;

private:
    struct Node
    {
        std::optional<Membership> membership;
        bool paused = false;
        std::vector<MembershipMessageReceived> queuedMessages;
    };

    struct Delivery
    {
        std::size_t to = 0;
        MembershipMessageReceived event;
        std::size_t bytes = 0;
    };

    void perform(std::size_t index, const std::vector<MembershipAction> &actions);
    void post(std::size_t from, const SendMembershipMessage &message);
    void deliverDue();

    MembershipFleetOptions m_options;
    Random m_random;
    TimePoint m_now;
    std::vector<Node> m_nodes;
    std::map<HostId, std::size_t> m_indices;
    std::multimap<TimePoint, Delivery> m_inFlight;
};

} // namespace Carawaymill

#pragma once

#include "hostlist/HostListMessages.h"
#include "membership/ActiveClock.h"
#include "membership/GossipQueue.h"
#include "membership/MemberTable.h"
#include "membership/MembershipMessages.h"
#include "membership/MembershipOptions.h"
#include "support/Random.h"
#include "support/Time.h"
#include "support/Variant.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Event: a message of another host. It may come late, twice or out of order.
struct MembershipMessageReceived
{
    HostId from;
    MembershipMessage message;
};

/// Event: this host is to leave; it tells the others and goes on answering.
struct LeaveRequested
{
};

using MembershipEvent = std::variant<Tick, HostListRead, MembershipMessageReceived, LeaveRequested>;

/// Action: send `message`, once, to the peer address of `to`.
struct SendMembershipMessage
{
    HostId to;
    std::string peerAddress;
    MembershipMessage message;
};

using MembershipAction = std::variant<SendMembershipMessage, MemberChanged>;

/// Finds out which of our own hosts are alive, with a load per host that does not grow with the fleet.
///
/// In each period this host probes one member, and asks a few others to probe it if it does not answer. A member that
/// answers none of them is suspect; unless it refutes with a higher incarnation in time, it is dead. What is found out
/// travels as gossip with the probes and their answers.
class Membership
{
public:
    [[nodiscard]] static Result<Membership, InvalidMembershipOptions> create(MembershipOptions options);

    [[nodiscard]] std::vector<MembershipAction> handle(const MembershipEvent &event, TimePoint now);

    /// Every known host, this one included, in order of id.
    [[nodiscard]] std::vector<Member> members() const { return m_table.members(); }

    /// The hosts whose state is Alive or Suspect, this one included, in order of id.
    [[nodiscard]] std::vector<HostId> aliveHosts() const;
    /// Whether the host is Alive or Suspect. A suspect host counts as alive, since most suspicions are refuted.
    [[nodiscard]] bool isAlive(const HostId &host) const;

    /// Empty for a host that is not known.
    [[nodiscard]] std::optional<MemberState> state(const HostId &host) const { return m_table.state(host); }

private:
    /// This host's own probe of the period.
    struct OwnProbe
    {
        HostId target;
        std::uint32_t sequence = 0;
        TimePoint startedAt;
        bool askedOthers = false;
    };

    /// A probe made for another host.
    struct RelayedProbe
    {
        HostId target;
        HostId requester;
        std::uint32_t requesterSequence = 0;
        TimePoint expiry;
    };

    explicit Membership(MembershipOptions options);

    void on(const Tick &tick);
    void on(const HostListRead &list);
    void on(const MembershipMessageReceived &received);
    void on(const LeaveRequested &request);
    void answer(const HostId &from, std::uint32_t sequence, const Probe &probe);
    void answer(const HostId &from, std::uint32_t sequence, const ProbeRequest &request);
    void answer(const HostId &from, std::uint32_t sequence, const Acknowledgement &acknowledgement);

    /// Tells a living host that it was dropped; it comes back with a higher incarnation.
    void tellDropped(const MembershipMessage &message);
    void startPeriod();
    void askOthers();
    void checkSuspects();
    void probeDeadMember();
    void apply(const MemberUpdate &update);
    void refute(const MemberUpdate &claim);
    void raiseIncarnation(IncarnationNumber above);
    void suspect(const HostId &host);
    void send(const HostId &to, std::uint32_t sequence, decltype(MembershipMessage::body) body);
    [[nodiscard]] std::vector<MemberUpdate> gossipFor(const HostId &to);
    void collectNews();
    [[nodiscard]] std::optional<HostId> nextProbeTarget();
    [[nodiscard]] std::vector<HostId> randomMembers(std::size_t count, MemberState wanted, const HostId &except);
    [[nodiscard]] Duration suspicionTimeout() const;

    MembershipOptions m_options;
    MemberTable m_table;
    GossipQueue m_gossip;
    Random m_random;
    ActiveClock m_clock;
    IncarnationNumber m_incarnation;
    bool m_leaving = false;
    std::uint32_t m_nextSequence = 0;
    TimePoint m_nextPeriod;
    TimePoint m_nextDeadProbe;
    TimePoint m_nextExpiry;
    std::optional<OwnProbe> m_probe;
    std::map<std::uint32_t, RelayedProbe> m_relayed;
    std::vector<HostId> m_probeOrder;
    /// The member that was refreshed last; see `gossipFor`.
    HostId m_refreshed;
    std::size_t m_updatesLeft = 0;
    std::size_t m_checksLeft = 0;
    std::vector<MembershipAction> m_actions;
};

} // namespace Carawaymill

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

/// Event: a message from another host. Messages may be delayed, duplicated or reordered.
struct MembershipMessageReceived
{
    HostId from;
    MembershipMessage message;
};

/// Event: this host leaves. It notifies other hosts and keeps acknowledging probes.
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

/// Detects which hosts of the system are alive, with a load per host that does not grow with the number of hosts.
///
/// In each period this host probes one member. If the member does not acknowledge the probe, this host requests a few
/// other members to probe it too. Without any acknowledgement the member is suspect, and it is declared dead unless it
/// refutes the suspicion with a higher incarnation within the suspicion timeout. Probes, requests and acknowledgements
/// carry the updates as gossip.
class Membership
{
public:
    [[nodiscard]] static Result<Membership, InvalidMembershipOptions> create(MembershipOptions options);

    [[nodiscard]] std::vector<MembershipAction> handle(const MembershipEvent &event, TimePoint now);

    /// All known hosts, including this one, in order of id.
    [[nodiscard]] std::vector<Member> members() const { return m_table.members(); }

    /// The hosts whose state is Alive or Suspect, including this one, in order of id.
    [[nodiscard]] std::vector<HostId> aliveHosts() const;
    /// Whether the host is Alive or Suspect. A suspect host counts as alive, since most suspicions are refuted.
    [[nodiscard]] bool isAlive(const HostId &host) const;

    /// std::nullopt for an unknown host.
    [[nodiscard]] std::optional<MemberState> state(const HostId &host) const { return m_table.state(host); }

private:
    /// This host's own probe in the current period.
    struct OwnProbe
    {
        HostId target;
        std::uint32_t sequence = 0;
        TimePoint startedAt;
        bool indirectProbesRequested = false;
    };

    /// A probe sent on behalf of another host.
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
    void respond(const HostId &from, std::uint32_t sequence, const Probe &probe);
    void respond(const HostId &from, std::uint32_t sequence, const ProbeRequest &request);
    void respond(const HostId &from, std::uint32_t sequence, const Acknowledgement &acknowledgement);

    /// Notifies a living host that it was dropped from the table, so that it returns with a higher incarnation.
    void notifyDropped(const MembershipMessage &message);
    void startPeriod();
    void requestIndirectProbes();
    void probeSuspectsAgain();
    void probeDeadMember();
    void apply(const MemberUpdate &update);
    void refute(const MemberUpdate &claim);
    void raiseIncarnation(IncarnationNumber above);
    void suspect(const HostId &host);
    void send(const HostId &to, std::uint32_t sequence, decltype(MembershipMessage::body) body);
    [[nodiscard]] std::vector<MemberUpdate> gossipFor(const HostId &to);
    void collectChanges();
    [[nodiscard]] std::optional<HostId> nextProbeTarget();
    [[nodiscard]] std::vector<HostId> randomMembers(std::size_t count, MemberState expected, const HostId &except);
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
    /// The member that a message last repeated without a new update; see `gossipFor`.
    HostId m_lastRepeated;
    std::size_t m_updatesLeft = 0;
    std::size_t m_repeatProbesLeft = 0;
    std::vector<MembershipAction> m_actions;
};

} // namespace Carawaymill

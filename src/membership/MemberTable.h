#pragma once

#include "hostlist/HostListMessages.h"
#include "membership/MembershipMessages.h"
#include "support/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// The state of a host as reported to the other parts of the system.
enum class MemberState {
    Alive,
    /// Did not acknowledge a probe. It counts as alive until it is declared dead.
    Suspect,
    /// Gets no new work, but finishes the work that it has.
    Leaving,
    Dead,
};

/// One host of the system, as this host sees it.
struct Member
{
    HostId host;
    MemberState state = MemberState::Alive;
    MemberProfile profile;
    IncarnationNumber incarnation;
};

/// Action: the state of a host is now `state`. A host is reported as Dead before it is dropped from the table.
struct MemberChanged
{
    HostId host;
    MemberState state = MemberState::Alive;

    friend bool operator==(const MemberChanged &, const MemberChanged &) = default;
};

/// The state of each host, combined from this host's probes and gossip (ordered by incarnation) and from the platform's
/// host list.
///
/// The combination tolerates errors of either source: a host found dead stays dead although the lagging list shows it
/// as live, a host that the list shows as leaving gets no work although it acknowledges probes, and a host list without
/// hosts is ignored.
class MemberTable
{
public:
    /// A host that has been missing from the host list for `dropDelay` is Leaving, and is dropped once it is dead.
    explicit MemberTable(Duration dropDelay);

    /// Adds a host from the settings. It is dropped only if the host list has contained it and no longer does.
    void add(const HostId &host, const MemberProfile &profile);

    /// Applies an update received from another host. Only an Alive update with a profile adds an unknown host.
    /// A host that becomes suspect is declared dead after `suspicionTimeout` unless it refutes the suspicion.
    void apply(const MemberUpdate &update, Duration suspicionTimeout, TimePoint now);

    /// This host's own probe of `host` failed.
    void suspect(const HostId &host, Duration suspicionTimeout, TimePoint now);

    /// Applies a complete host list; a list without hosts is ignored.
    void applyHostList(const HostListRead &list, TimePoint now);

    /// Declares suspects dead whose suspicion timeout has passed, and drops dead hosts that have been missing from the
    /// host list for the drop delay.
    void expire(TimePoint now);

    /// Sets this host's own record.
    void setSelf(const HostId &self, const MemberProfile &profile, IncarnationNumber incarnation, bool leaving);

    [[nodiscard]] bool contains(const HostId &host) const { return m_records.contains(host); }

    [[nodiscard]] std::optional<MemberState> state(const HostId &host) const;
    [[nodiscard]] std::vector<Member> members() const;

    /// The number of hosts that are not dead. Timeouts and the number of gossip sends depend on it.
    [[nodiscard]] std::size_t livingCount() const { return m_livingCount; }

    /// The last incarnation of a host that was dropped within the last 10 minutes; std::nullopt for other hosts.
    [[nodiscard]] std::optional<IncarnationNumber> droppedIncarnation(const HostId &host) const;
    /// Whether the host was leaving when the host list last contained it.
    [[nodiscard]] bool listedAsLeaving(const HostId &host) const;

    /// The profile of a host, which must be in the table.
    [[nodiscard]] const MemberProfile &profile(const HostId &host) const { return m_records.at(host).profile; }

    /// The update to send about a host, which must be in the table.
    [[nodiscard]] MemberUpdate update(const HostId &host, bool withProfile) const;
    /// Whether gossip on the host includes its profile, since receivers may not have it yet.
    [[nodiscard]] bool gossipsProfile(const HostId &host) const;
    /// The next host after `host` in order of id; the first after the last. The table must not be empty.
    [[nodiscard]] HostId following(const HostId &host) const;

    /// Removes and returns the state changes since the last call.
    [[nodiscard]] std::vector<MemberChanged> takeChanges();
    /// Removes and returns the hosts whose updates are to be sent as gossip, since the last call.
    [[nodiscard]] std::vector<HostId> takeUpdatedHosts();
    /// Removes and returns the suspects that this host should probe itself before it declares them dead, since the last
    /// call.
    [[nodiscard]] std::vector<HostId> takeSuspectsToProbe();

private:
    struct Record
    {
        MemberProfile profile;
        IncarnationNumber incarnation;
        MemberLiveness liveness = MemberLiveness::Alive;
        bool leaving = false;
        bool gossipsProfile = false;
        /// State in the last host list that contained the host; empty if none did.
        std::optional<HostListState> listed = std::nullopt;
        /// When a host list first lacked the host; empty if the last list contained it or none ever did.
        std::optional<TimePoint> missingSince = std::nullopt;
        bool dropDelayPassed = false;
        TimePoint suspicionEnd{};
        std::optional<TimePoint> probeAgainAt = std::nullopt;
        std::optional<MemberState> reported = std::nullopt;
    };

    /// The last incarnation of a dropped host. Gossip that is not newer does not add the host again.
    struct Tombstone
    {
        IncarnationNumber incarnation;
        TimePoint expiry;
    };

    [[nodiscard]] static MemberState stateOf(const Record &record);
    [[nodiscard]] bool supersedes(const MemberUpdate &update, const Record &record) const;
    void addFromGossip(const MemberUpdate &update);
    void applyListedHost(const ListedHost &listed);
    void
    setLiveness(const HostId &host, Record &record, MemberLiveness liveness, Duration suspicionTimeout, TimePoint now);
    void report(const HostId &host, Record &record);
    void drop(const HostId &host, TimePoint now);

    Duration m_dropDelay;
    std::map<HostId, Record> m_records;
    std::map<HostId, Tombstone> m_tombstones;
    std::vector<MemberChanged> m_changes;
    std::vector<HostId> m_updatedHosts;
    std::vector<HostId> m_suspectsToProbe;
    std::size_t m_livingCount = 0;
};

} // namespace Carawaymill

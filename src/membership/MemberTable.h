#pragma once

#include "hostlist/HostListMessages.h"
#include "membership/MembershipMessages.h"
#include "support/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// What the rest of the system needs to know of a host.
enum class MemberState {
    Alive,
    /// Did not answer; it is still counted as alive until it is declared dead.
    Suspect,
    /// Gets no new work, but goes on with what it has.
    Leaving,
    Dead,
};

/// One of our own hosts, as this host sees it.
struct Member
{
    HostId host;
    MemberState state = MemberState::Alive;
    MemberProfile profile;
    IncarnationNumber incarnation;
};

/// Action: the state of a host is now `state`. A host that was dropped is reported as Dead.
struct MemberChanged
{
    HostId host;
    MemberState state = MemberState::Alive;

    friend bool operator==(const MemberChanged &, const MemberChanged &) = default;
};

/// Everything known of each host: own observation and gossip (ordered by incarnation), and the platform's host list.
///
/// The two are combined so that neither's fault alone harms: a dead verdict stands though the lagging list says live,
/// a host that the list calls leaving gets no work though it answers, and a reading without hosts is ignored.
class MemberTable
{
public:
    /// `dropDelay`: a host that the list shows no longer is Leaving after that time, and dropped once it is dead too.
    explicit MemberTable(Duration dropDelay);

    /// Adds a host that is known from the settings; it is never dropped unless the list has shown it and stopped.
    void add(const HostId &host, const MemberProfile &profile);

    /// Takes in what another host says. Only an Alive update with a profile adds an unknown host.
    /// A host that is suspect from now on is declared dead after `suspicionTimeout`.
    void apply(const MemberUpdate &update, Duration suspicionTimeout, TimePoint now);

    /// This host's own probe of `host` failed.
    void suspect(const HostId &host, Duration suspicionTimeout, TimePoint now);

    /// Combines a reading of the host list.
    void read(const HostListRead &list, TimePoint now);

    /// Declares dead whoever has not refuted in time, and drops hosts that the list shows no longer.
    void expire(TimePoint now);

    /// Sets what this host says of itself.
    void setSelf(const HostId &self, const MemberProfile &profile, IncarnationNumber incarnation, bool leaving);

    [[nodiscard]] bool contains(const HostId &host) const { return m_records.contains(host); }

    [[nodiscard]] std::optional<MemberState> state(const HostId &host) const;
    [[nodiscard]] std::vector<Member> members() const;

    /// Hosts that are not dead; what the fleet's size means to timeouts and to the number of sends.
    [[nodiscard]] std::size_t livingCount() const { return m_livingCount; }

    /// The last incarnation of a host that was dropped a short while ago.
    [[nodiscard]] std::optional<IncarnationNumber> droppedIncarnation(const HostId &host) const;
    /// Whether the list called the host leaving when it last showed it.
    [[nodiscard]] bool listedAsLeaving(const HostId &host) const;

    /// How to reach a known host.
    [[nodiscard]] const MemberProfile &profile(const HostId &host) const { return m_records.at(host).profile; }

    /// What to tell others of a known host.
    [[nodiscard]] MemberUpdate update(const HostId &host, bool withProfile) const;
    /// Whether news on the host is still new enough that a receiver may need its profile.
    [[nodiscard]] bool profileIsNews(const HostId &host) const;
    /// The host that follows `host` in order of id, starting over at the end. There must be a host.
    [[nodiscard]] HostId following(const HostId &host) const;

    /// The state changes since the last call.
    [[nodiscard]] std::vector<MemberChanged> takeChanges();
    /// The hosts on which there is news for the others since the last call.
    [[nodiscard]] std::vector<HostId> takeNews();
    /// The suspect hosts that this host should probe itself before it declares them dead, since the last call.
    [[nodiscard]] std::vector<HostId> takeChecks();

private:
    struct Record
    {
        MemberProfile profile;
        IncarnationNumber incarnation;
        MemberLiveness liveness = MemberLiveness::Alive;
        bool leaving = false;
        bool profileIsNews = false;
        /// The host list's last word; empty if it never showed the host.
        std::optional<HostListState> listed = std::nullopt;
        /// Since when the host list shows the host no longer.
        std::optional<TimePoint> missingSince = std::nullopt;
        bool missingLong = false;
        TimePoint suspicionEnd{};
        std::optional<TimePoint> checkDue = std::nullopt;
        std::optional<MemberState> reported = std::nullopt;
    };

    /// The last incarnation of a dropped host, so that old gossip does not bring it back.
    struct Tombstone
    {
        IncarnationNumber incarnation;
        TimePoint expiry;
    };

    [[nodiscard]] static MemberState stateOf(const Record &record);
    [[nodiscard]] bool supersedes(const MemberUpdate &update, const Record &record) const;
    void addFromGossip(const MemberUpdate &update);
    void readHost(const ListedHost &listed);
    void
    setLiveness(const HostId &host, Record &record, MemberLiveness liveness, Duration suspicionTimeout, TimePoint now);
    void report(const HostId &host, Record &record);
    void drop(const HostId &host, TimePoint now);

    Duration m_dropDelay;
    std::map<HostId, Record> m_records;
    std::map<HostId, Tombstone> m_tombstones;
    std::vector<MemberChanged> m_changes;
    std::vector<HostId> m_news;
    std::vector<HostId> m_checks;
    std::size_t m_livingCount = 0;
};

} // namespace Carawaymill

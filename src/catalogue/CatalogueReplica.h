#pragma once

#include "catalogue/CatalogueGossip.h"
#include "catalogue/CatalogueServiceReader.h"

#include <variant>

namespace Carawaymill {

/// Event: a peer's message has come in.
struct CatalogueMessageReceived
{
    HostId from;
    CatalogueMessage message;
};

/// Event: our other hosts, alive or not, as the platform's host list names them. A host that fails but is still listed
/// stays in, so that "in force on 3 of 4 hosts" shows it.
struct CataloguePeersChanged
{
    std::vector<CataloguePeer> peers;
};

/// Event, and action of `CatalogueEditor`: the service has accepted these versions, which are put in force at once.
struct CatalogueVersionsAccepted
{
    std::vector<CatalogueVersion> versions;
};

/// Event: somebody wants to know on how many hosts the revision is in force; see `CatalogueReplica::inForceOn`.
struct InForceAsked
{
    Revision revision;
};

using CatalogueReplicaEvent = std::variant<Tick,
                                           KeyValueReply,
                                           CatalogueMessageReceived,
                                           CataloguePeersChanged,
                                           CatalogueVersionsAccepted,
                                           InForceAsked>;

/// Action and decision: the records of these keys are in force in their newest version, or deleted.
struct CatalogueChanged
{
    std::vector<std::string> keys;
};

/// Decision: a version was read that cannot be used. What was in force stays so.
struct CatalogueVersionIgnored
{
    enum class Reason {
        Unreadable,
        /// The record was deleted in the service itself and not by an edit.
        DeletedInService,
        /// The whole answer showed an older state than one seen before.
        OlderState,
    };

    Reason reason = Reason::Unreadable;
    /// Empty for `OlderState`.
    std::string key;
};

using CatalogueReplicaAction =
    std::variant<KeyValueCall, SendCatalogueMessage, CatalogueChanged, CatalogueVersionIgnored>;

struct CatalogueReplicaOptions
{
    HostId host;
    FailureDomainId failureDomain;
    std::uint64_t seed = 0;
    CatalogueServiceTimes service;
    Duration digestInterval = 1s;
    /// Hosts of each failure domain that watch the service; the others learn from them.
    std::size_t watchersPerFailureDomain = 2;
    /// A host whose catalogue may miss changes of so long a time watches for itself.
    Duration selfWatchStaleness = 10s;
    /// Cut off from the service and all peers for so long, a host takes no new jobs.
    Duration isolationBound = 30s;
};

struct InvalidCatalogueReplicaOptions
{
    std::string field;
};

/// The catalogue in the memory of one host.
///
/// Follows the key-value service and the other hosts, and never lets an older revision of a record replace a newer one.
class CatalogueReplica
{
public:
    [[nodiscard]] static Result<CatalogueReplica, InvalidCatalogueReplicaOptions>
    create(CatalogueReplicaOptions options);

    [[nodiscard]] std::vector<CatalogueReplicaAction> handle(const CatalogueReplicaEvent &event, TimePoint now);

    /// These return null for what does not exist. The pointers hold until the next `handle`.
    [[nodiscard]] const OrganisationRecord *organisation(const OrganisationId &id) const;
    [[nodiscard]] const OrganisationRecord *organisationByTokenHash(const std::string &hash) const;
    [[nodiscard]] const EntryRecord *entry(const EntryId &id) const;
    [[nodiscard]] const ModelRecord *model(const ModelId &id) const;
    [[nodiscard]] const TargetRecord *target(const TargetId &id) const;

    /// All records of one kind, in the order of their ids.
    [[nodiscard]] std::vector<const OrganisationRecord *> organisations() const;
    [[nodiscard]] std::vector<const EntryRecord *> entries() const;
    [[nodiscard]] std::vector<const ModelRecord *> models() const;
    [[nodiscard]] std::vector<const TargetRecord *> targets() const;

    /// All versions, tombstones included.
    [[nodiscard]] const CatalogueTable &table() const { return m_table; }

    /// Every change up to this store revision is in force here.
    [[nodiscard]] Revision revision() const { return m_progress.revision; }

    /// Whether the whole catalogue has been known here since the process started.
    [[nodiscard]] bool loaded() const { return m_progress.loaded; }

    /// Time since the service last answered this host; nothing if it never did.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    /// Every change accepted longer ago than this is in force here; nothing if that cannot be told.
    [[nodiscard]] std::optional<Duration> staleness(TimePoint now) const { return m_progress.staleness(now); }

    /// Whether the host may take new jobs: the catalogue is loaded, and the host is not cut off from both the service
    /// and all its peers. Jobs in progress go on either way.
    [[nodiscard]] bool takesNewJobs(TimePoint now) const;

    /// How many hosts have confirmed that the revision is in force. Send `InForceAsked` first to have them asked.
    /// Nothing until the first `CataloguePeersChanged`, because a part must not pass for all.
    [[nodiscard]] std::optional<InForceCount> inForceOn(Revision revision) const
    {
        return m_gossip.inForceOn(revision, m_progress);
    }

    /// Whether this host watches the service for its failure domain, or because it learns too little from others.
    [[nodiscard]] bool watches(TimePoint now) const;

private:
    explicit CatalogueReplica(CatalogueReplicaOptions options);

    std::vector<CatalogueReplicaAction> tick(TimePoint now);
    std::vector<CatalogueReplicaAction> handleReply(const KeyValueReply &reply, TimePoint now);
    std::vector<CatalogueReplicaAction> handleMessage(const CatalogueMessageReceived &received, TimePoint now);
    /// Applies versions, spreads what was new and returns its keys.
    std::vector<std::string>
    learn(const std::vector<CatalogueVersion> &versions, std::vector<CatalogueReplicaAction> &actions, TimePoint now);
    /// Puts the progress at the head's revision when all that the head lists is known.
    void advanceByHead();
    [[nodiscard]] bool isChosenWatcher() const;

    CatalogueReplicaOptions m_options;
    CatalogueTable m_table;
    CatalogueProgress m_progress;
    CatalogueServiceReader m_service;
    CatalogueGossip m_gossip;
    std::optional<TimePoint> m_startedAt;
    bool m_isChosenWatcher = true;
    std::set<std::string> m_reportedDeletions;
};

/// A log line, for example `Catalogue: In force: catalogue/entry/summary`.
[[nodiscard]] std::string describe(const CatalogueChanged &decision);
[[nodiscard]] std::string describe(const CatalogueVersionIgnored &decision);

} // namespace Carawaymill

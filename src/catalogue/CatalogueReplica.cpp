#include "catalogue/CatalogueReplica.h"

#include "support/Hash.h"

#include <algorithm>
#include <iterator>

namespace Carawaymill {

template<typename Record>
static const Record *recordOf(const CatalogueTable &table, const char *kind, const std::string &id)
{
    const CatalogueTable::Item *item = table.item(std::string(cataloguePrefix) + kind + "/" + id);
    return item != nullptr && item->record ? std::get_if<Record>(&*item->record) : nullptr;
}

template<typename Record>
static std::vector<const Record *> recordsOf(const CatalogueTable &table, const char *kind)
{
    std::vector<const Record *> records;
    const std::string prefix = std::string(cataloguePrefix) + kind + "/";
    for (auto position = table.items().lower_bound(prefix);
         position != table.items().end() && position->first.starts_with(prefix);
         ++position) {
        if (position->second.record) {
            if (const auto *record = std::get_if<Record>(&*position->second.record)) {
                records.push_back(record);
            }
        }
    }
    return records;
}

Result<CatalogueReplica, InvalidCatalogueReplicaOptions> CatalogueReplica::create(CatalogueReplicaOptions options)
{
    if (options.host.value().empty()) {
        return InvalidCatalogueReplicaOptions{.field = "host"};
    }
    if (options.watchersPerFailureDomain == 0) {
        return InvalidCatalogueReplicaOptions{.field = "watchersPerFailureDomain"};
    }
    if (options.digestInterval <= Duration::zero()) {
        return InvalidCatalogueReplicaOptions{.field = "digestInterval"};
    }
    if (options.service.pollInterval <= Duration::zero() || options.service.callTimeout <= Duration::zero()) {
        return InvalidCatalogueReplicaOptions{.field = "service"};
    }
    return CatalogueReplica(std::move(options));
}

CatalogueReplica::CatalogueReplica(CatalogueReplicaOptions options)
    : m_options(std::move(options))
    , m_service(m_options.service, m_options.seed)
    , m_gossip(m_options.seed + 1, m_options.digestInterval)
{
}

std::vector<CatalogueReplicaAction> CatalogueReplica::handle(const CatalogueReplicaEvent &event, TimePoint now)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    return std::visit(Overloaded{[&](const Tick &) { return tick(now); },
                                 [&](const KeyValueReply &reply) { return handleReply(reply, now); },
                                 [&](const CatalogueMessageReceived &received) { return handleMessage(received, now); },
                                 [&](const CataloguePeersChanged &changed) {
                                     m_gossip.setPeers(changed.peers);
                                     m_isChosenWatcher = isChosenWatcher();
                                     return std::vector<CatalogueReplicaAction>{};
                                 },
                                 [&](const CatalogueVersionsAccepted &accepted) {
                                     std::vector<CatalogueReplicaAction> actions;
                                     learn(accepted.versions, actions, now);
                                     m_service.pollSoon();
                                     return actions;
                                 },
                                 [&](const InForceAsked &asked) {
                                     m_gossip.askInForce(asked.revision, now);
                                     if (asked.revision > m_progress.revision) {
                                         m_service.pollSoon();
                                     }
                                     return std::vector<CatalogueReplicaAction>{};
                                 }},
                      event);
}

std::vector<CatalogueReplicaAction> CatalogueReplica::tick(TimePoint now)
{
    std::vector<CatalogueReplicaAction> actions;
    CatalogueServiceReader::Needs needs{.watches = watches(now), .bytes = m_table.bytes()};
    if (m_table.headRevision() > m_progress.revision) {
        needs.missingKeys = m_table.missingKeys();
        needs.historyIsMissing = m_table.head() == nullptr || m_table.head()->since > m_progress.revision;
    }
    std::ranges::move(m_service.tick(needs, m_progress, now), std::back_inserter(actions));
    std::ranges::move(m_gossip.tick(m_table, m_progress, now), std::back_inserter(actions));
    return actions;
}

std::vector<CatalogueReplicaAction> CatalogueReplica::handleReply(const KeyValueReply &reply, TimePoint now)
{
    std::vector<CatalogueReplicaAction> actions;
    const CatalogueServiceReader::Step step = m_service.handle(reply, m_progress, now);
    learn(step.versions, actions, now);
    if (step.headSeen && step.headSeen->revision <= m_progress.revision) {
        m_progress.completeUntil(step.headSeen->at);
    }
    for (const std::string &key : step.deletedKeys) {
        if (m_reportedDeletions.insert(key).second) {
            actions.emplace_back(
                CatalogueVersionIgnored{.reason = CatalogueVersionIgnored::Reason::DeletedInService, .key = key});
        }
    }
    if (step.wasOlderState) {
        actions.emplace_back(CatalogueVersionIgnored{.reason = CatalogueVersionIgnored::Reason::OlderState});
    }
    return actions;
}

std::vector<CatalogueReplicaAction> CatalogueReplica::handleMessage(const CatalogueMessageReceived &received,
                                                                    TimePoint now)
{
    std::vector<CatalogueReplicaAction> actions;
    std::vector<std::string> applied;
    if (const auto *versions = std::get_if<CatalogueVersions>(&received.message)) {
        applied = learn(versions->versions, actions, now);
    }
    std::ranges::move(m_gossip.handle(received.from, received.message, applied, m_table, m_progress, now),
                      std::back_inserter(actions));
    return actions;
}

std::vector<std::string> CatalogueReplica::learn(const std::vector<CatalogueVersion> &versions,
                                                 std::vector<CatalogueReplicaAction> &actions,
                                                 TimePoint now)
{
    std::vector<std::string> changedKeys;
    std::vector<std::string> newKeys;
    for (const CatalogueVersion &version : versions) {
        if (!version.key.starts_with(cataloguePrefix)) {
            continue;
        }
        const ApplyResult result = m_table.apply(version);
        if (std::holds_alternative<VersionNotNewer>(result)) {
            continue;
        }
        newKeys.push_back(version.key);
        if (std::holds_alternative<VersionApplied>(result) && version.key != catalogueHeadKey) {
            changedKeys.push_back(version.key);
        } else if (std::holds_alternative<VersionUnreadable>(result)) {
            actions.emplace_back(
                CatalogueVersionIgnored{.reason = CatalogueVersionIgnored::Reason::Unreadable, .key = version.key});
        }
    }
    advanceByHead();
    if (!changedKeys.empty()) {
        actions.emplace_back(CatalogueChanged{.keys = std::move(changedKeys)});
    }
    std::ranges::move(m_gossip.spread(newKeys, m_table, now), std::back_inserter(actions));
    return newKeys;
}

void CatalogueReplica::advanceByHead()
{
    const CatalogueHead *head = m_table.head();
    if (m_progress.loaded && head != nullptr && head->since <= m_progress.revision
        && m_table.headRevision() > m_progress.revision && m_table.missingKeys().empty()) {
        m_progress.revision = m_table.headRevision();
    }
}

const OrganisationRecord *CatalogueReplica::organisation(const OrganisationId &id) const
{
    return recordOf<OrganisationRecord>(m_table, "organisation", id.value());
}

const OrganisationRecord *CatalogueReplica::organisationByTokenHash(const std::string &hash) const
{
    const std::optional<OrganisationId> id = m_table.organisationByTokenHash(hash);
    return id ? organisation(*id) : nullptr;
}

const EntryRecord *CatalogueReplica::entry(const EntryId &id) const
{
    return recordOf<EntryRecord>(m_table, "entry", id.value());
}

const ModelRecord *CatalogueReplica::model(const ModelId &id) const
{
    return recordOf<ModelRecord>(m_table, "model", id.value());
}

const TargetRecord *CatalogueReplica::target(const TargetId &id) const
{
    return recordOf<TargetRecord>(m_table, "target", id.value());
}

std::vector<const OrganisationRecord *> CatalogueReplica::organisations() const
{
    return recordsOf<OrganisationRecord>(m_table, "organisation");
}

std::vector<const EntryRecord *> CatalogueReplica::entries() const
{
    return recordsOf<EntryRecord>(m_table, "entry");
}

std::vector<const ModelRecord *> CatalogueReplica::models() const
{
    return recordsOf<ModelRecord>(m_table, "model");
}

std::vector<const TargetRecord *> CatalogueReplica::targets() const
{
    return recordsOf<TargetRecord>(m_table, "target");
}

std::optional<Duration> CatalogueReplica::age(TimePoint now) const
{
    return m_progress.serviceAnsweredAt ? std::optional<Duration>(now - *m_progress.serviceAnsweredAt) : std::nullopt;
}

bool CatalogueReplica::takesNewJobs(TimePoint now) const
{
    if (!loaded()) {
        return false;
    }
    if (!m_gossip.hadPeers()) {
        // A single host cannot tell its own isolation from an outage of the service, through which it must serve.
        return true;
    }
    const TimePoint lastContact = std::max({m_progress.serviceAnsweredAt.value_or(TimePoint::min()),
                                            m_gossip.peerAnsweredAt().value_or(TimePoint::min()),
                                            m_startedAt.value_or(now)});
    return now - lastContact <= m_options.isolationBound;
}

bool CatalogueReplica::watches(TimePoint now) const
{
    return m_isChosenWatcher || m_progress.staleness(now).value_or(Duration::max()) > m_options.selfWatchStaleness;
}

bool CatalogueReplica::isChosenWatcher() const
{
    const auto weight = [&](const HostId &host) {
        return stableHash(host.value(), stableHash(m_options.failureDomain.value()));
    };
    const auto before = std::ranges::count_if(m_gossip.peers(), [&](const CataloguePeer &peer) {
        return peer.failureDomain == m_options.failureDomain && weight(peer.host) > weight(m_options.host);
    });
    return static_cast<std::size_t>(before) < m_options.watchersPerFailureDomain;
}

std::string describe(const CatalogueChanged &decision)
{
    std::string line = "Catalogue: In force:";
    for (const std::string &key : decision.keys) {
        line += " " + key;
    }
    return line;
}

std::string describe(const CatalogueVersionIgnored &decision)
{
    switch (decision.reason) {
    case CatalogueVersionIgnored::Reason::Unreadable:
        return "Catalogue: Cannot read the new version, the old one stays in force: " + decision.key;
    case CatalogueVersionIgnored::Reason::DeletedInService:
        return "Catalogue: Deleted in the service but not by an edit, stays in force: " + decision.key;
    case CatalogueVersionIgnored::Reason::OlderState:
        return "Catalogue: The service shows an older state, newer versions stay in force";
    }
    return {};
}

} // namespace Carawaymill

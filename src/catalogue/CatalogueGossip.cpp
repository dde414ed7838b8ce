#include "catalogue/CatalogueGossip.h"

#include <algorithm>

namespace Carawaymill {

/// Peers that each push goes to; two pushes of 4 reach 370 hosts with less than one left out on average.
static constexpr std::size_t pushFanout = 4;
static constexpr Duration secondPushDelay = 500ms;
/// Larger batches are no news but a first load.
static constexpr std::size_t maxPushedVersions = 64;
/// Bound of one message; a version may be larger alone.
static constexpr std::size_t maxVersionsBytes = 32768;
static constexpr std::size_t maxListedBuckets = 8;
static constexpr std::size_t maxWantedKeys = 64;
static constexpr std::size_t maxOpenDigests = 1024;
static constexpr Duration askDuration = 10s;
static constexpr Duration askInterval = 250ms;
/// An older bound is of no use to anybody.
static constexpr Duration maxReportedStaleness = 1h;

static CatalogueSummary summaryOf(const CatalogueTable &table, const CatalogueProgress &progress, TimePoint now)
{
    std::optional<Duration> staleness = progress.staleness(now);
    if (staleness && *staleness > maxReportedStaleness) {
        staleness.reset();
    }
    return {.loaded = progress.loaded,
            .revision = progress.revision,
            .stateHash = table.stateHash(),
            .staleness = staleness};
}

static CatalogueVersions versionsFor(const std::vector<std::string> &keys, const CatalogueTable &table, bool isRepair)
{
    CatalogueVersions message{.isRepair = isRepair};
    std::size_t bytes = 0;
    for (const std::string &key : keys) {
        const CatalogueTable::Item *item = table.item(key);
        if (item == nullptr) {
            continue;
        }
        bytes += key.size() + item->value.size();
        if (!message.versions.empty() && bytes > maxVersionsBytes) {
            break;
        }
        message.versions.push_back({.key = key, .revision = item->revision, .value = item->value});
    }
    return message;
}

/// Learns from a peer in the same state how far that state is complete.
static void adoptCompleteness(const CatalogueSummary &summary, const CatalogueTable &table, CatalogueProgress &progress)
{
    if (summary.loaded && summary.stateHash == table.stateHash()) {
        progress.loaded = true;
        progress.revision = std::max(progress.revision, summary.revision);
    }
}

static CatalogueBucketListing
listingFor(const std::vector<std::uint32_t> &peerHashes, const CatalogueTable &table, std::size_t firstBucket)
{
    CatalogueBucketListing listing;
    for (std::size_t step = 0; step < CatalogueTable::bucketCount && listing.buckets.size() < maxListedBuckets;
         ++step) {
        const std::size_t bucket = (firstBucket + step) % CatalogueTable::bucketCount;
        if (table.bucketHashes().at(bucket) == peerHashes.at(bucket)) {
            continue;
        }
        listing.buckets.push_back(static_cast<std::uint32_t>(bucket));
        for (const std::string &key : table.bucketKeys(bucket)) {
            listing.keys.push_back({.key = key, .revision = table.item(key)->revision});
        }
    }
    return listing;
}

static CatalogueGossip::Messages
answerListing(const HostId &from, const CatalogueBucketListing &listing, const CatalogueTable &table)
{
    std::map<std::string, Revision> theirs;
    CatalogueVersionsWanted wanted;
    for (const KeyRevision &listed : listing.keys) {
        theirs[listed.key] = listed.revision;
        const CatalogueTable::Item *mine = table.item(listed.key);
        if ((mine == nullptr || mine->revision < listed.revision) && wanted.keys.size() < maxWantedKeys) {
            wanted.keys.push_back(listed.key);
        }
    }
    std::vector<std::string> newerHere;
    for (const std::uint32_t bucket : listing.buckets) {
        if (bucket >= CatalogueTable::bucketCount) {
            continue;
        }
        std::ranges::copy_if(table.bucketKeys(bucket), std::back_inserter(newerHere), [&](const std::string &key) {
            const auto found = theirs.find(key);
            return found == theirs.end() || found->second < table.item(key)->revision;
        });
    }
    CatalogueGossip::Messages messages;
    if (!newerHere.empty()) {
        messages.push_back({.to = from, .message = versionsFor(newerHere, table, true)});
    }
    if (!wanted.keys.empty()) {
        messages.push_back({.to = from, .message = wanted});
    }
    return messages;
}

void CatalogueGossip::setPeers(std::vector<CataloguePeer> peers)
{
    m_peers = std::move(peers);
    m_arePeersKnown = true;
    m_hadPeers = m_hadPeers || !m_peers.empty();
    std::erase_if(m_peerRevisions, [this](const auto &known) {
        return std::ranges::find(m_peers, known.first, &CataloguePeer::host) == m_peers.end();
    });
}

CatalogueGossip::Messages
CatalogueGossip::tick(const CatalogueTable &table, const CatalogueProgress &progress, TimePoint now)
{
    Messages messages;
    if (m_peers.empty()) {
        return messages;
    }
    if (now >= m_nextDigest) {
        m_nextDigest = now + m_digestInterval;
        messages.push_back(digestFor(m_peers.at(m_random.below(m_peers.size())).host, table, progress, now));
    }
    if (!m_secondPush.empty() && now >= m_secondPushAt) {
        const std::vector<std::string> keys(m_secondPush.begin(), m_secondPush.end());
        m_secondPush.clear();
        std::ranges::move(pushTo(pushFanout, keys, table), std::back_inserter(messages));
    }
    if (now < m_askUntil && now >= m_nextAsk) {
        m_nextAsk = now + askInterval;
        for (const CataloguePeer &peer : m_peers) {
            if (const auto known = m_peerRevisions.find(peer.host);
                known == m_peerRevisions.end() || known->second < m_askedRevision) {
                messages.push_back(digestFor(peer.host, table, progress, now));
            }
        }
    }
    return messages;
}

CatalogueGossip::Messages CatalogueGossip::handle(const HostId &from,
                                                  const CatalogueMessage &message,
                                                  const std::vector<std::string> &appliedKeys,
                                                  const CatalogueTable &table,
                                                  CatalogueProgress &progress,
                                                  TimePoint now)
{
    const auto noteSummary = [&](const CatalogueSummary &summary) {
        adoptCompleteness(summary, table, progress);
        if (summary.loaded && std::ranges::find(m_peers, from, &CataloguePeer::host) != m_peers.end()) {
            Revision &known = m_peerRevisions[from];
            known = std::max(known, summary.revision);
        }
    };
    return std::visit(
        Overloaded{[&](const CatalogueDigest &digest) {
                       noteSummary(digest.summary);
                       return handleDigest(from, digest, table, progress, now);
                   },
                   [&](const CatalogueDigestReply &reply) {
                       noteSummary(reply.summary);
                       return handleReply(from, reply, table, progress);
                   },
                   [&](const CatalogueBucketListing &listing) { return answerListing(from, listing, table); },
                   [&](const CatalogueVersionsWanted &wanted) {
                       return Messages{{.to = from, .message = versionsFor(wanted.keys, table, true)}};
                   },
                   [&](const CatalogueVersions &versions) {
                       // Goes on while it brings something new, so that it ends.
                       return versions.isRepair && !appliedKeys.empty()
                                  ? Messages{digestFor(from, table, progress, now)}
                                  : Messages{};
                   }},
        message);
}

CatalogueGossip::Messages
CatalogueGossip::spread(const std::vector<std::string> &keys, const CatalogueTable &table, TimePoint now)
{
    if (keys.empty() || keys.size() > maxPushedVersions) {
        return {};
    }
    if (m_secondPush.empty()) {
        m_secondPushAt = now + secondPushDelay;
    }
    m_secondPush.insert(keys.begin(), keys.end());
    return pushTo(pushFanout, keys, table);
}

void CatalogueGossip::askInForce(Revision revision, TimePoint now)
{
    m_askedRevision = std::max(m_askedRevision, revision);
    m_askUntil = now + askDuration;
}

std::optional<InForceCount> CatalogueGossip::inForceOn(Revision revision, const CatalogueProgress &progress) const
{
    if (!m_arePeersKnown) {
        return std::nullopt;
    }
    InForceCount count{.confirmed = progress.loaded && progress.revision >= revision ? 1U : 0U,
                       .hosts = m_peers.size() + 1};
    count.confirmed += static_cast<std::size_t>(
        std::ranges::count_if(m_peerRevisions, [&](const auto &known) { return known.second >= revision; }));
    return count;
}

SendCatalogueMessage CatalogueGossip::digestFor(const HostId &peer,
                                                const CatalogueTable &table,
                                                const CatalogueProgress &progress,
                                                TimePoint now)
{
    m_sentDigests[++m_lastNonce] = now;
    if (m_sentDigests.size() > maxOpenDigests) {
        m_sentDigests.erase(m_sentDigests.begin());
    }
    return {.to = peer, .message = CatalogueDigest{.nonce = m_lastNonce, .summary = summaryOf(table, progress, now)}};
}

CatalogueGossip::Messages
CatalogueGossip::pushTo(std::size_t count, const std::vector<std::string> &keys, const CatalogueTable &table)
{
    Messages messages;
    std::vector<std::size_t> order(m_peers.size());
    for (std::size_t index = 0; index < order.size(); ++index) {
        order.at(index) = index;
    }
    for (std::size_t index = 0; index < std::min(count, order.size()); ++index) {
        std::swap(order.at(index), order.at(index + m_random.below(order.size() - index)));
        messages.push_back({.to = m_peers.at(order.at(index)).host, .message = versionsFor(keys, table, false)});
    }
    return messages;
}

CatalogueGossip::Messages CatalogueGossip::handleDigest(const HostId &from,
                                                        const CatalogueDigest &digest,
                                                        const CatalogueTable &table,
                                                        const CatalogueProgress &progress,
                                                        TimePoint now)
{
    CatalogueDigestReply reply{.nonce = digest.nonce, .summary = summaryOf(table, progress, now)};
    if (digest.summary.stateHash != table.stateHash()) {
        reply.bucketHashes.assign(table.bucketHashes().begin(), table.bucketHashes().end());
    }
    return {{.to = from, .message = std::move(reply)}};
}

CatalogueGossip::Messages CatalogueGossip::handleReply(const HostId &from,
                                                       const CatalogueDigestReply &reply,
                                                       const CatalogueTable &table,
                                                       CatalogueProgress &progress)
{
    const auto sent = m_sentDigests.find(reply.nonce);
    if (sent == m_sentDigests.end()) {
        return {};
    }
    const TimePoint sentAt = sent->second;
    m_sentDigests.erase(sent);
    m_peerAnsweredAt = std::max(m_peerAnsweredAt.value_or(sentAt), sentAt);
    if (progress.loaded && reply.summary.staleness && reply.summary.revision <= progress.revision) {
        progress.completeUntil(sentAt - *reply.summary.staleness);
    }
    if (reply.bucketHashes.size() != CatalogueTable::bucketCount) {
        return {};
    }
    CatalogueBucketListing listing = listingFor(reply.bucketHashes, table, m_random.below(CatalogueTable::bucketCount));
    if (listing.buckets.empty()) {
        return {};
    }
    return {{.to = from, .message = std::move(listing)}};
}

} // namespace Carawaymill

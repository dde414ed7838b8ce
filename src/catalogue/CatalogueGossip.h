#pragma once

#include "catalogue/CatalogueMessages.h"
#include "catalogue/CatalogueProgress.h"
#include "support/Identifiers.h"
#include "support/Random.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

/// Action: send the message to a peer. It may be lost.
struct SendCatalogueMessage
{
    HostId to;
    CatalogueMessage message;
};

/// One of our other hosts.
struct CataloguePeer
{
    HostId host;
    FailureDomainId failureDomain;

    friend bool operator==(const CataloguePeer &, const CataloguePeer &) = default;
};

/// On how many hosts a revision is in force.
struct InForceCount
{
    std::size_t confirmed = 0;
    /// All hosts, this one included.
    std::size_t hosts = 0;

    friend bool operator==(InForceCount, InForceCount) = default;
};

/// Passes catalogue versions between our hosts.
///
/// News go at once to a few random peers, who do the same (epidemic). A digest of constant size goes to one random peer
/// a second; hosts whose state hashes differ compare bucket hashes and exchange what either lacks.
class CatalogueGossip
{
public:
    CatalogueGossip(std::uint64_t seed, Duration digestInterval)
        : m_random(seed)
        , m_digestInterval(digestInterval)
    {
    }

    using Messages = std::vector<SendCatalogueMessage>;

    void setPeers(std::vector<CataloguePeer> peers);

    [[nodiscard]] const std::vector<CataloguePeer> &peers() const { return m_peers; }

    [[nodiscard]] Messages tick(const CatalogueTable &table, const CatalogueProgress &progress, TimePoint now);

    /// Answers a peer's message. Versions in it must have been applied to the table before; `appliedKeys` names those
    /// that were new.
    [[nodiscard]] Messages handle(const HostId &from,
                                  const CatalogueMessage &message,
                                  const std::vector<std::string> &appliedKeys,
                                  const CatalogueTable &table,
                                  CatalogueProgress &progress,
                                  TimePoint now);

    /// Spreads versions that are new here. Large batches, such as a first load, are left to the digests.
    [[nodiscard]] Messages spread(const std::vector<std::string> &keys, const CatalogueTable &table, TimePoint now);

    /// For some seconds asks every peer that has not yet confirmed the revision.
    void askInForce(Revision revision, TimePoint now);

    /// Nothing while the hosts are not known, that is until the first `setPeers`.
    [[nodiscard]] std::optional<InForceCount> inForceOn(Revision revision, const CatalogueProgress &progress) const;

    /// Whether there have ever been other hosts.
    [[nodiscard]] bool hadPeers() const { return m_hadPeers; }

    /// When a peer last answered a digest.
    [[nodiscard]] std::optional<TimePoint> peerAnsweredAt() const { return m_peerAnsweredAt; }

private:
    SendCatalogueMessage
    digestFor(const HostId &peer, const CatalogueTable &table, const CatalogueProgress &progress, TimePoint now);
    Messages pushTo(std::size_t count, const std::vector<std::string> &keys, const CatalogueTable &table);
    Messages handleDigest(const HostId &from,
                          const CatalogueDigest &digest,
                          const CatalogueTable &table,
                          const CatalogueProgress &progress,
                          TimePoint now);
    Messages handleReply(const HostId &from,
                         const CatalogueDigestReply &reply,
                         const CatalogueTable &table,
                         CatalogueProgress &progress);

    std::vector<CataloguePeer> m_peers;
    bool m_arePeersKnown = false;
    bool m_hadPeers = false;
    Random m_random;
    Duration m_digestInterval;
    TimePoint m_nextDigest;
    std::uint64_t m_lastNonce = 0;
    /// Digests that may still be answered, with the time when they were sent.
    std::map<std::uint64_t, TimePoint> m_sentDigests;
    std::map<HostId, Revision> m_peerRevisions;
    std::optional<TimePoint> m_peerAnsweredAt;
    std::set<std::string> m_secondPush;
    TimePoint m_secondPushAt;
    Revision m_askedRevision;
    TimePoint m_askUntil;
    TimePoint m_nextAsk;
};

} // namespace Carawaymill
